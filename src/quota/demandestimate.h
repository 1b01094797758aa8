#pragma once

#include "common/clock.h"

namespace mimosarun {

/**
 * Requests per second of the recent past, sampled at reports. A request that causes a report after a long
 * pause counts over the whole pause, so that the estimates of many nodes with rare requests add up to their
 * real sum. Not thread-safe.
 */
class DemandEstimate
{
public:
  void Count() { ++m_requests; }

  /** Returns the estimate after adding the requests since the last sample. */
  double Sample(Deadline aNow);

private:
  double m_perSecond = 0;
  int64_t m_requests = 0;
  Deadline m_sampledAt{};
};

} // namespace mimosarun
