#pragma once

#include "common/clock.h"

namespace mimosarun {

/**
 * Estimates the calls of other entries at a gate from reports that are outdated: the older the last report,
 * the less its difference from the average counts, since the calls that made it have ended. Not thread-safe.
 */
class LoadEstimate
{
public:
  /** Records the calls of other entries that a gate reported, running and waiting ones together. */
  void Record(double aCalls, Deadline aNow);

  /**
   * Returns the expected number of these calls at a later time.
   *
   * @param aCallTime mean time that a call spends at the gate
   */
  double CallsAt(Deadline aNow, std::chrono::microseconds aCallTime) const;

private:
  double m_lastCalls = 0;
  /** Average of the reports, weighted by the time between them. */
  double m_averageCalls = 0;
  /** When the last report was received; zero before the first one. */
  Deadline m_reportedAt{};
};

} // namespace mimosarun
