#include "caller/balancer.h"

#include "common/random.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace mimosarun {

static constexpr std::chrono::milliseconds kLoadFreshness{ 300 };
static constexpr std::chrono::milliseconds kFailurePenaltyFreshness{ 1500 };
static constexpr int kFailuresToEject = 3;
static constexpr std::chrono::milliseconds kFirstEjection{ 500 };
static constexpr std::chrono::milliseconds kLongestEjection{ 8000 };
static constexpr int kSmoothing = 8;
static constexpr std::chrono::milliseconds kMinStallTimeout{ 250 };
static constexpr int kStallTimeoutFactor = 5;
/** Open attempts from which their age is taken as a sign. */
static constexpr size_t kMinAttemptsForAge = 3;
/** Gates that cost the same are used in turn rather than by name. */
static constexpr int64_t kJitterMicros = 500;
/** An earlier answer counts for this little where the objective is met anyway. */
static constexpr int kOnTimeCostDivisor = 10;
/** Open attempts of this many times the usual time are a sign of trouble. */
static constexpr int kOverdueFactor = 3;

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
Balancer::DistanceCost(Locality aLocality, const CallRequirements& aWish) const
{
  const DistanceCosts& costs = m_options.distance;
  switch (aLocality) {
    case Locality::FailureDomain:
      return std::chrono::microseconds(0);
    case Locality::Region:
      return costs.region + Fraction(aWish.latencyObjective, costs.regionSharePerKilobyte * aWish.kilobytes);
    case Locality::OtherRegion:
      return costs.otherRegion +
             Fraction(aWish.latencyObjective, costs.otherRegionSharePerKilobyte * aWish.kilobytes);
  }
  return costs.otherRegion;
}

/** What an answer after a time costs: little while the caller is served well, each moment beyond that. */
static std::chrono::microseconds
LatenessCost(std::chrono::microseconds aTime, std::chrono::microseconds aComfort)
{
  return std::max(std::chrono::microseconds(0), aTime - aComfort) + aTime / kOnTimeCostDivisor;
}

/** The age that half of the open attempts have reached, or zero where there are too few to tell. */
static std::chrono::microseconds
MedianAge(const std::multiset<Deadline>& aOpen, Deadline aNow)
{
  if (aOpen.size() < kMinAttemptsForAge) {
    return std::chrono::microseconds(0);
  }
  const Deadline middle = *std::next(aOpen.begin(), static_cast<std::ptrdiff_t>(aOpen.size() / 2));
  return std::chrono::duration_cast<std::chrono::microseconds>(aNow - middle);
}

Balancer::GateView
Balancer::ViewOf(const std::string& aNode, const std::string& aKind, Deadline aNow)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  const GateStats& stats = shard.stats[aNode];
  const auto ofKind = stats.meanTimeOfCostGroup.find(aKind);
  return { .openAttempts = stats.openAttempts.size(),
           .medianOpenAge = MedianAge(stats.openAttempts, aNow),
           .meanTime = stats.meanTime,
           .meanTimeOfCostGroup =
             ofKind == stats.meanTimeOfCostGroup.end() ? std::chrono::microseconds(0) : ofKind->second,
           .load = stats.load,
           .loadReceivedAt = stats.loadReceivedAt,
           .ejectedUntil = stats.ejectedUntil };
}

Balancer::Candidate
Balancer::MakeCandidate(const ObservedGate& aSeen, const TriedGates& aExperience, Deadline aNow)
{
  const GateInfo& gate = *aSeen.gate;
  const GateView& view = aSeen.view;
  const bool fresh = aNow < view.loadReceivedAt + kLoadFreshness;
  const int slots = std::max(1, fresh ? view.load.slots : gate.slots);
  const auto own = static_cast<int>(view.openAttempts);
  Candidate candidate{ .gate = &gate };
  candidate.queueWait = std::max(view.meanTime, view.medianOpenAge) * std::max(0, own + 1 - slots) / slots;
  candidate.isLoadKnown = fresh;
  if (fresh) {
    candidate.queueWait = std::max(candidate.queueWait, view.load.queueWait);
  }
  candidate.isFailurePenaltyKnown = aNow < view.loadReceivedAt + kFailurePenaltyFreshness;
  if (candidate.isFailurePenaltyKnown) {
    candidate.failurePenalty = view.load.failurePenalty;
  }
  if (const auto named = aExperience.rejectionWaits.find(gate.node);
      named != aExperience.rejectionWaits.end()) {
    candidate.queueWait = std::max(candidate.queueWait, named->second);
    candidate.isLoadKnown = true;
  }
  if (view.meanTimeOfCostGroup.count() > 0) {
    // Attempts that are open for longer than usual tell of trouble before they end.
    const bool troubled = view.medianOpenAge > kOverdueFactor * view.meanTime;
    candidate.responseTime =
      std::max(view.meanTimeOfCostGroup, troubled ? view.medianOpenAge : std::chrono::microseconds(0));
    candidate.responseTime += candidate.responseTime * own / (slots * kSmoothing);
  }
  return candidate;
}

