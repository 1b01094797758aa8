#pragma once

#include "common/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace mimosarun {

/** Runs functions at deadlines, on one thread; the functions must be short. Thread-safe. */
class TimerQueue
{
public:
  TimerQueue();
  ~TimerQueue();

  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  /** Runs a function once at a deadline; functions that are still due when the queue ends don't run. */
  void RunAt(Deadline aDeadline, std::function<void()> aFunction);

private:
  void Run();

  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::multimap<Deadline, std::function<void()>> m_functions;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
