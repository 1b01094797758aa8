#include "quota/decayedrate.h"

#include <cmath>

namespace mimosarun {

/** Short enough to follow a burst within a few reports, long enough that a request a second is steady. */
static constexpr std::chrono::duration<double> kDecayTime{ 2 };

void
DecayedRate::Add(Deadline aNow)
{
  m_perSecond = PerSecond(aNow) + 1 / kDecayTime.count();
  m_updatedAt = aNow;
}

double
DecayedRate::PerSecond(Deadline aNow) const
{
  const std::chrono::duration<double> age = aNow - m_updatedAt;
  return age.count() <= 0 ? m_perSecond : m_perSecond * std::exp(-age / kDecayTime);
}

} // namespace mimosarun
