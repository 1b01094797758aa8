#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <string>
#include <vector>

namespace mimosarun {

/** A child process of a test; the destructor kills it if it still runs. */
class Process
{
public:
  Process() = default;
  ~Process();

  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;

  /** Starts a command; appends its output to the file aOutput. Environment variables are "NAME=value". */
  static Process Start(const std::vector<std::string>& aCommand,
                       const std::string& aOutput,
                       const std::vector<std::string>& aEnvironment = {});

  pid_t Id() const { return m_pid; }
  bool Running();

  void Signal(int aSignal) const;

  /** Sends SIGKILL and waits until the process has ended. */
  void Kill();

  /** Waits for the end; returns false if aTime passes first. aStatus is -1 after a signal. */
  bool WaitForEnd(std::chrono::milliseconds aTime, int& aStatus);

private:
  /** Notes the end of the process, if it has ended. Several threads may ask. */
  void NoteEnd();

  std::atomic<pid_t> m_pid{ -1 };
  /** Set once the process has ended by itself; -1 after a signal. */
  std::atomic<int> m_exitStatus{ -1 };
};

/** Returns the resident memory of a process, in bytes. */
size_t
ResidentMemoryBytes(pid_t aProcess);

/** Returns the highest resident memory of a process so far, in bytes. */
size_t
PeakMemoryBytes(pid_t aProcess);

/** Waits until a condition holds; returns false if aTime passes first. */
template<typename Condition>
bool
WaitUntil(std::chrono::milliseconds aTime, Condition aCondition);

/** Sleeps between two checks of a condition. */
void
PauseBetweenChecks();

template<typename Condition>
bool
WaitUntil(std::chrono::milliseconds aTime, Condition aCondition)
{
  const auto limit = std::chrono::steady_clock::now() + aTime;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= limit) {
      return false;
    }
    PauseBetweenChecks();
  }
  return true;
}

} // namespace mimosarun
