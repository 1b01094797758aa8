#include "control/journal.h"

#include "common/clock.h"
#include "common/file.h"
#include "control/record.h"
#include "wire/codec.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

namespace mimosarun {

static constexpr size_t kFileLimitBytes = 1024UL * 1024 * 1024;
static constexpr const char* kLogFileName = "log";
static constexpr const char* kBallotFileName = "ballot";
static constexpr const char* kSnapshotFileName = "snapshot";
static constexpr const char* kCommitFileName = "commit";
static constexpr const char* kIncarnationFileName = "incarnation";

static auto
StorageError(const std::string& aOperation)
{
  return Fail(ErrorKind::StorageFailed,
              aOperation + ": " + std::strerror(errno) + "; free space or replace the disk");
}

/** Reads a file with one record; returns a default message if the file doesn't exist. */
template<typename Message>
static Result<Message>
ReadRecordFile(const std::string& aPath)
{
  if (!std::filesystem::exists(aPath)) {
    return Message{};
  }
  MIMOSARUN_TRY(const std::string bytes, ReadFile(aPath, kFileLimitBytes));
  const RecordView record = ParseRecord(bytes);
  if (!record.valid) {
    return Fail(ErrorKind::CorruptData,
                aPath +
                  ": damaged; delete the data folder and restart to restore the replica from the others");
  }
  return Decode<Message>(std::string(record.payload));
}

Journal::Journal(std::string aFolder)
  : m_folder(std::move(aFolder))
{
}

Journal::~Journal()
{
  for (const int descriptor : { m_logDescriptor, m_commitDescriptor }) {
    if (descriptor >= 0) {
      ::close(descriptor);
    }
  }
}

std::string
Journal::PathOf(const char* aName) const
{
  return m_folder + "/" + aName;
}

Result<void>
Journal::OpenLogFile()
{
  if (m_logDescriptor >= 0) {
    ::close(m_logDescriptor);
  }
  m_logDescriptor = ::open(PathOf(kLogFileName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (m_logDescriptor < 0) {
    return StorageError("open " + PathOf(kLogFileName));
  }
  return SyncFolder(m_folder);
}

Result<void>
Journal::OpenCommitFile()
{
  if (m_commitDescriptor >= 0) {
    return boost::outcome_v2::success();
  }
  m_commitDescriptor = ::open(PathOf(kCommitFileName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (m_commitDescriptor < 0) {
    return StorageError("open " + PathOf(kCommitFileName));
  }
  return boost::outcome_v2::success();
}

int64_t
Journal::ReadCommitIndex(const JournalContent& aContent) const
{
  // The file is overwritten in place, so it may be torn; the commit index is then unknown.
  const Result<std::string> bytes = ReadFile(PathOf(kCommitFileName), kFileLimitBytes);
  if (!bytes) {
    return 0;
  }
  const RecordView record = ParseRecord(bytes.value());
  const auto mark = record.valid ? Decode<wire::CommitMark>(std::string(record.payload))
                                 : Result<wire::CommitMark>(wire::CommitMark{});
  const int64_t last = aContent.entries.empty() ? aContent.snapshot.index : aContent.entries.back().index;
  return mark && mark.value().index <= last ? mark.value().index : 0;
}

Result<void>
Journal::SaveCommitIndex(int64_t aIndex)
{
  wire::CommitMark mark;
  mark.index = aIndex;
  const std::string bytes = MakeRecord(Encode(mark));
  const ssize_t written = ::pwrite(m_commitDescriptor, bytes.data(), bytes.size(), 0);
  if (written != static_cast<ssize_t>(bytes.size()) || ::fdatasync(m_commitDescriptor) != 0) {
    return StorageError("write " + PathOf(kCommitFileName));
  }
  return boost::outcome_v2::success();
}

Result<void>
Journal::Sync()
{
  if (::fdatasync(m_logDescriptor) != 0) {
    m_syncFailed = true;
    return StorageError("sync " + PathOf(kLogFileName));
  }
  return boost::outcome_v2::success();
}

Result<JournalContent>
Journal::ReadLog(JournalContent aContent)
{
  MIMOSARUN_TRY(const std::string bytes, ReadFile(PathOf(kLogFileName), kFileLimitBytes));
  std::string_view remaining = bytes;
  m_recordPositions.clear();
  while (!remaining.empty()) {
    const RecordView record = ParseRecord(remaining);
    if (!record.valid) {
      break;
    }
    MIMOSARUN_TRY(wire::LogEntry entry, Decode<wire::LogEntry>(std::string(record.payload)));
    const auto offset = static_cast<int64_t>(bytes.size() - remaining.size());
    m_recordPositions.push_back({ .index = entry.index, .offset = offset });
    if (entry.index > aContent.snapshot.index) {
      aContent.entries.push_back(std::move(entry));
    }
    remaining.remove_prefix(record.lengthBytes);
  }
  if (HasValidRecord(remaining)) {
    return Fail(ErrorKind::CorruptData,
                PathOf(kLogFileName) + ": damaged before its end; delete the data folder and restart to "
                                       "restore the replica from the others");
  }
  aContent.truncatedBytes = static_cast<int64_t>(remaining.size());
  m_logLengthBytes = static_cast<int64_t>(bytes.size() - remaining.size());
  return aContent;
}

Result<JournalContent>
Journal::Open()
{
  std::error_code code;
  std::filesystem::create_directories(m_folder, code);
  if (code) {
    return Fail(ErrorKind::StorageFailed,
                m_folder + ": " + code.message() + "; create the folder or free space");
  }
  // The folder's own name is durable only after this.
  BOOST_OUTCOME_TRYV(SyncFolder(std::filesystem::absolute(m_folder).parent_path().string()));
  JournalContent content;
  MIMOSARUN_TRY(content.ballot, ReadRecordFile<wire::Ballot>(PathOf(kBallotFileName)));
  MIMOSARUN_TRY(content.snapshot, ReadRecordFile<wire::SnapshotFile>(PathOf(kSnapshotFileName)));
  BOOST_OUTCOME_TRYV(OpenCommitFile());
  BOOST_OUTCOME_TRYV(OpenLogFile());
  MIMOSARUN_TRY(JournalContent stored, ReadLog(std::move(content)));
  if (stored.truncatedBytes > 0) {
    if (::ftruncate(m_logDescriptor, m_logLengthBytes) != 0) {
      return StorageError("cut " + PathOf(kLogFileName));
    }
  }
  if (m_syncFailed) {
    // What a failed sync should have covered may be readable and yet never reach the disk with a later sync.
    BOOST_OUTCOME_TRYV(RewriteLog(stored.entries));
    m_syncFailed = false;
  }
  // A process that was killed before its sync leaves entries that no sync has covered.
  BOOST_OUTCOME_TRYV(Sync());
  stored.commitIndex = ReadCommitIndex(stored);
  return stored;
}

Result<void>
Journal::SaveBallot(const wire::Ballot& aBallot)
{
  return ReplaceFile(PathOf(kBallotFileName), MakeRecord(Encode(aBallot)));
}

Result<void>
Journal::WriteInOrder(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t written = ::write(m_logDescriptor, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return StorageError("write to " + PathOf(kLogFileName));
    }
    aBytes.remove_prefix(static_cast<size_t>(written));
    if (!aBytes.empty()) {
      // Without this the rest could outlive the first part in a power loss, which looks like damage.
      BOOST_OUTCOME_TRYV(Sync());
    }
  }
  return boost::outcome_v2::success();
}

Result<void>
Journal::Append(const std::vector<wire::LogEntry>& aEntries)
{
  if (aEntries.empty()) {
    return boost::outcome_v2::success();
  }
  std::string bytes;
  std::vector<RecordPosition> positions;
  for (const wire::LogEntry& entry : aEntries) {
    positions.push_back(
      { .index = entry.index, .offset = m_logLengthBytes + static_cast<int64_t>(bytes.size()) });
    bytes += MakeRecord(Encode(entry));
  }
  if (::lseek(m_logDescriptor, m_logLengthBytes, SEEK_SET) < 0) {
    return StorageError("seek " + PathOf(kLogFileName));
  }
  const Result<void> written = WriteInOrder(bytes);
  if (!written) {
    // Best effort: a remaining incomplete record is truncated when the journal is opened again.
    static_cast<void>(::ftruncate(m_logDescriptor, m_logLengthBytes) == 0);
    return written;
  }
  BOOST_OUTCOME_TRYV(Sync());
  m_logLengthBytes += static_cast<int64_t>(bytes.size());
  m_recordPositions.insert(m_recordPositions.end(), positions.begin(), positions.end());
  return boost::outcome_v2::success();
}

Result<void>
Journal::TruncateFrom(int64_t aIndex)
{
  while (!m_recordPositions.empty() && m_recordPositions.back().index >= aIndex) {
    m_logLengthBytes = m_recordPositions.back().offset;
    m_recordPositions.pop_back();
  }
  if (::ftruncate(m_logDescriptor, m_logLengthBytes) != 0) {
    return StorageError("cut " + PathOf(kLogFileName));
  }
  return Sync();
}

Result<void>
Journal::RewriteLog(const std::vector<wire::LogEntry>& aEntries)
{
  std::string bytes;
  std::vector<RecordPosition> positions;
  for (const wire::LogEntry& entry : aEntries) {
    positions.push_back({ .index = entry.index, .offset = static_cast<int64_t>(bytes.size()) });
    bytes += MakeRecord(Encode(entry));
  }
  BOOST_OUTCOME_TRYV(ReplaceFile(PathOf(kLogFileName), bytes));
  m_recordPositions = std::move(positions);
  m_logLengthBytes = static_cast<int64_t>(bytes.size());
  return OpenLogFile();
}

Result<void>
Journal::SaveSnapshot(const wire::SnapshotFile& aSnapshot, const std::vector<wire::LogEntry>& aRemaining)
{
  BOOST_OUTCOME_TRYV(ReplaceFile(PathOf(kSnapshotFileName), MakeRecord(Encode(aSnapshot))));
  return RewriteLog(aRemaining);
}

Result<int64_t>
LoadOrCreateIncarnation(const std::string& aFolder, std::optional<int64_t> aInitial)
{
  const std::string path = aFolder + "/" + kIncarnationFileName;
  std::error_code code;
  std::filesystem::create_directories(aFolder, code);
  if (!std::filesystem::exists(path)) {
    wire::Ballot identity;
    identity.term = aInitial.value_or(WallNow().time_since_epoch().count());
    BOOST_OUTCOME_TRYV(ReplaceFile(path, MakeRecord(Encode(identity))));
  }
  // A process that was killed as it created the file may have left it without this sync.
  BOOST_OUTCOME_TRYV(SyncFolder(aFolder));
  MIMOSARUN_TRY(const wire::Ballot identity, ReadRecordFile<wire::Ballot>(path));
  return identity.term;
}

} // namespace mimosarun
