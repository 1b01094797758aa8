#include "caller/calltimers.h"

#include <utility>

namespace mimosarun {

CallTimers::CallTimers(EventLoop& aLoop)
  : m_timers{ boost::asio::steady_timer(aLoop.Context()),
              boost::asio::steady_timer(aLoop.Context()),
              boost::asio::steady_timer(aLoop.Context()) }
{
}

void
CallTimers::Start(Timer aTimer, Deadline aAt, std::function<void()> aFunction)
{
  boost::asio::steady_timer& timer = m_timers.at(static_cast<size_t>(aTimer));
  timer.expires_at(aAt);
  timer.async_wait([function = std::move(aFunction)](const boost::system::error_code& aError) {
    if (!aError) {
      function();
    }
  });
}

void
CallTimers::CancelAll()
{
  for (boost::asio::steady_timer& timer : m_timers) {
    timer.cancel();
  }
}

} // namespace mimosarun