/** A mean of times, with a little weight on none at all: what one gate says need not hold for all. */
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

/** Takes gates that haven't told something lately to be like those that have. */
void
Balancer::FillInUnknowns(std::vector<Candidate>& aCandidates)
{
  std::chrono::microseconds times{ 0 };
  int timesKnown = 0;
  DampedMean wait;
  DampedMean doubt;
  for (const Candidate& candidate : aCandidates) {
    times += candidate.responseTime;
    timesKnown += candidate.responseTime.count() > 0 ? 1 : 0;
    if (candidate.isLoadKnown) {
      wait.Add(candidate.queueWait);
    }
    if (candidate.isFailurePenaltyKnown) {
      doubt.Add(candidate.failurePenalty);
    }
  }
  for (Candidate& candidate : aCandidates) {
    if (candidate.responseTime.count() == 0) {
      candidate.responseTime = times / std::max(1, timesKnown);
    }
    if (!candidate.isLoadKnown) {
      candidate.queueWait = std::max(candidate.queueWait, wait.Value());
    }
    if (!candidate.isFailurePenaltyKnown) {
      candidate.failurePenalty = doubt.Value();
    }
  }
}

void
Balancer::ComputeCosts(std::vector<Candidate>& aCandidates, const CallRequirements& aWish) const
{
  FillInUnknowns(aCandidates);
  const auto comfort = Fraction(aWish.timeToObjective, m_options.distance.onTimeShare);
  for (Candidate& candidate : aCandidates) {
    candidate.distanceCost = DistanceCost(candidate.gate->locality, aWish);
    candidate.totalCost = candidate.distanceCost + candidate.failurePenalty +
                          LatenessCost(candidate.responseTime + candidate.queueWait, comfort) +
                          std::chrono::microseconds(RandomBetween(0, kJitterMicros));
  }
}

std::vector<Balancer::ObservedGate>
Balancer::UsableGates(const std::vector<GateInfo>& aGates,
                      const TriedGates& aExperience,
                      const std::string& aKind,
                      Deadline aNow)
{
  std::vector<ObservedGate> seen;
  seen.reserve(aGates.size());
  for (const GateInfo& gate : aGates) {
    if (!aExperience.excluded.contains(gate.node)) {
      seen.push_back({ .gate = &gate, .view = ViewOf(gate.node, aKind, aNow) });
    }
  }
  const auto leftOut = [aNow](const ObservedGate& aSeen) { return aNow < aSeen.view.ejectedUntil; };
  const auto trusted = seen.size() - static_cast<size_t>(std::count_if(seen.begin(), seen.end(), leftOut));
  // A fault that most gates share says nothing about any one of them.
  if (trusted * 2 >= seen.size() && trusted > 0) {
    std::erase_if(seen, leftOut);
  }
  return seen;
}

