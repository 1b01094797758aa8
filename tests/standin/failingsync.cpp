// A test preloads this library into a control replica. fdatasync() fails with EIO while the file named by
// STANDIN_FAIL_SYNC exists.
#include <dlfcn.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

extern "C" int
fdatasync(int aDescriptor)
{
  using Function = int (*)(int);
  static const auto kReal = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "fdatasync"));
  const char* triggerFile = std::getenv("STANDIN_FAIL_SYNC");
  if (triggerFile != nullptr && ::access(triggerFile, F_OK) == 0) {
    errno = EIO;
    return -1;
  }
  return kReal(aDescriptor);
}

// Writes to regular files fail with ENOSPC, as on a full disk, while the file named by STANDIN_FULL_DISK
// exists.
extern "C" ssize_t
write(int aDescriptor, const void* aBytes, size_t aCount)
{
  using Function = ssize_t (*)(int, const void*, size_t);
  static const auto kReal = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, "write"));
  const char* triggerFile = std::getenv("STANDIN_FULL_DISK");
  struct stat status = {};
  const bool isRegularFile = ::fstat(aDescriptor, &status) == 0 && S_ISREG(status.st_mode);
  if (triggerFile != nullptr && isRegularFile && ::access(triggerFile, F_OK) == 0) {
    errno = ENOSPC;
    return -1;
  }
  return kReal(aDescriptor, aBytes, aCount);
}
