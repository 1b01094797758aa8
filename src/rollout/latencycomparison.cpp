#include "rollout/latencycomparison.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <vector>

namespace mimosarun {

/** Share of slow responses that is accepted although the old version has fewer. */
static constexpr double kLeastSlowRate = 0.015;
/** Twice the time, in buckets: what a cold target needs. */
static constexpr double kColdShift = 1.71;
static constexpr double kHighQuantile = 0.95;
/** Distance of a slow response from the old version's high quantile, in buckets: 1.7 times the time. */
static constexpr double kSlowDistance = 1.25;
/** Additional distance for a target whose speed isn't known yet; it may be on a slow machine. */
static constexpr double kUnknownSpeedDistance = 0.75;
/** Responses that a target needs for an estimate of its speed. */
static constexpr int64_t kLeastOfTarget = 8;
/** Responses of the old version without which a route isn't compared. */
static constexpr int64_t kLeastOfOld = 8;
static constexpr double kLeastOfAllRoutes = 12;
static constexpr double kLeastOfRoute = 10;
/** A smaller difference of means is never taken for slowness: one bucket, 1.5 times the time. */
static constexpr double kLeastShift = 1.0;
/** Variance of targets' speeds from 0.5 to 1.6, in squared buckets. */
static constexpr double kLeastSpread = 0.69;
static constexpr double kDeviations = 2.4;
/** With fewer deviations, two targets on slow machines looked like a slow version. */
static constexpr double kDeviationsOfFew = 2.75;
static constexpr size_t kFewTargets = 4;

LatencyComparison::RouteTimes::RouteTimes()
  : slow(kLeastSlowRate)
{
}

LatencyComparison::LatencyComparison()
  : m_slow(kLeastSlowRate)
{
}

RateSample
LatencyComparison::SlowResponses(const RouteTimes& aRoute,
                                 const TargetSpeed& aSpeed,
                                 const LatencyCounts::Buckets& aBuckets) const
{
  double shift = kUnknownSpeedDistance + (aSpeed.IsWarm() ? 0 : kColdShift);
  if (aSpeed.Total() >= kLeastOfTarget) {
    shift = aSpeed.LowQuartile() - m_oldSpeed.LowQuartile();
  }
  const double limit = aRoute.old.Quantile(kHighQuantile) + kSlowDistance + shift;
  return { .responses = static_cast<double>(CountOf(aBuckets)), .events = CountBeyond(aBuckets, limit) };
}

void
LatencyComparison::SeeCandidate(const Target& aTarget, Deadline aNow)
{
  m_candidates.try_emplace(aTarget, aNow);
}

void
LatencyComparison::AddCandidate(const Responses& aResponses, Deadline aNow)
{
  RouteTimes& route = m_routes[aResponses.route];
  if (CountOf(aResponses.buckets) == 0 || route.old.Total() < kLeastOfOld) {
    return;
  }
  TargetSpeed& speed = m_candidates.try_emplace(aResponses.target, aNow).first->second;
  const RateSample slow = SlowResponses(route, speed, aResponses.buckets);
  route.slow.Add(slow, {}, aNow);
  m_slow.Add(slow, {}, aNow);
  speed.Add(aResponses.route, aResponses.buckets, route.old.Quantile(0.5), aNow);
}

void
LatencyComparison::AddOld(const Responses& aResponses, Deadline aNow)
{
  RouteTimes& route = m_routes[aResponses.route];
  if (route.old.Total() >= kLeastOfOld) {
    TargetSpeed& speed = m_olds.try_emplace(aResponses.target).first->second;
    const RateSample slow = SlowResponses(route, speed, aResponses.buckets);
    route.slow.Add({}, slow, aNow);
    m_slow.Add({}, slow, aNow);
    const double median = route.old.Quantile(0.5);
    speed.Add(aResponses.route, aResponses.buckets, median, aNow);
    m_oldSpeed.Add(aResponses.route, aResponses.buckets, median, aNow);
  }
  route.old += aResponses.buckets;
}

/** Mean position of several targets. */
struct TargetsMean
{
  double mean = 0;
  double variance = 0;
  double responses = 0;
  size_t targets = 0;
};

/** Returns the mean of targets, each weighted by what its speed and its number of responses leave uncertain.
 */
static TargetsMean
MeanOf(const std::vector<PositionMean>& aTargets, double aSpread, double aVariance)
{
  TargetsMean mean{ .targets = aTargets.size() };
  double weights = 0;
  for (const PositionMean& target : aTargets) {
    const double weight = 1 / (aSpread + aVariance / target.count);
    weights += weight;
    mean.mean += weight * target.Mean();
    mean.responses += target.count;
  }
  mean.mean /= weights;
  mean.variance = 1 / weights;
  return mean;
}

/** Returns the variance of single responses around the mean of their target. */
static double
VarianceWithin(const std::vector<PositionMean>& aTargets)
{
  double squares = 0;
  double count = 1;
  for (const PositionMean& target : aTargets) {
    squares += target.squares - target.count * target.Mean() * target.Mean();
    count += target.count - 1;
  }
  return std::max(squares / count, kLeastSpread);
}

/** Returns the variance of the targets' speeds. */
static double
Spread(const std::vector<PositionMean>& aTargets)
{
  PositionMean means;
  for (const PositionMean& target : aTargets) {
    if (target.count >= kLeastOfTarget) {
      means.Add(target.Mean(), 1);
    }
  }
  if (means.count < 3) {
    return kLeastSpread;
  }
  return std::max(kLeastSpread,
                  (means.squares - means.count * means.Mean() * means.Mean()) / (means.count - 1));
}

std::optional<std::string>
LatencyComparison::FindSlowTargets(const MeanOfTarget& aMeanOf, double aLeastResponses) const
{
  std::vector<PositionMean> candidates;
  for (const auto& [name, speed] : m_candidates) {
    PositionMean mean = aMeanOf(speed);
    mean.sum -= speed.IsWarm() ? 0 : kColdShift * mean.count;
    if (mean.count > 0) {
      candidates.push_back(mean);
    }
  }
  std::vector<PositionMean> olds;
  for (const auto& [name, speed] : m_olds) {
    if (const PositionMean mean = aMeanOf(speed); mean.count > 0) {
      olds.push_back(mean);
    }
  }
  if (candidates.empty() || olds.empty()) {
    return std::nullopt;
  }
  const double spread = Spread(olds);
  const double variance = VarianceWithin(olds);
  const TargetsMean candidate = MeanOf(candidates, spread, variance);
  const TargetsMean old = MeanOf(olds, spread, variance);
  const double shift = candidate.mean - old.mean;
  const double deviation = std::sqrt(candidate.variance + old.variance);
  const bool isFew = std::min(candidate.targets, old.targets) < kFewTargets;
  const double deviations = isFew ? kDeviationsOfFew : kDeviations;
  if (candidate.responses < aLeastResponses || shift < kLeastShift + deviations * deviation) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << "mean time of " << candidate.responses << " responses of " << candidate.targets << " targets is "
       << static_cast<int64_t>(100 * std::pow(1.5, shift)) << "% of that of the old version";
  return text.str();
}

static std::string
SlowText(const RateExcess& aExcess)
{
  std::ostringstream text;
  text.precision(3);
  text << aExcess.events << " of " << aExcess.responses
       << " responses were slow for their target; expected by the old version's share: " << aExcess.expected;
  return text.str();
}

std::optional<std::string>
LatencyComparison::FindSlowness(Deadline aNow)
{
  if (const auto excess = m_slow.Find(aNow)) {
    return "all routes: " + SlowText(*excess);
  }
  const auto ofAllRoutes = [](const TargetSpeed& aSpeed) { return aSpeed.AllRoutes(); };
  if (const auto text = FindSlowTargets(ofAllRoutes, kLeastOfAllRoutes)) {
    return "all routes: " + *text;
  }
  for (auto& [name, route] : m_routes) {
    if (const auto excess = route.slow.Find(aNow)) {
      return "route " + name + ": " + SlowText(*excess);
    }
    const auto ofRoute = [&name = name](const TargetSpeed& aSpeed) { return aSpeed.OfRoute(name); };
    if (const auto text = FindSlowTargets(ofRoute, kLeastOfRoute)) {
      return "route " + name + ": " + *text;
    }
  }
  return std::nullopt;
}

} // namespace mimosarun
