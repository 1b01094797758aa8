#include "caller/balancer.h"

#include "common/random.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace mimosarun {

static constexpr std::chrono::milliseconds kLoadFreshness{ 300 };
static constexpr std::chrono::milliseconds kFailurePenaltyFreshness{ 1500 };
static constexpr int kFailuresToEject = 3;
static constexpr std::chrono::milliseconds kFirstEjection{ 500 };
static constexpr std::chrono::milliseconds kLongestEjection{ 8000 };
static constexpr int kSmoothingDivisor = 8;
static constexpr std::chrono::milliseconds kMinStallTimeout{ 250 };
static constexpr int kStallTimeoutFactor = 5;
/** Number of open attempts from which their median age is used. */
static constexpr size_t kMinAttemptsForAge = 3;
/** Random addition to the cost, so that gates of equal cost are all used. */
static constexpr int64_t kJitterMicros = 500;
/** A response time within the objective costs this part of it. */
static constexpr int kOnTimeCostDivisor = 10;
/** Open attempts older than this many times the mean time indicate a fault. */
static constexpr int kOverdueFactor = 3;

void
TriedGates::RecordRejection(const GateRejection& aRejection)
{
  const bool mayAcceptLater = aRejection.queueWait.count() > 0 || aRejection.failurePenalty.count() > 0;
  if (rejectionWaits.contains(aRejection.node) || !mayAcceptLater) {
    // Waiting wouldn't help, or the gate has rejected the call twice.
    excluded.insert(aRejection.node);
  }
  rejectionWaits[aRejection.node] = aRejection.queueWait;
  wasRejectedForFailures = wasRejectedForFailures || aRejection.failurePenalty > aRejection.maxFailurePenalty;
}

Balancer::Balancer(Options aOptions)
  : m_options(aOptions)
{
}

Balancer::Shard&
Balancer::ShardOf(const std::string& aNode)
{
  return m_shards[std::hash<std::string>{}(aNode) % m_shards.size()];
}

static std::chrono::microseconds
Fraction(std::chrono::microseconds aTime, double aShare)
{
  return std::chrono::microseconds(static_cast<int64_t>(static_cast<double>(aTime.count()) * aShare));
}

std::chrono::microseconds
Balancer::DistanceCost(Locality aLocality, const CallRequirements& aRequirements) const
{
  const DistanceCosts& costs = m_options.distance;
  switch (aLocality) {
    case Locality::FailureDomain:
      return std::chrono::microseconds(0);
    case Locality::Region:
      return costs.region + Fraction(aRequirements.latencyObjective,
                                     std::min(costs.regionSharePerKilobyte * aRequirements.kilobytes,
                                              costs.regionShareLimit));
    case Locality::OtherRegion:
      return costs.otherRegion +
             Fraction(aRequirements.latencyObjective,
                      std::min(costs.otherRegionSharePerKilobyte * aRequirements.kilobytes,
                               costs.otherRegionShareLimit));
  }
  return costs.otherRegion;
}

/** Returns the cost of a response time: a small part of it, plus the whole time beyond aOnTimeLimit. */
static std::chrono::microseconds
LatenessCost(std::chrono::microseconds aTime, std::chrono::microseconds aOnTimeLimit)
{
  return std::max(std::chrono::microseconds(0), aTime - aOnTimeLimit) + aTime / kOnTimeCostDivisor;
}

/** Returns the median age of the open attempts, or zero if there are too few. */
static std::chrono::microseconds
MedianAge(const std::multiset<Deadline>& aSentTimes, Deadline aNow)
{
  if (aSentTimes.size() < kMinAttemptsForAge) {
    return std::chrono::microseconds(0);
  }
  const Deadline median = *std::next(aSentTimes.begin(), static_cast<std::ptrdiff_t>(aSentTimes.size() / 2));
  return std::chrono::duration_cast<std::chrono::microseconds>(aNow - median);
}

