#pragma once

#include "common/clock.h"

#include <algorithm>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>

namespace mimosarun {

/** Lets threads wait for the time at which each has work, which may become earlier meanwhile. Thread-safe. */
class WorkSignal
{
public:
  /** Has the threads that wait ask again when they have work. */
  void Notify();

  /** Ends all waits, those that begin later too. */
  void Stop();
  bool IsStopped();

  /**
   * Waits until there is work, but no less long than until aNotBefore. The function gets the current time and
   * returns when there is work, or nothing while there is none. Returns false as soon as Stop() is called.
   */
  template<typename Function>
  bool WaitForWork(Deadline aNotBefore, Function aWorkAt);

private:
  static constexpr std::chrono::seconds kIdleInterval{ 5 };

  std::mutex m_mutex;
  std::condition_variable m_wake;
  /** Number of notifications. */
  uint64_t m_wakeCount = 0;
  bool m_stop = false;
};

template<typename Function>
bool
WorkSignal::WaitForWork(Deadline aNotBefore, Function aWorkAt)
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    const uint64_t wakeCount = m_wakeCount;
    lock.unlock();
    const Deadline now = SteadyClock::now();
    const std::optional<Deadline> workAt = aWorkAt(now);
    const Deadline due = std::max(workAt.value_or(now + kIdleInterval), aNotBefore);
    lock.lock();
    if (workAt && due <= now && !m_stop) {
      return true;
    }
    // A notification that comes before aNotBefore counts too, as no other may follow.
    m_wake.wait_until(lock, due, [&] { return m_stop || m_wakeCount != wakeCount; });
  }
  return false;
}

} // namespace mimosarun
