#include "caller/callwait.h"

#include "common/random.h"

#include <algorithm>

namespace mimosarun {

/** Share of the time left until the objective that a call may wait for a slot. */
static constexpr double kQueueWaitShare = 0.75;
/** A call that misses its objective anyway may wait for the time to its deadline divided by this. */
static constexpr int kLateQueueWaitDivisor = 8;
static constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
static constexpr std::chrono::milliseconds kMinRetrySpread{ 200 };
/** Retries of calls beyond a quota are spread over the time until it has room, divided by this. */
static constexpr int kQuotaRetrySpreadDivisor = 2;

std::chrono::microseconds
LongestAllowedWait(const CallTimes& aTimes, Deadline aNow)
{
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  const auto toObjective = duration_cast<microseconds>(aTimes.objective - aNow) - aTimes.medianTime;
  const auto toDeadline = duration_cast<microseconds>(aTimes.deadline - aNow);
  if (toObjective.count() > 0) {
    const auto share = static_cast<int64_t>(kQueueWaitShare * static_cast<double>(toObjective.count()));
    return std::min(microseconds(share), toDeadline);
  }
  return std::max(microseconds(0),
                  std::min(toDeadline - aTimes.medianTime, toDeadline / kLateQueueWaitDivisor));
}

std::chrono::milliseconds
RetryAfter(std::chrono::microseconds aLongestWait)
{
  using std::chrono::milliseconds;
  const auto wait = std::max(kMinRetryAfter, std::chrono::ceil<milliseconds>(aLongestWait));
  // The longer the queues, the more calls are refused, and the longer it takes to serve them when they
  // return.
  const auto spread = std::max(kMinRetrySpread, wait);
  return wait + milliseconds(RandomBetween(0, spread.count()));
}

std::chrono::milliseconds
RetryAfterQuota(std::chrono::milliseconds aTimeToRoom)
{
  const auto spread = std::max(kMinRetrySpread, aTimeToRoom / kQuotaRetrySpreadDivisor);
  return aTimeToRoom + std::chrono::milliseconds(RandomBetween(0, spread.count()));
}

} // namespace mimosarun
