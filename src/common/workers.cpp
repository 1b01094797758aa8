#include "common/workers.h"

namespace mimosarun {

WorkerPool::WorkerPool(Options aOptions)
  : m_options(aOptions)
{
  for (unsigned int i = 0; i < m_options.threads; ++i) {
    m_threads.emplace_back([this] { Run(); });
  }
}

WorkerPool::~WorkerPool()
{
  Stop();
}

void
WorkerPool::Stop()
{
  std::deque<std::function<void()>> dropped;
  {
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    dropped.swap(m_jobs);
  }
  m_wake.notify_all();
  for (std::thread& thread : m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

bool
WorkerPool::Post(std::function<void()> aJob)
{
  {
    const std::lock_guard lock(m_mutex);
    if (m_isStopped || m_jobs.size() >= m_options.queueLimit) {
      return false;
    }
    m_jobs.push_back(std::move(aJob));
  }
  m_wake.notify_one();
  return true;
}

void
WorkerPool::Run()
{
  std::unique_lock lock(m_mutex);
  while (true) {
    m_wake.wait(lock, [this] { return m_isStopped || !m_jobs.empty(); });
    if (m_isStopped) {
      return;
    }
    std::function<void()> job = std::move(m_jobs.front());
    m_jobs.pop_front();
    lock.unlock();
    job();
    job = nullptr;
    lock.lock();
  }
}

} // namespace mimosarun
