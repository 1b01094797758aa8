#include "caller/loadestimate.h"

#include <algorithm>
#include <cmath>

namespace mimosarun {

/** Time constant of the average. */
static constexpr std::chrono::milliseconds kAverageTime{ 1000 };

/** Returns the part of a difference that is left after a time. */
static double
RemainingShare(std::chrono::duration<double> aAge, std::chrono::duration<double> aTimeConstant)
{
  return aTimeConstant.count() > 0 ? std::exp(-std::max(0.0, aAge / aTimeConstant)) : 0;
}

void
LoadEstimate::Record(double aCalls, Deadline aNow)
{
  const double rest = m_reportedAt == Deadline{} ? 0 : RemainingShare(aNow - m_reportedAt, kAverageTime);
  // The load between two reports is assumed to be the mean of both.
  const double between = m_reportedAt == Deadline{} ? aCalls : (m_lastCalls + aCalls) / 2;
  m_averageCalls = between + (m_averageCalls - between) * rest;
  m_lastCalls = aCalls;
  m_reportedAt = aNow;
}

double
LoadEstimate::CallsAt(Deadline aNow, std::chrono::microseconds aCallTime) const
{
  return m_averageCalls + (m_lastCalls - m_averageCalls) * RemainingShare(aNow - m_reportedAt, aCallTime);
}

} // namespace mimosarun
