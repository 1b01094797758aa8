#include "control/simulateddisk.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <utility>
#include <vector>

namespace mimosarun {

namespace fs = std::filesystem;

/** A write or, without bytes, a truncation that no sync has covered yet. */
struct PendingWrite
{
  size_t offset = 0;
  std::string bytes;
  bool truncates = false;
  /** Whether a sync that should have covered it failed; no later one covers it then. */
  bool isLost = false;
};

/** A file's content after its last sync and the writes since then. */
struct FileRecord
{
  std::string durable;
  std::vector<PendingWrite> pending;
  /** Whether a sync of the file has failed, so that its content may differ from what later syncs cover. */
  bool hadFailedSync = false;
  /** Keeps the number of the file from being used again. */
  int descriptor = -1;

  ~FileRecord()
  {
    if (descriptor >= 0) {
      ::close(descriptor);
    }
  }
};

using FilePointer = std::shared_ptr<FileRecord>;
/** Names of a folder and their files. */
using Names = std::map<std::string, FilePointer>;

static std::string gRoot;
static DiskFaults gFaults;
static std::map<ino_t, FilePointer> gFiles;
static std::map<std::string, Names> gDurableNames;

static std::string
PathOf(int aDescriptor)
{
  std::error_code code;
  const std::string path = fs::read_symlink("/proc/self/fd/" + std::to_string(aDescriptor), code).string();
  return code || gRoot.empty() || !path.starts_with(gRoot) ? "" : path;
}

static std::string
ContentOf(const std::string& aPath)
{
  std::ostringstream content;
  content << std::ifstream(aPath, std::ios::binary).rdbuf();
  return content.str();
}

static FilePointer
FileAt(const std::string& aPath)
{
  struct stat status
  {};
  if (::stat(aPath.c_str(), &status) != 0) {
    return nullptr;
  }
  FilePointer& file = gFiles[status.st_ino];
  if (file == nullptr) {
    file = std::make_shared<FileRecord>();
    file->descriptor = ::open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  }
  return file;
}

static Names
CurrentNames(const std::string& aFolder)
{
  Names names;
  for (const fs::directory_entry& entry : fs::directory_iterator(aFolder)) {
    names[entry.path().filename().string()] = entry.is_directory() ? nullptr : FileAt(entry.path().string());
  }
  return names;
}

/** Applies the first aLength bytes of a write, or a truncation, to a file's content. */
static void
ApplyTo(std::string& aContent, const PendingWrite& aWrite, size_t aLength)
{
  if (aWrite.truncates) {
    aContent.resize(aWrite.offset);
    return;
  }
  aContent.resize(std::max(aContent.size(), aWrite.offset + aLength));
  aContent.replace(aWrite.offset, aLength, aWrite.bytes, 0, aLength);
}

static void
RecordFileSync(FileRecord& aFile, const std::string& aPath)
{
  if (!aFile.hadFailedSync) {
    aFile.durable = ContentOf(aPath);
  }
  for (const PendingWrite& write : aFile.pending) {
    if (aFile.hadFailedSync && !write.isLost) {
      ApplyTo(aFile.durable, write, write.bytes.size());
    }
  }
  aFile.pending.clear();
}

static void
RecordSync(int aDescriptor)
{
  const std::string path = PathOf(aDescriptor);
  if (path.empty()) {
    return;
  }
  const std::string openPath = "/proc/self/fd/" + std::to_string(aDescriptor);
  if (fs::is_directory(path)) {
    gDurableNames[path] = CurrentNames(path);
  } else if (const FilePointer file = FileAt(openPath)) {
    RecordFileSync(*file, openPath);
  }
}

static void
RecordFailedSync(int aDescriptor)
{
  const FilePointer file = FileAt("/proc/self/fd/" + std::to_string(aDescriptor));
  file->hadFailedSync = true;
  for (PendingWrite& write : file->pending) {
    write.isLost = true;
  }
}

static void
RecordWrite(int aDescriptor, PendingWrite aWrite)
{
  if (!PathOf(aDescriptor).empty()) {
    FileAt("/proc/self/fd/" + std::to_string(aDescriptor))->pending.push_back(std::move(aWrite));
  }
}

/** Returns whether the process is still alive after counting an operation on a recorded file. */
static bool
Survives(bool aIsRecorded)
{
  if (const auto beforeOperation = gFaults.beforeOperation; aIsRecorded && beforeOperation) {
    // May return after other faults have been set.
    beforeOperation();
  }
  if (!aIsRecorded || gFaults.operationsLeft < 0) {
    return true;
  }
  if (gFaults.operationsLeft == 0) {
    errno = EIO;
    return false;
  }
  --gFaults.operationsLeft;
  return true;
}

static ssize_t
SimulatedWrite(int aDescriptor, const char* aBytes, size_t aLength, off_t aOffset)
{
  const bool isRecorded = !PathOf(aDescriptor).empty();
  if (!Survives(isRecorded)) {
    return -1;
  }
  // A full disk takes half of the bytes and then refuses.
  const bool isRefused = isRecorded && gFaults.isFull && aLength < 2;
  const size_t length = isRecorded && gFaults.isFull ? aLength / 2 : aLength;
  if (isRefused) {
    errno = ENOSPC;
    return -1;
  }
  if (isRecorded) {
    RecordWrite(aDescriptor,
                { .offset = static_cast<size_t>(aOffset), .bytes = std::string(aBytes, length) });
  }
  return ::syscall(SYS_pwrite64, aDescriptor, aBytes, length, aOffset);
}

static int
SimulatedSync(int aDescriptor)
{
  const bool isRecorded = !PathOf(aDescriptor).empty();
  if (!Survives(isRecorded)) {
    return -1;
  }
  if (isRecorded && gFaults.refusesSyncs) {
    RecordFailedSync(aDescriptor);
    errno = EIO;
    return -1;
  }
  RecordSync(aDescriptor);
  return 0;
}

void
SimulatedDisk::Use(const std::string& aFolder)
{
  gRoot.clear();
  gFiles.clear();
  gDurableNames.clear();
  gFaults = {};
  fs::remove_all(aFolder);
  fs::create_directories(aFolder);
  gRoot = fs::canonical(aFolder).string();
}

void
SimulatedDisk::SetFaults(const DiskFaults& aFaults)
{
  gFaults = aFaults;
}

int
SimulatedDisk::OperationsLeft()
{
  return gFaults.operationsLeft;
}

bool
SimulatedDisk::WasKilled()
{
  return gFaults.operationsLeft == 0;
}

static std::string
ContentAfterPowerLoss(const FileRecord& aFile, std::mt19937_64& aRandom)
{
  std::string content = aFile.durable;
  const bool losesAll = aRandom() % 3 == 0;
  for (const PendingWrite& write : aFile.pending) {
    const auto fate = aRandom() % 3;
    if (losesAll || fate == 0) {
      continue;
    }
    const size_t length = fate == 1 ? aRandom() % (write.bytes.size() + 1) : write.bytes.size();
    ApplyTo(content, write, length);
  }
  return content;
}

/** Returns whether a file has no name and will have none after a power loss. */
static bool
IsRemoved(const FilePointer& aFile)
{
  struct stat status
  {};
  const bool hasNoName = ::fstat(aFile->descriptor, &status) == 0 && status.st_nlink == 0;
  return hasNoName && aFile.use_count() == 1;
}

void
SimulatedDisk::LosePower(const std::string& aFolder, std::mt19937_64& aRandom)
{
  const std::string folder = fs::weakly_canonical(aFolder).string();
  if (!fs::exists(folder)) {
    return;
  }
  const Names durable = gDurableNames[folder];
  const Names current = CurrentNames(folder);
  Names kept;
  Names all = current;
  all.insert(durable.begin(), durable.end());
  for (const auto& [name, unused] : all) {
    const Names& source = aRandom() % 2 == 0 ? durable : current;
    if (const auto found = source.find(name); found != source.end()) {
      kept.insert(*found);
    }
  }
  std::map<std::string, std::string> contents;
  for (const auto& [name, file] : kept) {
    if (file != nullptr) {
      contents[name] = ContentAfterPowerLoss(*file, aRandom);
    }
  }
  for (const auto& [name, file] : current) {
    const std::string path = folder + "/" + name;
    if (file == nullptr && kept.contains(name)) {
      LosePower(path, aRandom);
    } else {
      fs::remove_all(path);
    }
  }
  const DiskFaults faults = std::exchange(gFaults, {});
  Names& names = gDurableNames[folder];
  names = kept;
  for (const auto& [name, content] : contents) {
    std::ofstream(folder + "/" + name, std::ios::binary) << content;
    names[name] = FileAt(folder + "/" + name);
    names[name]->durable = content;
    names[name]->pending.clear();
  }
  std::erase_if(gFiles, [](const auto& aEntry) { return IsRemoved(aEntry.second); });
  gFaults = faults;
}

void
SimulatedDisk::LoseDisk(const std::string& aFolder)
{
  const std::string folder = fs::weakly_canonical(aFolder).string();
  std::erase_if(gDurableNames, [&](const auto& aEntry) {
    return aEntry.first == folder || aEntry.first.starts_with(folder + "/");
  });
  fs::remove_all(folder);
  fs::create_directory(folder);
}

} // namespace mimosarun

