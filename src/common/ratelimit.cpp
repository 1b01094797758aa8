#include "common/ratelimit.h"

namespace mimosarun {

RateLimit::RateLimit(int aPerSecond)
  : m_perSecond(aPerSecond)
{
}

bool
RateLimit::Allow(Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  if (aNow >= m_windowEnd) {
    m_windowEnd = aNow + std::chrono::seconds(1);
    m_usedInWindow = 0;
  }
  return m_usedInWindow++ < m_perSecond;
}

} // namespace mimosarun
