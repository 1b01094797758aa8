#pragma once

#include "common/clock.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace mimosarun {

/**
 * Ends the process at a deadline with exit code 0, unless it was destroyed before. For a process whose state
 * is safe, and that must not wait longer for calls of its threads to unreachable peers.
 */
class ExitDeadline
{
public:
  explicit ExitDeadline(Deadline aAt);
  ~ExitDeadline();

  ExitDeadline(const ExitDeadline&) = delete;
  ExitDeadline& operator=(const ExitDeadline&) = delete;

private:
  void Run();

  const Deadline m_at;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_cancelled = false;
  std::thread m_thread;
};

} // namespace mimosarun