using namespace mimosarun;

static bool
IsBelowRoot(const char* aPath)
{
  return !gRoot.empty() && std::string(aPath).starts_with(gRoot);
}

extern "C" int
open(const char* aPath, int aFlags, ...)
{
  va_list arguments;
  va_start(arguments, aFlags);
  const mode_t mode = (aFlags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  const bool changesDisk = IsBelowRoot(aPath) && (aFlags & (O_CREAT | O_TRUNC)) != 0;
  if (changesDisk && gFaults.operationsLeft == 0) {
    errno = EIO;
    return -1;
  }
  const int descriptor = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, aPath, aFlags, mode));
  if (changesDisk && descriptor >= 0 && (aFlags & O_TRUNC) != 0) {
    RecordWrite(descriptor, { .offset = 0, .bytes = "", .truncates = true });
  }
  return descriptor;
}

extern "C" ssize_t
write(int aDescriptor, const void* aBytes, size_t aLength)
{
  if (PathOf(aDescriptor).empty()) {
    return ::syscall(SYS_write, aDescriptor, aBytes, aLength);
  }
  const off_t offset = ::lseek(aDescriptor, 0, SEEK_CUR);
  const ssize_t written = SimulatedWrite(aDescriptor, static_cast<const char*>(aBytes), aLength, offset);
  if (written > 0) {
    ::lseek(aDescriptor, offset + written, SEEK_SET);
  }
  return written;
}

extern "C" ssize_t
pwrite(int aDescriptor, const void* aBytes, size_t aLength, off_t aOffset)
{
  return SimulatedWrite(aDescriptor, static_cast<const char*>(aBytes), aLength, aOffset);
}

extern "C" int
fsync(int aDescriptor)
{
  return SimulatedSync(aDescriptor);
}

extern "C" int
fdatasync(int aDescriptor)
{
  return SimulatedSync(aDescriptor);
}

extern "C" int
ftruncate(int aDescriptor, off_t aLength) noexcept
{
  const bool isRecorded = !PathOf(aDescriptor).empty();
  if (!Survives(isRecorded)) {
    return -1;
  }
  if (isRecorded) {
    RecordWrite(aDescriptor, { .offset = static_cast<size_t>(aLength), .bytes = "", .truncates = true });
  }
  return static_cast<int>(::syscall(SYS_ftruncate, aDescriptor, aLength));
}

extern "C" int
rename(const char* aFrom, const char* aTo) noexcept
{
  if (!Survives(IsBelowRoot(aTo))) {
    return -1;
  }
  return static_cast<int>(::syscall(SYS_renameat, AT_FDCWD, aFrom, AT_FDCWD, aTo));
}
