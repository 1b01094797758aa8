#include "quota/worksignal.h"

namespace mimosarun {

void
WorkSignal::Notify()
{
  {
    const std::lock_guard lock(m_mutex);
    ++m_wakeCount;
  }
  m_wake.notify_all();
}

void
WorkSignal::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
}

bool
WorkSignal::IsStopped()
{
  const std::lock_guard lock(m_mutex);
  return m_stop;
}

} // namespace mimosarun
