#include "harness/process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <string>

extern char** environ;

namespace mimosarun {

static constexpr int kCheckIntervalMilliseconds = 5;

Process::~Process()
{
  Kill();
}

Process::Process(Process&& aOther) noexcept
  : m_pid(aOther.m_pid.exchange(-1))
  , m_exitStatus(aOther.m_exitStatus.load())
{
}

Process&
Process::operator=(Process&& aOther) noexcept
{
  m_pid = aOther.m_pid.exchange(m_pid);
  m_exitStatus = aOther.m_exitStatus.exchange(m_exitStatus);
  return *this;
}

Process
Process::Start(const std::vector<std::string>& aCommand,
               const std::string& aOutput,
               const std::vector<std::string>& aEnvironment)
{
  std::vector<char*> arguments;
  for (const std::string& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  std::vector<char*> environment;
  for (char** variable = environ; *variable != nullptr; ++variable) {
    environment.push_back(*variable);
  }
  for (const std::string& variable : aEnvironment) {
    environment.push_back(const_cast<char*>(variable.c_str()));
  }
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, 1, aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // A child that held a listening socket of the test would keep its address in use.
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  Process process;
  pid_t pid = -1;
  ::posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  process.m_pid = pid;
  return process;
}

void
Process::NoteEnd()
{
  int status = 0;
  const pid_t pid = m_pid;
  if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) {
    m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    m_pid = -1;
  }
}

bool
Process::Running()
{
  NoteEnd();
  return m_pid > 0;
}

void
Process::Signal(int aSignal) const
{
  if (m_pid > 0) {
    ::kill(m_pid, aSignal);
  }
}

void
Process::Kill()
{
  if (m_pid > 0) {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
}

bool
Process::WaitForEnd(std::chrono::milliseconds aTime, int& aStatus)
{
  const bool hasEnded = WaitUntil(aTime, [&] { return !Running(); });
  aStatus = hasEnded ? m_exitStatus.load() : aStatus;
  return hasEnded;
}

void
PauseBetweenChecks()
{
  ::poll(nullptr, 0, kCheckIntervalMilliseconds);
}

static size_t
MemoryBytes(pid_t aProcess, const std::string& aLabel)
{
  static constexpr size_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string label;
  while (status >> label) {
    size_t kilobytes = 0;
    if (label == aLabel && status >> kilobytes) {
      return kilobytes * kBytesPerKilobyte;
    }
  }
  return 0;
}

size_t
ResidentMemoryBytes(pid_t aProcess)
{
  return MemoryBytes(aProcess, "VmRSS:");
}

size_t
PeakMemoryBytes(pid_t aProcess)
{
  return MemoryBytes(aProcess, "VmHWM:");
}

} // namespace mimosarun
