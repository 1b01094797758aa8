#pragma once

#include <chrono>
#include <cstdint>

namespace mimosarun {

/** How much a bad version may cost while it is rolled out. */
struct RolloutLimits
{
  /** Share of a service's requests, from the order to its deadline, that a bad version may get. */
  double exposureShare = 0.1;
  /** Requests that a bad version may get in addition. */
  int64_t exposureSlack = 50;
  /** Longest time from the 50th bad response to the last request that a bad version gets. */
  std::chrono::milliseconds rollback{ 5000 };
};

/** How long a removed key may still be honoured. */
struct RevocationLimits
{
  /** Whether the bound holds for nodes without contact to control too. */
  bool isStrict = false;
  std::chrono::milliseconds bound{ 5000 };
};

/** By how much the requests of a team may exceed its quota. */
struct QuotaTolerance
{
  /** Length of each span of time for which the quota holds. */
  std::chrono::milliseconds window{ 5000 };
  /** Share of the quota of a window that may be exceeded. */
  double burstShare = 0.1;
  /** Requests in a window that may be exceeded in addition. */
  int64_t slack = 20;
};

} // namespace mimosarun
