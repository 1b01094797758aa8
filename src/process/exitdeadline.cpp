#include "process/exitdeadline.h"

#include "common/log.h"

#include <cstdlib>

namespace mimosarun {

ExitDeadline::ExitDeadline(Deadline aAt)
  : m_at(aAt)
  , m_thread([this] { Run(); })
{
}

ExitDeadline::~ExitDeadline()
{
  {
    const std::lock_guard lock(m_mutex);
    m_cancelled = true;
  }
  m_wake.notify_all();
  m_thread.join();
}

void
ExitDeadline::Run()
{
  std::unique_lock lock(m_mutex);
  if (!m_wake.wait_until(lock, m_at, [this] { return m_cancelled; })) {
    Log(Event::ProcessEndedAtDeadline);
    std::_Exit(EXIT_SUCCESS);
  }
}

} // namespace mimosarun
