#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace mimosarun {

/** A few threads that run queued jobs which may block. */
class Workers
{
public:
  struct Options
  {
    unsigned int threads = 2;
    size_t queueLimit = 1024;
  };

  explicit Workers(Options aOptions);

  ~Workers();

  Workers(const Workers&) = delete;
  Workers& operator=(const Workers&) = delete;

  /** Queues a job; false if the queue is full or stopped. */
  bool Post(std::function<void()> aJob);

  /** Runs no further jobs and waits for those that run; waiting jobs are dropped. */
  void Stop();

private:
  void Run();

  Options m_options;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<std::function<void()>> m_jobs;
  bool m_stop = false;
  std::vector<std::thread> m_threads;
};

} // namespace mimosarun