Balancer::GateView
Balancer::ViewOf(const std::string& aNode, const std::string& aCostGroup, Deadline aNow)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  const GateStats& stats = shard.stats[aNode];
  const auto ofCostGroup = stats.meanTimeOfCostGroup.find(aCostGroup);
  return { .openAttempts = stats.openAttempts.size(),
           .medianOpenAge = MedianAge(stats.openAttempts, aNow),
           .meanTime = stats.meanTime,
           .meanTimeOfCostGroup = ofCostGroup == stats.meanTimeOfCostGroup.end()
                                    ? std::chrono::microseconds(0)
                                    : ofCostGroup->second,
           .load = stats.load,
           .loadReceivedAt = stats.loadReceivedAt,
           .ejectedUntil = stats.ejectedUntil };
}

Balancer::Candidate
Balancer::MakeCandidate(const ObservedGate& aObserved, const TriedGates& aTriedGates, Deadline aNow)
{
  const GateInfo& gate = *aObserved.gate;
  const GateView& view = aObserved.view;
  const bool isLoadFresh = aNow < view.loadReceivedAt + kLoadFreshness;
  const int slots = std::max(1, isLoadFresh ? view.load.slots : gate.slots);
  const auto openAttempts = static_cast<int>(view.openAttempts);
  Candidate candidate{ .gate = &gate };
  candidate.queueWait =
    std::max(view.meanTime, view.medianOpenAge) * std::max(0, openAttempts + 1 - slots) / slots;
  candidate.isLoadKnown = isLoadFresh;
  if (isLoadFresh) {
    candidate.queueWait = std::max(candidate.queueWait, view.load.queueWait);
  }
  candidate.isFailurePenaltyKnown = aNow < view.loadReceivedAt + kFailurePenaltyFreshness;
  if (candidate.isFailurePenaltyKnown) {
    candidate.failurePenalty = view.load.failurePenalty;
  }
  if (const auto rejection = aTriedGates.rejectionWaits.find(gate.node);
      rejection != aTriedGates.rejectionWaits.end()) {
    candidate.queueWait = std::max(candidate.queueWait, rejection->second);
    candidate.isLoadKnown = true;
  }
  if (view.meanTimeOfCostGroup.count() > 0) {
    // Attempts that are open for too long show a fault before they end.
    const bool isOverdue = view.medianOpenAge > kOverdueFactor * view.meanTime;
    candidate.responseTime =
      std::max(view.meanTimeOfCostGroup, isOverdue ? view.medianOpenAge : std::chrono::microseconds(0));
    candidate.responseTime += candidate.responseTime * openAttempts / (slots * kSmoothingDivisor);
  }
  return candidate;
}

/** Mean with half a sample of zero added, since the value of one gate may not hold for all. */
struct DampedMean
{
  std::chrono::microseconds sum{ 0 };
  int count = 0;

  void Add(std::chrono::microseconds aTime)
  {
    sum += aTime;
    ++count;
  }

  std::chrono::microseconds Value() const { return 2 * sum / (2 * count + 1); }
};

/**
 * Assumes the mean of the other gates for each value that a gate hasn't reported recently. Load differs
 * between failure domains, so the waits of gates nearby say nothing of those further away.
 */
void
Balancer::FillInUnknowns(std::vector<Candidate>& aCandidates)
{
  std::chrono::microseconds timeSum{ 0 };
  int knownTimes = 0;
  std::map<Locality, DampedMean> meanWaits;
  DampedMean meanPenalty;
  for (const Candidate& candidate : aCandidates) {
    timeSum += candidate.responseTime;
    knownTimes += candidate.responseTime.count() > 0 ? 1 : 0;
    if (candidate.isLoadKnown) {
      meanWaits[candidate.gate->locality].Add(candidate.queueWait);
    }
    if (candidate.isFailurePenaltyKnown) {
      meanPenalty.Add(candidate.failurePenalty);
    }
  }
  for (Candidate& candidate : aCandidates) {
    if (candidate.responseTime.count() == 0) {
      candidate.responseTime = timeSum / std::max(1, knownTimes);
    }
    if (!candidate.isLoadKnown) {
      candidate.queueWait = std::max(candidate.queueWait, meanWaits[candidate.gate->locality].Value());
    }
    if (!candidate.isFailurePenaltyKnown) {
      candidate.failurePenalty = meanPenalty.Value();
    }
  }
}

