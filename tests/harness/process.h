#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace mimosarun {

/** A child process of a test; killed at the end if it still runs. */
class Process
{
public:
  Process() = default;
  ~Process();

  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;

  /** Environment variables are given as "NAME=value"; output goes to the file. */
  static Process Start(const std::vector<std::string>& aCommand,
                       const std::string& aOutput,
                       const std::vector<std::string>& aEnvironment = {});

  pid_t Id() const { return m_pid; }
  bool Running();

  void Signal(int aSignal) const;

  /** Sends SIGKILL and waits. */
  void Kill();

  /** Waits for the end; false if it doesn't come in time. The status is -1 after a signal. */
  bool WaitForEnd(std::chrono::milliseconds aTime, int& aStatus);

private:
  pid_t m_pid = -1;
};

/** Waits until a condition holds; false if it doesn't in time. */
template<typename Condition>
bool
WaitUntil(std::chrono::milliseconds aTime, Condition aCondition);

/** A pause between two looks at a condition. */
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
