#include "quota/demandestimate.h"

#include <cmath>

namespace mimosarun {

/** Short enough to follow a burst within a few reports, long enough that a request a second is steady. */
static constexpr std::chrono::duration<double> kAveragingTime{ 2 };

double
DemandEstimate::Sample(Deadline aNow)
{
  const std::chrono::duration<double> elapsed = aNow - m_sampledAt;
  if (elapsed.count() > 0) {
    const double weight = 1 - std::exp(-elapsed / kAveragingTime);
    m_perSecond += weight * (static_cast<double>(m_requests) / elapsed.count() - m_perSecond);
    m_requests = 0;
    m_sampledAt = aNow;
  }
  return m_perSecond;
}

} // namespace mimosarun
