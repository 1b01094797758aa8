#pragma once

#include "common/clock.h"
#include "rollout/latencycounts.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace mimosarun {

/** Mean of positions relative to the old version's median of the same route. */
struct PositionMean
{
  double count = 0;
  double sum = 0;
  double squares = 0;

  void Add(double aPosition, double aCount);
  double Mean() const { return count == 0 ? 0 : sum / count; }
};

/**
 * How fast one target responds in relation to the old version's median of each route. Starts anew when the
 * target has become warm. Not thread-safe.
 */
class TargetSpeed
{
public:
  /** Begins with a target that has been warm for long. */
  TargetSpeed() = default;

  /** Begins with a target that has started lately. */
  explicit TargetSpeed(Deadline aStartedAt);

  /** Adds the responses to the calls of a route whose median is at aMedian for the old version. */
  void Add(const std::string& aRoute, const LatencyCounts::Buckets& aBuckets, double aMedian, Deadline aNow);

  /** Returns the relative position of the fastest quarter of the responses, which slow ones hardly change. */
  double LowQuartile() const;

  int64_t Total() const { return m_total; }
  bool IsWarm() const { return m_isWarm; }
  const PositionMean& AllRoutes() const { return m_allRoutes; }

  /** Returns the mean of one route. */
  PositionMean OfRoute(const std::string& aRoute) const;

private:
  /** Bins of half a bucket, from 24 buckets below the median to 24 above. */
  static constexpr size_t kBins = 96;

  static size_t BinOf(double aPosition);

  bool m_isWarm = true;
  Deadline m_warmAt{};
  std::array<int64_t, kBins> m_bins{};
  int64_t m_total = 0;
  PositionMean m_allRoutes;
  std::map<std::string, PositionMean> m_byRoute;
};

} // namespace mimosarun
