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
static constexpr const char* kLogName = "log";
static constexpr const char* kBallotName = "ballot";
static constexpr const char* kSnapshotName = "snapshot";
static constexpr const char* kCommitName = "commit";
static constexpr const char* kIncarnationName = "incarnation";

static auto
StorageFailure(const std::string& aWhat)
{
  return Fail(ErrorKind::StorageFailed,
              aWhat + ": " + std::strerror(errno) + "; free space or replace the disk");
}

/** Reads a file of one record; a missing file gives the default message. */
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
                aPath + ": damaged; delete the data folder and restart, so that the replica is filled anew");
  }
  return Decode<Message>(std::string(record.payload));
}

Journal::Journal(std::string aFolder)
  : m_folder(std::move(aFolder))
{
}

Journal::~Journal()
{
  for (const int descriptor : { m_descriptor, m_commitDescriptor }) {
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
  if (m_descriptor >= 0) {
    ::close(m_descriptor);
  }
  m_descriptor = ::open(PathOf(kLogName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (m_descriptor < 0) {
    return StorageFailure("open " + PathOf(kLogName));
  }
  return SyncFolder(m_folder);
}

Result<void>
Journal::OpenCommitFile()
{
  if (m_commitDescriptor >= 0) {
    return boost::outcome_v2::success();
  }
  m_commitDescriptor = ::open(PathOf(kCommitName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (m_commitDescriptor < 0) {
    return StorageFailure("open " + PathOf(kCommitName));
  }
  return boost::outcome_v2::success();
}

int64_t
Journal::ReadCommitted(const JournalContent& aContent) const
{
  // The file is overwritten in place, so a torn one only means that nothing is known.
  const Result<std::string> bytes = ReadFile(PathOf(kCommitName), kFileLimitBytes);
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
Journal::SaveCommitted(int64_t aIndex)
{
  wire::CommitMark mark;
  mark.index = aIndex;
  const std::string bytes = MakeRecord(Encode(mark));
  const ssize_t written = ::pwrite(m_commitDescriptor, bytes.data(), bytes.size(), 0);
  if (written != static_cast<ssize_t>(bytes.size()) || ::fdatasync(m_commitDescriptor) != 0) {
    return StorageFailure("write " + PathOf(kCommitName));
  }
  return boost::outcome_v2::success();
}

Result<void>
Journal::Sync()
{
  if (::fdatasync(m_descriptor) != 0) {
    m_syncFailed = true;
    return StorageFailure("sync " + PathOf(kLogName));
  }
  return boost::outcome_v2::success();
}

Result<JournalContent>
Journal::ReadLog(JournalContent aContent)
{
  MIMOSARUN_TRY(const std::string bytes, ReadFile(PathOf(kLogName), kFileLimitBytes));
  std::string_view rest = bytes;
  m_positions.clear();
  while (!rest.empty()) {
    const RecordView record = ParseRecord(rest);
    if (!record.valid) {
      break;
    }
    MIMOSARUN_TRY(wire::LogEntry entry, Decode<wire::LogEntry>(std::string(record.payload)));
    const auto offset = static_cast<int64_t>(bytes.size() - rest.size());
    m_positions.push_back({ .index = entry.index, .offset = offset });
    if (entry.index > aContent.snapshot.index) {
      aContent.entries.push_back(std::move(entry));
    }
    rest.remove_prefix(record.length);
  }
  if (HasValidRecord(rest)) {
    return Fail(
      ErrorKind::CorruptData,
      PathOf(kLogName) +
        ": damaged before its end; delete the data folder and restart, so that the replica is filled anew");
  }
  aContent.cutBytes = static_cast<int64_t>(rest.size());
  m_length = static_cast<int64_t>(bytes.size() - rest.size());
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
  JournalContent content;
  MIMOSARUN_TRY(content.ballot, ReadRecordFile<wire::Ballot>(PathOf(kBallotName)));
  MIMOSARUN_TRY(content.snapshot, ReadRecordFile<wire::SnapshotFile>(PathOf(kSnapshotName)));
  BOOST_OUTCOME_TRYV(OpenCommitFile());
  BOOST_OUTCOME_TRYV(OpenLogFile());
  MIMOSARUN_TRY(JournalContent read, ReadLog(std::move(content)));
  if (read.cutBytes > 0) {
    if (::ftruncate(m_descriptor, m_length) != 0) {
      return StorageFailure("cut " + PathOf(kLogName));
    }
    BOOST_OUTCOME_TRYV(Sync());
  }
  read.committed = ReadCommitted(read);
  return read;
}

Result<void>
Journal::SaveBallot(const wire::Ballot& aBallot)
{
  return ReplaceFile(PathOf(kBallotName), MakeRecord(Encode(aBallot)));
}

Result<void>
Journal::Append(const std::vector<wire::LogEntry>& aEntries)
{
  if (aEntries.empty()) {
    return boost::outcome_v2::success();
  }
  std::string bytes;
  std::vector<Position> positions;
  for (const wire::LogEntry& entry : aEntries) {
    positions.push_back({ .index = entry.index, .offset = m_length + static_cast<int64_t>(bytes.size()) });
    bytes += MakeRecord(Encode(entry));
  }
  if (::lseek(m_descriptor, m_length, SEEK_SET) < 0) {
    return StorageFailure("seek " + PathOf(kLogName));
  }
  const Result<void> written = WriteAll(m_descriptor, bytes);
  if (!written) {
    // Best effort: whatever stays of the unfinished write is cut when the journal is opened again.
    static_cast<void>(::ftruncate(m_descriptor, m_length) == 0);
    return written;
  }
  BOOST_OUTCOME_TRYV(Sync());
  m_length += static_cast<int64_t>(bytes.size());
  m_positions.insert(m_positions.end(), positions.begin(), positions.end());
  return boost::outcome_v2::success();
}

Result<void>
Journal::TruncateFrom(int64_t aIndex)
{
  while (!m_positions.empty() && m_positions.back().index >= aIndex) {
    m_length = m_positions.back().offset;
    m_positions.pop_back();
  }
  if (::ftruncate(m_descriptor, m_length) != 0) {
    return StorageFailure("cut " + PathOf(kLogName));
  }
  return Sync();
}

Result<void>
Journal::SaveSnapshot(const wire::SnapshotFile& aSnapshot, const std::vector<wire::LogEntry>& aRemaining)
{
  BOOST_OUTCOME_TRYV(ReplaceFile(PathOf(kSnapshotName), MakeRecord(Encode(aSnapshot))));
  std::string bytes;
  std::vector<Position> positions;
  for (const wire::LogEntry& entry : aRemaining) {
    positions.push_back({ .index = entry.index, .offset = static_cast<int64_t>(bytes.size()) });
    bytes += MakeRecord(Encode(entry));
  }
  BOOST_OUTCOME_TRYV(ReplaceFile(PathOf(kLogName), bytes));
  m_positions = std::move(positions);
  m_length = static_cast<int64_t>(bytes.size());
  return OpenLogFile();
}

bool
Journal::SyncFailed() const
{
  return m_syncFailed;
}

Result<int64_t>
LoadOrCreateIncarnation(const std::string& aFolder, std::optional<int64_t> aFirst)
{
  const std::string path = aFolder + "/" + kIncarnationName;
  std::error_code code;
  std::filesystem::create_directories(aFolder, code);
  if (!std::filesystem::exists(path)) {
    wire::Ballot identity;
    identity.term = aFirst.value_or(WallNow().time_since_epoch().count());
    BOOST_OUTCOME_TRYV(ReplaceFile(path, MakeRecord(Encode(identity))));
  }
  MIMOSARUN_TRY(const wire::Ballot identity, ReadRecordFile<wire::Ballot>(path));
  return identity.term;
}

} // namespace mimosarun
