#include "rollout/targetspeed.h"

#include <algorithm>

namespace mimosarun {

/** A target may need twice the time for about three seconds after its start. */
static constexpr std::chrono::milliseconds kColdTime{ 3500 };
static constexpr double kBinsPerBucket = 2;
static constexpr double kLowQuantile = 0.25;

void
PositionMean::Add(double aPosition, double aCount)
{
  count += aCount;
  sum += aCount * aPosition;
  squares += aCount * aPosition * aPosition;
}

TargetSpeed::TargetSpeed(Deadline aStartedAt)
  : m_isWarm(false)
  , m_warmAt(aStartedAt + kColdTime)
{
}

size_t
TargetSpeed::BinOf(double aPosition)
{
  const double bin = kBinsPerBucket * aPosition + static_cast<double>(kBins) / 2;
  return static_cast<size_t>(std::clamp(bin, 0.0, static_cast<double>(kBins - 1)));
}

void
TargetSpeed::Add(const std::string& aRoute,
                 const LatencyCounts::Buckets& aBuckets,
                 double aMedian,
                 Deadline aNow)
{
  if (!m_isWarm && aNow >= m_warmAt) {
    m_isWarm = true;
    m_bins = {};
    m_total = 0;
    m_allRoutes = {};
    m_byRoute.clear();
  }
  PositionMean& ofRoute = m_byRoute[aRoute];
  for (size_t bucket = 0; bucket < aBuckets.size(); ++bucket) {
    if (aBuckets[bucket] == 0) {
      continue;
    }
    const double position = PositionOf(bucket) - aMedian;
    m_bins[BinOf(position)] += aBuckets[bucket];
    m_total += aBuckets[bucket];
    m_allRoutes.Add(position, static_cast<double>(aBuckets[bucket]));
    ofRoute.Add(position, static_cast<double>(aBuckets[bucket]));
  }
}

double
TargetSpeed::LowQuartile() const
{
  double rest = kLowQuantile * static_cast<double>(m_total);
  for (size_t bin = 0; bin < m_bins.size(); ++bin) {
    const auto count = static_cast<double>(m_bins[bin]);
    if (count > 0 && rest <= count) {
      return (static_cast<double>(bin) + rest / count - static_cast<double>(kBins) / 2) / kBinsPerBucket;
    }
    rest -= count;
  }
  return 0;
}

PositionMean
TargetSpeed::OfRoute(const std::string& aRoute) const
{
  const auto found = m_byRoute.find(aRoute);
  return found == m_byRoute.end() ? PositionMean{} : found->second;
}

} // namespace mimosarun
