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

/** A thread that runs the handlers of its connections and timers, which never move to another loop. */
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();

  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  boost::asio::io_context& Context() { return m_context; }

  /** Returns whether the calling thread is the loop's own. */
  bool IsCurrent() const;

  /** Runs a function on the loop's thread: immediately if called on that thread, otherwise later. */
  void Dispatch(std::function<void()> aFunction);

  /** Runs a function on the loop's thread at the given time; it can't be cancelled. */
  void RunAt(Deadline aTime, std::function<void()> aFunction);

  /** Ends the thread; pending handlers don't run. */
  void Stop();

private:
  boost::asio::io_context m_context{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

/** A fixed number of event loops that share the work of a process. */
class EventLoops
{
public:
  explicit EventLoops(unsigned int aCount);

  /** Returns the next loop, in round-robin order. */
  EventLoop& Next();

  EventLoop& First() { return *m_loops.front(); }

  void Stop();

private:
  std::vector<std::unique_ptr<EventLoop>> m_loops;
  std::atomic<size_t> m_next{ 0 };
};

} // namespace mimosarun
