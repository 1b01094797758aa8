#pragma once

#include <exception>
#include <functional>
#include <semaphore>
#include <thread>

namespace mimosarun {

/**
 * Runs a function that can be paused in its middle, as a process is by a stalled disk. The function runs on a
 * thread of its own and never at the same time as its caller, so that the order of events is reproducible.
 */
class PausableStep
{
public:
  PausableStep() = default;
  ~PausableStep();

  PausableStep(const PausableStep&) = delete;
  PausableStep& operator=(const PausableStep&) = delete;

  /** Runs a function until it ends or pauses; passes on its exception. */
  void Run(std::function<void()> aFunction);

  /** Called by the function: returns only after Resume(). */
  void Pause();

  /** Continues a paused function until it ends or pauses again. */
  void Resume();

  bool IsPaused() const { return m_thread.joinable(); }

private:
  void Continue();

  std::binary_semaphore m_functionTurn{ 0 };
  std::binary_semaphore m_callerTurn{ 0 };
  bool m_hasEnded = false;
  std::exception_ptr m_exception;
  std::thread m_thread;
};

} // namespace mimosarun
