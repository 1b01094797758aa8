#include "caller/balancer.h"

#include "common/random.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mimosarun {

static constexpr std::chrono::milliseconds kLoadFreshness{ 300 };
/** Age from which the average of a gate's reports isn't used any more. */
static constexpr std::chrono::milliseconds kAverageLifetime{ 3000 };
static constexpr std::chrono::milliseconds kFailurePenaltyFreshness{ 1500 };
static constexpr std::chrono::milliseconds kMinStallTimeout{ 250 };
static constexpr int kStallTimeoutFactor = 5;
/** Random addition to the cost, so that gates of equal cost are all used. */
static constexpr int64_t kJitterMicros = 500;
/** A response time within the objective costs this part of it. */
static constexpr int kOnTimeCostDivisor = 10;
/** Open attempts older than this many times the mean time indicate a fault. */
static constexpr int kOverdueFactor = 3;
/** Part of the response time that an open attempt for each slot adds to it. */
static constexpr int kLoadCostDivisor = 8;
/** Gates of a locality that one choice considers; more of them hardly improve it. */
static constexpr size_t kSampleSize = 24;
/**
 * Variance of the number of calls at a gate, for each call that is expected there. Calls of many entries that
 * choose independently have 1; with 8 a third fewer attempts were rejected near the capacity in
 * loadspreadtest, with 16 more calls left their failure domain.
 */
static constexpr double kLoadVariance = 8;

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

Balancer::GatesByLocality
Balancer::Group(const std::vector<GateInfo>& aGates)
{
  GatesByLocality groups;
  for (const GateInfo& gate : aGates) {
    groups[static_cast<size_t>(gate.locality)].push_back(
      { .gate = &gate, .statistics = m_statistics.Of(gate.node) });
  }
  for (std::vector<KnownGate>& group : groups) {
    std::shuffle(group.begin(), group.end(), RandomEngine());
  }
  return groups;
}

void
Balancer::SetDirectory(GateDirectoryPointer aDirectory)
{
  auto known = std::make_shared<KnownDirectory>();
  for (const auto& [service, gates] : aDirectory->gates) {
    known->gates.emplace(&gates, Group(gates));
  }
  for (const auto& [service, candidates] : aDirectory->candidates) {
    known->gates.emplace(&candidates.gates, Group(candidates.gates));
    known->gates.emplace(&candidates.canaries, Group(candidates.canaries));
  }
  known->directory = std::move(aDirectory);
  const std::lock_guard lock(m_mutex);
  m_directory = std::move(known);
}

std::shared_ptr<const Balancer::KnownDirectory>
Balancer::CurrentDirectory()
{
  const std::lock_guard lock(m_mutex);
  return m_directory;
}

/**
 * Returns the expected number of calls without a slot when the number of calls is uncertain. It grows
 * smoothly, so that a gate costs more already before it is full.
 */
static double
ExpectedExcess(double aCalls, int aSlots)
{
  const double excess = aCalls + 1 - aSlots;
  return (excess + std::sqrt(excess * excess + kLoadVariance * aCalls)) / 2;
}

