#include "common/file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace mimosarun {

static Error
SystemError(const std::string& aOperation, const std::string& aPath)
{
  return { .kind = ErrorKind::StorageFailed,
           .message =
             aOperation + " " + aPath + ": " + std::strerror(errno) + "; free space or replace the disk" };
}

Result<std::string>
ReadFile(const std::string& aPath, size_t aLimit)
{
  std::ifstream stream(aPath, std::ios::binary);
  std::error_code code;
  if (!stream || std::filesystem::is_directory(aPath, code)) {
    return Fail(ErrorKind::FileUnreadable, aPath + ": can't be read; check the path and its permissions");
  }
  std::string bytes;
  std::string chunk(64 * 1024, '\0');
  while (stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size())) || stream.gcount() > 0) {
    bytes.append(chunk, 0, static_cast<size_t>(stream.gcount()));
    if (bytes.size() > aLimit) {
      return Fail(ErrorKind::InvalidInput,
                  aPath + ": larger than " + std::to_string(aLimit) + " bytes; split or shorten it");
    }
  }
  return bytes;
}

Result<void>
WriteAll(int aDescriptor, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t written = ::write(aDescriptor, aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return boost::outcome_v2::failure(SystemError("write to", "file"));
    }
    aBytes.remove_prefix(static_cast<size_t>(written));
  }
  return boost::outcome_v2::success();
}

Result<void>
SyncFolder(const std::string& aPath)
{
  const int descriptor = ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return boost::outcome_v2::failure(SystemError("open", aPath));
  }
  const int failed = ::fsync(descriptor);
  ::close(descriptor);
  if (failed != 0) {
    return boost::outcome_v2::failure(SystemError("sync", aPath));
  }
  return boost::outcome_v2::success();
}

static Result<void>
WriteSynced(const std::string& aPath, std::string_view aBytes)
{
  const int descriptor = ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (descriptor < 0) {
    return boost::outcome_v2::failure(SystemError("open", aPath));
  }
  const Result<void> written = WriteAll(descriptor, aBytes);
  const int failed = written ? ::fsync(descriptor) : -1;
  ::close(descriptor);
  if (failed != 0) {
    return boost::outcome_v2::failure(SystemError("write and sync", aPath));
  }
  return boost::outcome_v2::success();
}

Result<void>
ReplaceFile(const std::string& aPath, std::string_view aBytes)
{
  const std::string temporary = aPath + ".new";
  BOOST_OUTCOME_TRYV(WriteSynced(temporary, aBytes));
  if (::rename(temporary.c_str(), aPath.c_str()) != 0) {
    return boost::outcome_v2::failure(SystemError("rename", temporary));
  }
  return SyncFolder(std::filesystem::path(aPath).parent_path().string());
}

} // namespace mimosarun
