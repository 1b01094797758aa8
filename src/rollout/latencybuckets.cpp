#include "rollout/latencybuckets.h"

#include <algorithm>
#include <cmath>

namespace mimosarun {

static constexpr std::chrono::microseconds kFirstLimit{ 1000 };
/** Two versions that differ by twice the time are at least one whole bucket apart. */
static constexpr double kGrowth = 1.5;

size_t
LatencyBuckets::BucketOf(std::chrono::microseconds aTime)
{
  if (aTime <= kFirstLimit) {
    return 0;
  }
  const double ratio = static_cast<double>(aTime.count()) / static_cast<double>(kFirstLimit.count());
  const auto bucket = static_cast<size_t>(std::ceil(std::log(ratio) / std::log(kGrowth)));
  return std::min(bucket, kCount - 1);
}

std::chrono::microseconds
LatencyBuckets::UpperLimit(size_t aBucket)
{
  const double factor = std::pow(kGrowth, static_cast<double>(aBucket));
  return std::chrono::microseconds(static_cast<int64_t>(static_cast<double>(kFirstLimit.count()) * factor));
}

} // namespace mimosarun
