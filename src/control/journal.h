#pragma once

#include "common/error.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** What a journal held when it was opened. */
struct JournalContent
{
  wire::Ballot ballot;
  wire::SnapshotFile snapshot;
  std::vector<wire::LogEntry> entries;
  /** Index up to which the log was known to be committed; zero where that isn't known. */
  int64_t commitIndex = 0;
  /** Bytes of an unfinished last record that were cut off. */
  int64_t truncatedBytes = 0;
};

/**
 * Durable state of one replicated log in a folder: ballot, snapshot and entries. Everything is checksummed,
 * and a call that changes something returns only after a sync. An unfinished record at the end is cut; damage
 * before a valid record is an error, since acknowledged entries may be lost.
 */
class Journal
{
public:
  explicit Journal(std::string aFolder);
  ~Journal();

  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  /** Opens or creates the folder's files. */
  Result<JournalContent> Open();

  /** Stores term and vote. */
  Result<void> SaveBallot(const wire::Ballot& aBallot);

  /** Appends entries; their indices follow the last one. */
  Result<void> Append(const std::vector<wire::LogEntry>& aEntries);

  /** Drops all entries from an index on. */
  Result<void> TruncateFrom(int64_t aIndex);

  /** Stores a snapshot and rewrites the log with only the entries after it. */
  Result<void> SaveSnapshot(const wire::SnapshotFile& aSnapshot,
                            const std::vector<wire::LogEntry>& aRemaining);

  /** Notes how far the log is committed, so that a restarted replica need not wait for a leader to know. */
  Result<void> SaveCommitIndex(int64_t aIndex);

  /** Whether a sync failed; what the disk holds is unknown from then on. */
  bool SyncFailed() const;

private:
  /** Where a record starts in the log file. */
  struct RecordPosition
  {
    int64_t index = 0;
    int64_t offset = 0;
  };

  std::string PathOf(const char* aName) const;
  Result<void> OpenLogFile();
  Result<void> Sync();
  Result<void> OpenCommitFile();
  int64_t ReadCommitIndex(const JournalContent& aContent) const;
  Result<JournalContent> ReadLog(JournalContent aContent);

  std::string m_folder;
  int m_logDescriptor = -1;
  int m_commitDescriptor = -1;
  int64_t m_logLengthBytes = 0;
  bool m_syncFailed = false;
  std::vector<RecordPosition> m_recordPositions;
};

/**
 * Identity of a data folder: created once and kept until the folder is lost.
 *
 * @param aFirst identity to give an empty folder; nothing means one that no folder had before
 */
Result<int64_t>
LoadOrCreateIncarnation(const std::string& aFolder, std::optional<int64_t> aFirst = std::nullopt);

} // namespace mimosarun
