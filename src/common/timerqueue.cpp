#include "common/timerqueue.h"

namespace mimosarun {

TimerQueue::TimerQueue()
  : m_thread([this] { Run(); })
{
}

TimerQueue::~TimerQueue()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  m_thread.join();
}

void
TimerQueue::RunAt(Deadline aDeadline, std::function<void()> aFunction)
{
  bool isEarliest = false;
  {
    const std::lock_guard lock(m_mutex);
    isEarliest = m_functions.empty() || aDeadline < m_functions.begin()->first;
    m_functions.emplace(aDeadline, std::move(aFunction));
  }
  if (isEarliest) {
    m_wake.notify_one();
  }
}

void
TimerQueue::Run()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    if (m_functions.empty()) {
      m_wake.wait(lock);
      continue;
    }
    const Deadline next = m_functions.begin()->first;
    if (SteadyClock::now() < next) {
      m_wake.wait_until(lock, next);
      continue;
    }
    std::function<void()> function = std::move(m_functions.begin()->second);
    m_functions.erase(m_functions.begin());
    lock.unlock();
    function();
    function = nullptr;
    lock.lock();
  }
}

} // namespace mimosarun
