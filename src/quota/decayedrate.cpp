#include "quota/decayedrate.h"

#include <cmath>

namespace mimosarun {

void
DecayedRate::SetDecayTime(std::chrono::milliseconds aTime, Deadline aNow)
{
  m_perSecond = PerSecond(aNow);
  m_updatedAt = aNow;
  m_decayTime = aTime;
}

void
DecayedRate::Add(Deadline aNow)
{
  m_perSecond = PerSecond(aNow) + 1 / m_decayTime.count();
  m_updatedAt = aNow;
}

double
DecayedRate::PerSecond(Deadline aNow) const
{
  const std::chrono::duration<double> age = aNow - m_updatedAt;
  return age.count() <= 0 ? m_perSecond : m_perSecond * std::exp(-age / m_decayTime);
}

} // namespace mimosarun
