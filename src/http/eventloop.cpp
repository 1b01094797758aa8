#include "http/eventloop.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace mimosarun {

EventLoop::EventLoop()
  : m_work(boost::asio::make_work_guard(m_context))
  , m_thread([this] { m_context.run(); })
{
}

EventLoop::~EventLoop()
{
  Stop();
}

bool
EventLoop::IsCurrent() const
{
  return std::this_thread::get_id() == m_thread.get_id();
}

void
EventLoop::Dispatch(std::function<void()> aFunction)
{
  boost::asio::dispatch(m_context, std::move(aFunction));
}

void
EventLoop::RunAt(Deadline aTime, std::function<void()> aFunction)
{
  const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, aTime);
  timer->async_wait([timer, function = std::move(aFunction)](const boost::system::error_code& aError) {
    if (!aError) {
      function();
    }
  });
}

void
EventLoop::Stop()
{
  m_context.stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

EventLoops::EventLoops(unsigned int aCount)
{
  for (unsigned int i = 0; i < aCount; ++i) {
    m_loops.push_back(std::make_unique<EventLoop>());
  }
}

EventLoop&
EventLoops::Next()
{
  return *m_loops[m_next++ % m_loops.size()];
}

void
EventLoops::Stop()
{
  for (const auto& loop : m_loops) {
    loop->Stop();
  }
}

} // namespace mimosarun
