#pragma once

#include "common/clock.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace mimosarun {

/** One thread that runs the handlers of its connections and timers; each of them stays on one loop for life.
 */
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  boost::asio::io_context& Context() { return m_context; }

  /** Whether the calling thread is the loop's own. */
  bool IsCurrent() const;

  /** Runs a function on the loop's thread: at once if that is the caller's, else soon. */
  void Dispatch(std::function<void()> aFunction);

  /** Runs a function on the loop's thread at a time; it can't be taken back. */
  void RunAt(Deadline aTime, std::function<void()> aFunction);

  /** Ends the thread; handlers that still wait don't run. */
  void Stop();

private:
  boost::asio::io_context m_context{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

/** A fixed number of loops that share the work of a process. */
class EventLoops
{
public:
  explicit EventLoops(unsigned int aCount);

  /** The loops in turn. */
  EventLoop& Next();

  EventLoop& First() { return *m_loops.front(); }

  void Stop();

private:
  std::vector<std::unique_ptr<EventLoop>> m_loops;
  std::atomic<size_t> m_next{ 0 };
};

} // namespace mimosarun