Balancer::Candidate
Balancer::MakeCandidate(const KnownGate& aGate,
                        const TriedGates& aTriedGates,
                        const CallRequirements& aRequirements,
                        Deadline aNow)
{
  Candidate candidate{ .gate = aGate.gate, .view = aGate.statistics->View(aRequirements.costGroup, aNow) };
  const GateView& view = candidate.view;
  const bool isLoadFresh = aNow < view.loadReceivedAt + kLoadFreshness;
  candidate.slots = std::max(1, isLoadFresh ? view.load.slots : aGate.gate->slots);
  const auto openAttempts = static_cast<int>(view.openAttempts);
  const auto callTime = std::max(view.meanTime, view.medianOpenAge);
  candidate.queueWait = callTime * std::max(0, openAttempts + 1 - candidate.slots) / candidate.slots;
  candidate.isLoadKnown = aNow < view.loadReceivedAt + kAverageLifetime;
  if (candidate.isLoadKnown) {
    candidate.reportAge = std::chrono::duration_cast<std::chrono::microseconds>(aNow - view.loadReceivedAt);
    const double calls = view.otherCalls + openAttempts;
    const double excess = std::max(0.0, calls + 1 - candidate.slots);
    const double uncertainExcess = ExpectedExcess(calls, candidate.slots);
    candidate.queueWait = std::max(candidate.queueWait, Fraction(callTime, excess / candidate.slots));
    candidate.waitMargin = Fraction(callTime, (uncertainExcess - excess) / candidate.slots);
  }
  if (isLoadFresh) {
    candidate.queueWait = std::max(candidate.queueWait, view.load.queueWait);
  }
  candidate.isFailurePenaltyKnown = aNow < view.loadReceivedAt + kFailurePenaltyFreshness;
  if (candidate.isFailurePenaltyKnown) {
    candidate.failurePenalty = view.load.failurePenalty;
  }
  if (const auto rejection = aTriedGates.rejectionWaits.find(aGate.gate->node);
      rejection != aTriedGates.rejectionWaits.end()) {
    candidate.queueWait = std::max(candidate.queueWait, rejection->second);
    candidate.isLoadKnown = true;
  }
  candidate.isEjected = aNow < view.ejectedUntil;
  if (view.meanTimeOfCostGroup.count() > 0) {
    // Attempts that are open for too long show a fault before they end.
    const bool isOverdue = view.medianOpenAge > kOverdueFactor * view.meanTime;
    candidate.responseTime =
      std::max(view.meanTimeOfCostGroup, isOverdue ? view.medianOpenAge : std::chrono::microseconds(0));
    candidate.responseTime += candidate.responseTime * openAttempts / (candidate.slots * kLoadCostDivisor);
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
  std::map<Locality, DampedMean> meanMargins;
  DampedMean meanPenalty;
  for (const Candidate& candidate : aCandidates) {
    timeSum += candidate.responseTime;
    knownTimes += candidate.responseTime.count() > 0 ? 1 : 0;
    if (candidate.isLoadKnown) {
      meanWaits[candidate.gate->locality].Add(candidate.queueWait);
      meanMargins[candidate.gate->locality].Add(candidate.waitMargin);
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
      candidate.waitMargin = meanMargins[candidate.gate->locality].Value();
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
  // An uncertain wait nearby is no reason to pay for a distance, so only the differences of margins count.
  std::map<Locality, std::chrono::microseconds> leastMargins;
  for (const Candidate& candidate : aCandidates) {
    auto& least = leastMargins.try_emplace(candidate.gate->locality, candidate.waitMargin).first->second;
    least = std::min(least, candidate.waitMargin);
  }
  for (Candidate& candidate : aCandidates) {
    const auto wait = candidate.queueWait + candidate.waitMargin - leastMargins[candidate.gate->locality];
    // A gate with a longer wait would probably reject the call.
    candidate.waitsTooLong = wait > aRequirements.longestWait;
    candidate.distanceCost = DistanceCost(candidate.gate->locality, aRequirements);
    candidate.totalCost = candidate.distanceCost + candidate.failurePenalty +
                          LatenessCost(candidate.responseTime + wait, onTimeLimit) +
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

void
Balancer::AddSample(std::vector<Candidate>& aCandidates,
                    const std::vector<KnownGate>& aGates,
                    const TriedGates& aTriedGates,
                    const CallRequirements& aRequirements,
                    Deadline aNow)
{
  if (aGates.empty()) {
    return;
  }
  const auto lastIndex = static_cast<int64_t>(aGates.size()) - 1;
  const auto first = static_cast<size_t>(RandomBetween(0, lastIndex));
  size_t added = 0;
  for (size_t index = 0; index < aGates.size() && added < kSampleSize; ++index) {
    const KnownGate& gate = aGates[(first + index) % aGates.size()];
    if (!MayAccept(gate.gate->node, aTriedGates, aRequirements.longestWait)) {
      continue;
    }
    const Candidate candidate = MakeCandidate(gate, aTriedGates, aRequirements, aNow);
    // A gate that leaves has few calls and refuses soon, so it would look idle and fast.
    if (candidate.view.leavingIncarnation != gate.gate->incarnation) {
      aCandidates.push_back(candidate);
      ++added;
    }
  }
}

/** Orders candidates by cost; those that would probably reject the call are last. */
static constexpr auto kIsBetter = [](const auto& aLeft, const auto& aRight) {
  return std::make_pair(aLeft.waitsTooLong, aLeft.totalCost) <
         std::make_pair(aRight.waitsTooLong, aRight.totalCost);
};

std::vector<Balancer::Candidate>
Balancer::Candidates(const GatesByLocality& aGates,
                     const TriedGates& aTriedGates,
                     const CallRequirements& aRequirements,
                     Deadline aNow) const
{
  std::vector<Candidate> candidates;
  candidates.reserve(kSampleSize);
  const auto isEjected = [](const Candidate& aCandidate) { return aCandidate.isEjected; };
  const auto isKnown = [](const Candidate& aCandidate) { return aCandidate.responseTime.count() > 0; };
  for (const Locality locality : { Locality::FailureDomain, Locality::Region, Locality::OtherRegion }) {
    AddSample(candidates, aGates[static_cast<size_t>(locality)], aTriedGates, aRequirements, aNow);
    if (candidates.size() < 2 || std::any_of(candidates.begin(), candidates.end(), isEjected) ||
        std::none_of(candidates.begin(), candidates.end(), isKnown)) {
      continue;
    }
    ComputeCosts(candidates, aRequirements);
    std::nth_element(candidates.begin(), candidates.begin() + 1, candidates.end(), kIsBetter);
    // Gates that are further away cost at least their distance, so they can't be better.
    const auto nextLocality = locality == Locality::FailureDomain ? Locality::Region : Locality::OtherRegion;
    if (!candidates[1].waitsTooLong && candidates[1].totalCost < DistanceCost(nextLocality, aRequirements)) {
      return candidates;
    }
  }
  const auto ejected = static_cast<size_t>(std::count_if(candidates.begin(), candidates.end(), isEjected));
  // If most gates fail, the fault is probably a common one, so all of them stay in use.
  if (ejected * 2 <= candidates.size() && ejected < candidates.size()) {
    std::erase_if(candidates, isEjected);
  }
  ComputeCosts(candidates, aRequirements);
  return candidates;
}

GateChoice
Balancer::ChooseByCost(std::vector<Candidate>& aCandidates,
                       const TriedGates& aTriedGates,
                       const CallRequirements& aRequirements) const
{
  std::iter_swap(aCandidates.begin(), std::min_element(aCandidates.begin(), aCandidates.end(), kIsBetter));
  const Candidate& best = aCandidates.front();
  GateChoice choice{ .gate = *best.gate,
                     .longestWait = std::chrono::microseconds::max(),
                     .maxFailurePenalty = std::chrono::microseconds::max(),
                     .expectsRejection = best.waitsTooLong,
                     .reportAge = best.reportAge };
  const auto next = std::min_element(aCandidates.begin() + 1, aCandidates.end(), kIsBetter);
  if (next != aCandidates.end() && best.waitsTooLong == next->waitsTooLong) {
    // The queue wait from which the next best gate costs less.
    const auto onTimeLimit = Fraction(aRequirements.timeToObjective, m_options.distance.onTimeShare);
    const auto slack = std::max(std::chrono::microseconds(0), onTimeLimit - best.responseTime);
    choice.longestWait = std::max(std::chrono::microseconds(0),
                                  slack + next->totalCost - best.distanceCost - best.failurePenalty -
                                    LatenessCost(best.responseTime + slack, onTimeLimit));
    if (!aTriedGates.wasRejectedForFailures) {
      choice.maxFailurePenalty = best.failurePenalty + next->totalCost - best.totalCost;
    }
  }
  return choice;
}

std::vector<Balancer::Candidate>
Balancer::Candidates(const std::vector<GateInfo>& aGates,
                     const TriedGates& aTriedGates,
                     const CallRequirements& aRequirements,
                     Deadline aNow)
{
  const std::shared_ptr<const KnownDirectory> directory = CurrentDirectory();
  const auto known = directory->gates.find(&aGates);
  return known == directory->gates.end() ? Candidates(Group(aGates), aTriedGates, aRequirements, aNow)
                                         : Candidates(known->second, aTriedGates, aRequirements, aNow);
}

std::vector<GateCost>
Balancer::Explain(const std::vector<GateInfo>& aGates, const CallRequirements& aRequirements, Deadline aNow)
{
  std::vector<Candidate> candidates = Candidates(aGates, {}, aRequirements, aNow);
  std::sort(candidates.begin(), candidates.end(), kIsBetter);
  std::vector<GateCost> costs;
  for (const Candidate& candidate : candidates) {
    costs.push_back({ .node = candidate.gate->node,
                      .locality = candidate.gate->locality,
                      .totalCost = candidate.totalCost,
                      .distanceCost = candidate.distanceCost,
                      .failurePenalty = candidate.failurePenalty,
                      .responseTime = candidate.responseTime,
                      .queueWait = candidate.queueWait,
                      .reportAge = candidate.reportAge,
                      .waitsTooLong = candidate.waitsTooLong,
                      .isEjected = candidate.isEjected });
  }
  return costs;
}

std::optional<GateChoice>
Balancer::Choose(const std::vector<GateInfo>& aGates,
                 const TriedGates& aTriedGates,
                 const CallRequirements& aRequirements,
                 Deadline aNow)
{
  std::vector<Candidate> candidates = Candidates(aGates, aTriedGates, aRequirements, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto hasFewerOpenAttempts = [](const Candidate& aLeft, const Candidate& aRight) {
    return aLeft.view.openAttempts < aRight.view.openAttempts;
  };
  switch (m_options.policy) {
    case BalancePolicy::Random: {
      const auto lastIndex = static_cast<int64_t>(candidates.size()) - 1;
      return GateChoice{ .gate = *candidates[static_cast<size_t>(RandomBetween(0, lastIndex))].gate,
                         .longestWait = std::chrono::microseconds::max(),
                         .maxFailurePenalty = std::chrono::microseconds::max() };
    }
    case BalancePolicy::LeastInFlight:
      return GateChoice{
        .gate = *std::min_element(candidates.begin(), candidates.end(), hasFewerOpenAttempts)->gate,
        .longestWait = std::chrono::microseconds::max(),
        .maxFailurePenalty = std::chrono::microseconds::max()
      };
    case BalancePolicy::ExpectedTime:
      return ChooseByCost(candidates, aTriedGates, aRequirements);
  }
  return std::nullopt;
}

void
Balancer::RecordSent(const std::string& aNode, CallClass aCallClass, Deadline aNow)
{
  m_statistics.Of(aNode)->RecordSent(aCallClass, aNow);
}

void
Balancer::RecordResult(const AttemptResult& aResult, Deadline aNow)
{
  m_statistics.Of(aResult.node)->RecordResult(aResult, aNow);
}

void
Balancer::RecordLoad(const std::string& aNode, const GateLoad& aLoad, Deadline aNow)
{
  m_statistics.Of(aNode)->RecordLoad(aLoad, aNow);
}

bool
Balancer::RecordLeaving(const std::string& aNode, int64_t aIncarnation)
{
  return m_statistics.Of(aNode)->RecordLeaving(aIncarnation);
}

std::chrono::microseconds
Balancer::StallTimeout(const std::string& aNode)
{
  const GateView view = m_statistics.Of(aNode)->View({}, SteadyClock::now());
  return std::max<std::chrono::microseconds>(kMinStallTimeout, kStallTimeoutFactor * view.meanTime);
}

bool
Balancer::HasAnsweredSince(const std::string& aNode, Deadline aTime)
{
  return m_statistics.Of(aNode)->View({}, aTime).loadReceivedAt > aTime;
}

std::vector<ServiceLoad>
Balancer::ServiceLoads(Deadline aNow)
{
  const std::shared_ptr<const KnownDirectory> known = CurrentDirectory();
  if (known->directory == nullptr) {
    return {};
  }
  std::vector<ServiceLoad> loads;
  for (const auto& [service, gates] : known->directory->gates) {
    ServiceLoad load{ .service = service };
    int reported = 0;
    for (const std::vector<KnownGate>& group : known->gates.at(&gates)) {
      for (const KnownGate& gate : group) {
        const GateView view = gate.statistics->View({}, aNow);
        if (aNow < view.loadReceivedAt + kAverageLifetime) {
          const double calls = view.otherCalls + static_cast<double>(view.openAttempts);
          const double gateLoad = calls / std::max(1, view.load.slots);
          load.busiestLoad = std::max(load.busiestLoad, gateLoad);
          load.meanLoad += (gateLoad - load.meanLoad) / ++reported;
        }
      }
    }
    loads.push_back(std::move(load));
  }
  return loads;
}

void
Balancer::RetireConnections(const std::string& aNode)
{
  m_statistics.Of(aNode)->RetireConnections();
}

uint32_t
Balancer::ConnectionGeneration(const std::string& aNode)
{
  return m_statistics.Of(aNode)->ConnectionGeneration();
}

} // namespace mimosarun
