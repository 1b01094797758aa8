#pragma once

#include "common/error.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosarun {

/** Content of a journal when it was opened. */
struct JournalContent
{
  wire::Ballot ballot;
  wire::SnapshotFile snapshot;
  std::vector<wire::LogEntry> entries;
  /** Index up to which the log was known to be committed; 0 if unknown. */
  int64_t commitIndex = 0;
  /** Length of the incomplete last record that was truncated. */
  int64_t truncatedBytes = 0;
};

/**
 * Stores the state of one replicated log in a folder: ballot, snapshot, entries and commit index. Every
 * record has a checksum, and calls that change the state return only after a sync. An incomplete record at
 * the end is truncated; damage before a valid record is an error, since acknowledged entries may be lost.
 */
class Journal
{
public:
  explicit Journal(std::string aFolder);
  ~Journal();

  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  /**
   * Opens or creates the folder's files and returns their content, which is durable then. May be called again
   * after a failure; a log file of which a sync failed is written anew.
   */
  Result<JournalContent> Open();

  /** Stores the term and the vote. */
  Result<void> SaveBallot(const wire::Ballot& aBallot);

  /** Appends entries, whose indices must follow the last one. */
  Result<void> Append(const std::vector<wire::LogEntry>& aEntries);

  /** Removes all entries from an index on. */
  Result<void> TruncateFrom(int64_t aIndex);

  /** Stores a snapshot and rewrites the log with only the entries after it. */
  Result<void> SaveSnapshot(const wire::SnapshotFile& aSnapshot,
                            const std::vector<wire::LogEntry>& aRemaining);

  /** Stores the commit index, so that a restarted replica knows it before it hears from a leader. */
  Result<void> SaveCommitIndex(int64_t aIndex);

private:
  /** Start of an entry's record in the log file, in bytes. */
  struct RecordPosition
  {
    int64_t index = 0;
    int64_t offset = 0;
  };

  std::string PathOf(const char* aName) const;
  Result<void> OpenLogFile();
  /** Writes to the log file so that after a power loss no part is there without those before it. */
  Result<void> WriteInOrder(std::string_view aBytes);
  Result<void> Sync();
  Result<void> OpenCommitFile();
  int64_t ReadCommitIndex(const JournalContent& aContent) const;
  Result<JournalContent> ReadLog(JournalContent aContent);
  Result<void> RewriteLog(const std::vector<wire::LogEntry>& aEntries);

  std::string m_folder;
  int m_logDescriptor = -1;
  int m_commitDescriptor = -1;
  int64_t m_logLengthBytes = 0;
  /** Whether a sync of the log file failed since it was written anew. */
  bool m_syncFailed = false;
  std::vector<RecordPosition> m_recordPositions;
};

/**
 * Returns the incarnation of a data folder; creates one in an empty folder.
 *
 * @param aInitial incarnation of an empty folder; nullopt means the current time, which no earlier folder had
 */
Result<int64_t>
LoadOrCreateIncarnation(const std::string& aFolder, std::optional<int64_t> aInitial = std::nullopt);

} // namespace mimosarun
