#pragma once

#include "common/clock.h"
#include "http/eventloop.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>

namespace mimosarun {

/** The timers of one call. Runs on the loop of the call. */
class CallTimers
{
public:
  enum class Timer
  {
    Deadline,
    HalfTime,
    Hedge,
  };

  explicit CallTimers(EventLoop& aLoop);

  /** Calls a function at a time, unless the timers are cancelled before. */
  void Start(Timer aTimer, Deadline aAt, std::function<void()> aFunction);

  void CancelAll();

private:
  std::array<boost::asio::steady_timer, 3> m_timers;
};

} // namespace mimosarun
