#pragma once

#include "common/clock.h"
#include "rollout/latencycounts.h"
#include "rollout/ratecomparison.h"
#include "rollout/targetspeed.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace mimosarun {

/**
 * Compares the response times of the candidate's and the old version's targets. Targets differ in speed, so
 * single responses are compared with those of the same target, and only means over targets with each other.
 * Not thread-safe.
 */
class LatencyComparison
{
public:
  /** Names a target by its node and the incarnation of the node's process. */
  using Target = std::pair<std::string, int64_t>;

  /** Responses of one target to the calls of one route. */
  struct Responses
  {
    Target target;
    std::string route;
    LatencyCounts::Buckets buckets{};
  };

  LatencyComparison();

  /** Notes when a target of the candidate is seen first, since it may be cold for some seconds then. */
  void SeeCandidate(const Target& aTarget, Deadline aNow);

  void AddCandidate(const Responses& aResponses, Deadline aNow);
  void AddOld(const Responses& aResponses, Deadline aNow);

  /** Returns what shows that the candidate is slower, or nothing. */
  std::optional<std::string> FindSlowness(Deadline aNow);

private:
  using Speeds = std::map<Target, TargetSpeed>;
  using MeanOfTarget = std::function<PositionMean(const TargetSpeed&)>;

  struct RouteTimes
  {
    RouteTimes();

    LatencyCounts old;
    RateComparison slow;
  };

  /** Returns how many of the responses are slow for their target. */
  RateSample SlowResponses(const RouteTimes& aRoute,
                           const TargetSpeed& aSpeed,
                           const LatencyCounts::Buckets& aBuckets) const;
  double OldLowQuartile() const;
  std::optional<std::string> FindSlowTargets(const MeanOfTarget& aMeanOf, double aLeastResponses) const;

  std::map<std::string, RouteTimes> m_routes;
  RateComparison m_slow;
  Speeds m_candidates;
  Speeds m_olds;
  /** The speed of all old targets together. */
  TargetSpeed m_oldSpeed;
};

} // namespace mimosarun
