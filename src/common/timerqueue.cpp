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
TimerQueue::At(Deadline aDeadline, std::function<void()> aFunction)
{
  bool first = false;
  {
    const std::lock_guard lock(m_mutex);
    first = m_due.empty() || aDeadline < m_due.begin()->first;
    m_due.emplace(aDeadline, std::move(aFunction));
  }
  if (first) {
    m_wake.notify_one();
  }
}

void
TimerQueue::Run()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    if (m_due.empty()) {
      m_wake.wait(lock);
      continue;
    }
    const Deadline next = m_due.begin()->first;
    if (SteadyClock::now() < next) {
      m_wake.wait_until(lock, next);
      continue;
    }
    std::function<void()> function = std::move(m_due.begin()->second);
    m_due.erase(m_due.begin());
    lock.unlock();
    function();
    function = nullptr;
    lock.lock();
  }
}

} // namespace mimosarun