GateChoice
Balancer::ChooseCheapest(const std::vector<ObservedGate>& aSeen,
                         const TriedGates& aExperience,
                         const CallRequirements& aWish) const
{
  std::vector<Candidate> candidates;
  candidates.reserve(aSeen.size());
  const Deadline now = SteadyClock::now();
  for (const ObservedGate& seen : aSeen) {
    candidates.push_back(MakeCandidate(seen, aExperience, now));
  }
  ComputeCosts(candidates, aWish);
  const size_t compared = std::min<size_t>(2, candidates.size());
  std::partial_sort(
    candidates.begin(),
    candidates.begin() + static_cast<std::ptrdiff_t>(compared),
    candidates.end(),
    [](const Candidate& aLeft, const Candidate& aRight) { return aLeft.totalCost < aRight.totalCost; });
  const Candidate& best = candidates.front();
  GateChoice choice{ .gate = *best.gate,
                     .longestWait = std::chrono::microseconds::max(),
                     .maxFailurePenalty = std::chrono::microseconds::max() };
  if (candidates.size() > 1) {
    // The wait after which the next best gate costs less.
    const auto comfort = Fraction(aWish.timeToObjective, m_options.distance.onTimeShare);
    const auto spare = std::max(std::chrono::microseconds(0), comfort - best.responseTime);
    choice.longestWait = std::max(std::chrono::microseconds(0),
                                  spare + candidates[1].totalCost - best.distanceCost - best.failurePenalty -
                                    LatenessCost(best.responseTime + spare, comfort));
    choice.maxFailurePenalty = best.failurePenalty + candidates[1].totalCost - best.totalCost;
  }
  return choice;
}

std::optional<GateChoice>
Balancer::Choose(const std::vector<GateInfo>& aGates,
                 const TriedGates& aExperience,
                 const CallRequirements& aWish)
{
  const std::vector<ObservedGate> usable =
    UsableGates(aGates, aExperience, aWish.costGroup, SteadyClock::now());
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto fewest = [](const ObservedGate& aLeft, const ObservedGate& aRight) {
    return aLeft.view.openAttempts < aRight.view.openAttempts;
  };
  switch (m_options.policy) {
    case BalancePolicy::Random: {
      const auto last = static_cast<int64_t>(usable.size()) - 1;
      return GateChoice{ .gate = *usable[static_cast<size_t>(RandomBetween(0, last))].gate,
                         .longestWait = std::chrono::microseconds::max(),
                         .maxFailurePenalty = std::chrono::microseconds::max() };
    }
    case BalancePolicy::LeastInFlight:
      return GateChoice{ .gate = *std::min_element(usable.begin(), usable.end(), fewest)->gate,
                         .longestWait = std::chrono::microseconds::max(),
                         .maxFailurePenalty = std::chrono::microseconds::max() };
    case BalancePolicy::ExpectedTime:
      return ChooseCheapest(usable, aExperience, aWish);
  }
  return std::nullopt;
}

void
Balancer::RecordSent(const std::string& aNode, CallClass aClass, Deadline aNow)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  GateStats& stats = shard.stats[aNode];
  if (aClass == CallClass::Short) {
    stats.openAttempts.insert(aNow);
  }
}

static void
UpdateSmoothedMean(std::chrono::microseconds& aMean, std::chrono::microseconds aTime)
{
  aMean = aMean.count() == 0 ? aTime : aMean + (aTime - aMean) / kSmoothing;
}

void
Balancer::RecordResult(const AttemptResult& aAttempt, Deadline aNow)
{
  Shard& shard = ShardOf(aAttempt.node);
  const std::lock_guard lock(shard.mutex);
  GateStats& stats = shard.stats[aAttempt.node];
  const bool isShort = aAttempt.callClass == CallClass::Short;
  if (const auto open = stats.openAttempts.find(aAttempt.sentAt);
      isShort && open != stats.openAttempts.end()) {
    stats.openAttempts.erase(open);
  }
  const auto time = std::chrono::duration_cast<std::chrono::microseconds>(aNow - aAttempt.sentAt);
  // An abandoned attempt took at least as long as it was waited for.
  const bool slow = aAttempt.outcome == AttemptOutcome::Abandoned && time > stats.meanTime;
  if (isShort && (aAttempt.outcome == AttemptOutcome::Answered || slow)) {
    UpdateSmoothedMean(stats.meanTime, time);
    UpdateSmoothedMean(stats.meanTimeOfCostGroup[aAttempt.costGroup], time);
  }
  if (aAttempt.outcome == AttemptOutcome::Answered) {
    stats.consecutiveFailures = 0;
    return;
  }
  if (aAttempt.outcome == AttemptOutcome::Failed && ++stats.consecutiveFailures >= kFailuresToEject) {
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