void
Balancer::ComputeCosts(std::vector<Candidate>& aCandidates, const CallRequirements& aRequirements) const
{
  FillInUnknowns(aCandidates);
  const auto onTimeLimit = Fraction(aRequirements.timeToObjective, m_options.distance.onTimeShare);
  for (Candidate& candidate : aCandidates) {
    candidate.distanceCost = DistanceCost(candidate.gate->locality, aRequirements);
    candidate.totalCost = candidate.distanceCost + candidate.failurePenalty +
                          LatenessCost(candidate.responseTime + candidate.queueWait, onTimeLimit) +
                          std::chrono::microseconds(RandomBetween(0, kJitterMicros));
  }
}

/** Returns whether a gate may take a call that it hasn't taken before. */
static bool
MayAccept(const std::string& aNode, const TriedGates& aTriedGates, std::chrono::microseconds aLongestWait)
{
  if (aTriedGates.excluded.contains(aNode)) {
    return false;
  }
  const auto rejection = aTriedGates.rejectionWaits.find(aNode);
  return rejection == aTriedGates.rejectionWaits.end() || rejection->second <= aLongestWait;
}

std::vector<Balancer::ObservedGate>
Balancer::UsableGates(const std::vector<GateInfo>& aGates,
                      const TriedGates& aTriedGates,
                      const CallRequirements& aRequirements,
                      Deadline aNow)
{
  std::vector<ObservedGate> gates;
  gates.reserve(aGates.size());
  for (const GateInfo& gate : aGates) {
    if (MayAccept(gate.node, aTriedGates, aRequirements.longestWait)) {
      gates.push_back({ .gate = &gate, .view = ViewOf(gate.node, aRequirements.costGroup, aNow) });
    }
  }
  const auto isEjected = [aNow](const ObservedGate& aGate) { return aNow < aGate.view.ejectedUntil; };
  const auto healthyGates =
    gates.size() - static_cast<size_t>(std::count_if(gates.begin(), gates.end(), isEjected));
  // If most gates fail, the fault is probably a common one, so all of them stay in use.
  if (healthyGates * 2 >= gates.size() && healthyGates > 0) {
    std::erase_if(gates, isEjected);
  }
  return gates;
}

GateChoice
Balancer::ChooseCheapest(const std::vector<ObservedGate>& aGates,
                         const TriedGates& aTriedGates,
                         const CallRequirements& aRequirements) const
{
  std::vector<Candidate> candidates;
  candidates.reserve(aGates.size());
  const Deadline now = SteadyClock::now();
  for (const ObservedGate& gate : aGates) {
    candidates.push_back(MakeCandidate(gate, aTriedGates, now));
  }
  ComputeCosts(candidates, aRequirements);
  // A gate with a longer wait would probably reject the call.
  const auto waitsTooLong = [&](const Candidate& aCandidate) {
    return aCandidate.queueWait > aRequirements.longestWait;
  };
  const size_t compared = std::min<size_t>(2, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(compared),
                    candidates.end(),
                    [&](const Candidate& aLeft, const Candidate& aRight) {
                      return std::make_pair(waitsTooLong(aLeft), aLeft.totalCost) <
                             std::make_pair(waitsTooLong(aRight), aRight.totalCost);
                    });
  const Candidate& best = candidates.front();
  GateChoice choice{ .gate = *best.gate,
                     .longestWait = std::chrono::microseconds::max(),
                     .maxFailurePenalty = std::chrono::microseconds::max() };
  if (candidates.size() > 1 && waitsTooLong(best) == waitsTooLong(candidates[1])) {
    // The queue wait from which the next best gate costs less.
    const auto onTimeLimit = Fraction(aRequirements.timeToObjective, m_options.distance.onTimeShare);
    const auto slack = std::max(std::chrono::microseconds(0), onTimeLimit - best.responseTime);
    choice.longestWait = std::max(std::chrono::microseconds(0),
                                  slack + candidates[1].totalCost - best.distanceCost - best.failurePenalty -
                                    LatenessCost(best.responseTime + slack, onTimeLimit));
    if (!aTriedGates.wasRejectedForFailures) {
      choice.maxFailurePenalty = best.failurePenalty + candidates[1].totalCost - best.totalCost;
    }
  }
  return choice;
}

