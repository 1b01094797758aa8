#pragma once

#include "common/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace mimosarun {

/** Runs functions at given times on one thread. The functions must not block. Thread-safe. */
class TimerQueue
{
public:
  TimerQueue();
  ~TimerQueue();

  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  /** Schedules a function to run once. Functions that are pending when the queue is destroyed don't run. */
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
