#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace mimosarun {

/** A pool of threads that run queued jobs, which may block. Thread-safe. */
class WorkerPool
{
public:
  struct Options
  {
    unsigned int threads = 2;
    size_t queueLimit = 1024;
  };

  explicit WorkerPool(Options aOptions);

  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /** Queues a job; returns false if the queue is full or the pool is stopped. */
  bool Post(std::function<void()> aJob);

  /** Drops the queued jobs and waits for those that are running. */
  void Stop();

private:
  void Run();

  Options m_options;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<std::function<void()>> m_jobs;
  bool m_isStopped = false;
  std::vector<std::thread> m_threads;
};

} // namespace mimosarun