std::optional<GateChoice>
Balancer::Choose(const std::vector<GateInfo>& aGates,
                 const TriedGates& aTriedGates,
                 const CallRequirements& aRequirements)
{
  const std::vector<ObservedGate> usable =
    UsableGates(aGates, aTriedGates, aRequirements, SteadyClock::now());
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto hasFewerOpenAttempts = [](const ObservedGate& aLeft, const ObservedGate& aRight) {
    return aLeft.view.openAttempts < aRight.view.openAttempts;
  };
  switch (m_options.policy) {
    case BalancePolicy::Random: {
      const auto lastIndex = static_cast<int64_t>(usable.size()) - 1;
      return GateChoice{ .gate = *usable[static_cast<size_t>(RandomBetween(0, lastIndex))].gate,
                         .longestWait = std::chrono::microseconds::max(),
                         .maxFailurePenalty = std::chrono::microseconds::max() };
    }
    case BalancePolicy::LeastInFlight:
      return GateChoice{ .gate = *std::min_element(usable.begin(), usable.end(), hasFewerOpenAttempts)->gate,
                         .longestWait = std::chrono::microseconds::max(),
                         .maxFailurePenalty = std::chrono::microseconds::max() };
    case BalancePolicy::ExpectedTime:
      return ChooseCheapest(usable, aTriedGates, aRequirements);
  }
  return std::nullopt;
}

void
Balancer::RecordSent(const std::string& aNode, CallClass aCallClass, Deadline aNow)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  GateStats& stats = shard.stats[aNode];
  if (aCallClass == CallClass::Short) {
    stats.openAttempts.insert(aNow);
  }
}

static void
UpdateSmoothedMean(std::chrono::microseconds& aMean, std::chrono::microseconds aTime)
{
  aMean = aMean.count() == 0 ? aTime : aMean + (aTime - aMean) / kSmoothingDivisor;
}

void
Balancer::RecordResult(const AttemptResult& aResult, Deadline aNow)
{
  Shard& shard = ShardOf(aResult.node);
  const std::lock_guard lock(shard.mutex);
  GateStats& stats = shard.stats[aResult.node];
  const bool isShort = aResult.callClass == CallClass::Short;
  if (const auto sent = stats.openAttempts.find(aResult.sentAt);
      isShort && sent != stats.openAttempts.end()) {
    stats.openAttempts.erase(sent);
  }
  const auto time = std::chrono::duration_cast<std::chrono::microseconds>(aNow - aResult.sentAt);
  // An abandoned attempt would have taken at least as long as it was open.
  const bool wasAbandonedLate = aResult.outcome == AttemptOutcome::Abandoned && time > stats.meanTime;
  if (isShort && (aResult.outcome == AttemptOutcome::Answered || wasAbandonedLate)) {
    UpdateSmoothedMean(stats.meanTime, time);
    UpdateSmoothedMean(stats.meanTimeOfCostGroup[aResult.costGroup], time);
  }
  if (aResult.outcome == AttemptOutcome::Answered) {
    stats.consecutiveFailures = 0;
    return;
  }
  if (aResult.outcome == AttemptOutcome::Failed && ++stats.consecutiveFailures >= kFailuresToEject) {
    const int doublings = std::min(stats.consecutiveFailures - kFailuresToEject, 4);
    stats.ejectedUntil = aNow + std::min(kFirstEjection * (1 << doublings), kLongestEjection);
  }
}

void
Balancer::RecordLoad(const std::string& aNode, const GateLoad& aLoad)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  GateStats& stats = shard.stats[aNode];
  stats.load = aLoad;
  stats.loadReceivedAt = SteadyClock::now();
}

std::chrono::microseconds
Balancer::StallTimeout(const std::string& aNode)
{
  return std::max<std::chrono::microseconds>(
    kMinStallTimeout, kStallTimeoutFactor * ViewOf(aNode, {}, SteadyClock::now()).meanTime);
}

bool
Balancer::HasAnsweredSince(const std::string& aNode, Deadline aTime)
{
  return ViewOf(aNode, {}, aTime).loadReceivedAt > aTime;
}

void
Balancer::RetireConnections(const std::string& aNode)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  ++shard.stats[aNode].connectionGeneration;
}

uint32_t
Balancer::ConnectionGeneration(const std::string& aNode)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  return shard.stats[aNode].connectionGeneration;
}

} // namespace mimosarun
