#include "rollout/latencycounts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mimosarun {

double
PositionOf(size_t aBucket)
{
  return static_cast<double>(aBucket) - 0.5;
}

double
CountBeyond(const LatencyCounts::Buckets& aBuckets, double aPosition)
{
  double beyond = 0;
  for (size_t bucket = 0; bucket < aBuckets.size(); ++bucket) {
    const double share = std::clamp(static_cast<double>(bucket) - aPosition, 0.0, 1.0);
    beyond += share * static_cast<double>(aBuckets[bucket]);
  }
  return beyond;
}

int64_t
CountOf(const LatencyCounts::Buckets& aBuckets)
{
  return std::accumulate(aBuckets.begin(), aBuckets.end(), int64_t{ 0 });
}

void
LatencyCounts::operator+=(const Buckets& aBuckets)
{
  for (size_t bucket = 0; bucket < aBuckets.size(); ++bucket) {
    m_buckets[bucket] += aBuckets[bucket];
    m_total += aBuckets[bucket];
  }
}

double
LatencyCounts::Quantile(double aQuantile) const
{
  double rest = aQuantile * static_cast<double>(m_total);
  for (size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
    const auto count = static_cast<double>(m_buckets[bucket]);
    if (count > 0 && rest <= count) {
      return static_cast<double>(bucket) - 1 + rest / count;
    }
    rest -= count;
  }
  return static_cast<double>(m_buckets.size());
}

std::chrono::microseconds
LatencyCounts::QuantileTime(double aQuantile) const
{
  if (m_total == 0) {
    return std::chrono::microseconds(0);
  }
  const double position = std::clamp(Quantile(aQuantile), 0.0, LatencyBuckets::kCount - 1.0);
  const auto bucket = static_cast<size_t>(position);
  const std::chrono::duration<double, std::micro> lower = LatencyBuckets::UpperLimit(bucket);
  const std::chrono::duration<double, std::micro> upper = LatencyBuckets::UpperLimit(bucket + 1);
  const double share = position - static_cast<double>(bucket);
  return std::chrono::duration_cast<std::chrono::microseconds>(lower + share * (upper - lower));
}

} // namespace mimosarun
