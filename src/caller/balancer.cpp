#include "caller/balancer.h"

#include "common/random.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace mimosarun {

static constexpr std::chrono::milliseconds kLoadFreshness{ 300 };
static constexpr std::chrono::milliseconds kDoubtFreshness{ 1500 };
static constexpr int kFailuresToLeaveOut = 3;
static constexpr std::chrono::milliseconds kFirstLeaveOut{ 500 };
static constexpr std::chrono::milliseconds kLongestLeaveOut{ 8000 };
static constexpr int kSmoothing = 8;
static constexpr std::chrono::milliseconds kLeastPatience{ 250 };
static constexpr int kPatienceFactor = 5;
/** Open attempts from which their age is taken as a sign. */
static constexpr size_t kTellingAttempts = 3;
/** Gates that cost the same are used in turn rather than by name. */
static constexpr int64_t kJitterMicros = 500;
/** An earlier answer counts for this little where the objective is met anyway. */
static constexpr int kEaseFactor = 10;
/** Open attempts of this many times the usual time are a sign of trouble. */
static constexpr int kTroubleFactor = 3;

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
Part(std::chrono::microseconds aTime, double aShare)
{
  return std::chrono::microseconds(static_cast<int64_t>(static_cast<double>(aTime.count()) * aShare));
}

std::chrono::microseconds
Balancer::DistanceCost(Locality aLocality, const CallWish& aWish) const
{
  const DistanceCosts& costs = m_options.distance;
  switch (aLocality) {
    case Locality::FailureDomain:
      return std::chrono::microseconds(0);
    case Locality::Region:
      return costs.region + Part(aWish.objective, costs.regionShare * aWish.kilobytes);
    case Locality::OtherRegion:
      return costs.otherRegion + Part(aWish.objective, costs.otherRegionShare * aWish.kilobytes);
  }
  return costs.otherRegion;
}

/** What an answer after a time costs: little while the caller is served well, each moment beyond that. */
static std::chrono::microseconds
LatenessCost(std::chrono::microseconds aTime, std::chrono::microseconds aComfort)
{
  return std::max(std::chrono::microseconds(0), aTime - aComfort) + aTime / kEaseFactor;
}

/** The age that half of the open attempts have reached, or zero where there are too few to tell. */
static std::chrono::microseconds
TypicalAge(const std::multiset<Deadline>& aOpen, Deadline aNow)
{
  if (aOpen.size() < kTellingAttempts) {
    return std::chrono::microseconds(0);
  }
  const Deadline middle = *std::next(aOpen.begin(), static_cast<std::ptrdiff_t>(aOpen.size() / 2));
  return std::chrono::duration_cast<std::chrono::microseconds>(aNow - middle);
}

Balancer::View
Balancer::Read(const std::string& aNode, const std::string& aKind, Deadline aNow)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  const Stats& stats = shard.stats[aNode];
  const auto ofKind = stats.meanOfKind.find(aKind);
  return { .open = stats.open.size(),
           .age = TypicalAge(stats.open, aNow),
           .mean = stats.mean,
           .meanOfKind = ofKind == stats.meanOfKind.end() ? std::chrono::microseconds(0) : ofKind->second,
           .load = stats.load,
           .loadAt = stats.loadAt,
           .leftOutUntil = stats.leftOutUntil };
}

Balancer::Candidate
Balancer::Look(const Seen& aSeen, const CallExperience& aExperience, Deadline aNow)
{
  const GateInfo& gate = *aSeen.gate;
  const View& view = aSeen.view;
  const bool fresh = aNow < view.loadAt + kLoadFreshness;
  const int slots = std::max(1, fresh ? view.load.slots : gate.slots);
  const auto own = static_cast<int>(view.open);
  Candidate candidate{ .gate = &gate };
  candidate.wait = std::max(view.mean, view.age) * std::max(0, own + 1 - slots) / slots;
  candidate.loadKnown = fresh;
  if (fresh) {
    candidate.wait = std::max(candidate.wait, view.load.wait);
  }
  candidate.doubtKnown = aNow < view.loadAt + kDoubtFreshness;
  if (candidate.doubtKnown) {
    candidate.doubt = view.load.doubt;
  }
  if (const auto named = aExperience.turnedBack.find(gate.node); named != aExperience.turnedBack.end()) {
    candidate.wait = std::max(candidate.wait, named->second);
    candidate.loadKnown = true;
  }
  if (view.meanOfKind.count() > 0) {
    // Attempts that are open for longer than usual tell of trouble before they end.
    const bool troubled = view.age > kTroubleFactor * view.mean;
    candidate.time = std::max(view.meanOfKind, troubled ? view.age : std::chrono::microseconds(0));
    candidate.time += candidate.time * own / (slots * kSmoothing);
  }
  return candidate;
}

/** A mean of times, with a little weight on none at all: what one gate says need not hold for all. */
struct Mean
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
Balancer::FillIn(std::vector<Candidate>& aCandidates)
{
  std::chrono::microseconds times{ 0 };
  int timesKnown = 0;
  Mean wait;
  Mean doubt;
  for (const Candidate& candidate : aCandidates) {
    times += candidate.time;
    timesKnown += candidate.time.count() > 0 ? 1 : 0;
    if (candidate.loadKnown) {
      wait.Add(candidate.wait);
    }
    if (candidate.doubtKnown) {
      doubt.Add(candidate.doubt);
    }
  }
  for (Candidate& candidate : aCandidates) {
    if (candidate.time.count() == 0) {
      candidate.time = times / std::max(1, timesKnown);
    }
    if (!candidate.loadKnown) {
      candidate.wait = std::max(candidate.wait, wait.Value());
    }
    if (!candidate.doubtKnown) {
      candidate.doubt = doubt.Value();
    }
  }
}

void
Balancer::Weigh(std::vector<Candidate>& aCandidates, const CallWish& aWish) const
{
  FillIn(aCandidates);
  const auto comfort = Part(aWish.objectiveLeft, m_options.distance.comfortShare);
  for (Candidate& candidate : aCandidates) {
    candidate.distance = DistanceCost(candidate.gate->locality, aWish);
    candidate.cost = candidate.distance + candidate.doubt +
                     LatenessCost(candidate.time + candidate.wait, comfort) +
                     std::chrono::microseconds(RandomBetween(0, kJitterMicros));
  }
}

std::vector<Balancer::Seen>
Balancer::Usable(const std::vector<GateInfo>& aGates,
                 const CallExperience& aExperience,
                 const std::string& aKind,
                 Deadline aNow)
{
  std::vector<Seen> seen;
  seen.reserve(aGates.size());
  for (const GateInfo& gate : aGates) {
    if (!aExperience.excluded.contains(gate.node)) {
      seen.push_back({ .gate = &gate, .view = Read(gate.node, aKind, aNow) });
    }
  }
  const auto leftOut = [aNow](const Seen& aSeen) { return aNow < aSeen.view.leftOutUntil; };
  const auto trusted = seen.size() - static_cast<size_t>(std::count_if(seen.begin(), seen.end(), leftOut));
  // A fault that most gates share says nothing about any one of them.
  if (trusted * 2 >= seen.size() && trusted > 0) {
    std::erase_if(seen, leftOut);
  }
  return seen;
}

GateChoice
Balancer::Cheapest(const std::vector<Seen>& aSeen,
                   const CallExperience& aExperience,
                   const CallWish& aWish) const
{
  std::vector<Candidate> candidates;
  candidates.reserve(aSeen.size());
  const Deadline now = SteadyClock::now();
  for (const Seen& seen : aSeen) {
    candidates.push_back(Look(seen, aExperience, now));
  }
  Weigh(candidates, aWish);
  const size_t compared = std::min<size_t>(2, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(compared),
                    candidates.end(),
                    [](const Candidate& aLeft, const Candidate& aRight) { return aLeft.cost < aRight.cost; });
  const Candidate& best = candidates.front();
  GateChoice choice{ .gate = *best.gate,
                     .longestWait = std::chrono::microseconds::max(),
                     .toleratedDoubt = std::chrono::microseconds::max() };
  if (candidates.size() > 1) {
    // The wait after which the next best gate costs less.
    const auto comfort = Part(aWish.objectiveLeft, m_options.distance.comfortShare);
    const auto spare = std::max(std::chrono::microseconds(0), comfort - best.time);
    choice.longestWait = std::max(std::chrono::microseconds(0),
                                  spare + candidates[1].cost - best.distance - best.doubt -
                                    LatenessCost(best.time + spare, comfort));
    choice.toleratedDoubt = best.doubt + candidates[1].cost - best.cost;
  }
  return choice;
}

std::optional<GateChoice>
Balancer::Choose(const std::vector<GateInfo>& aGates,
                 const CallExperience& aExperience,
                 const CallWish& aWish)
{
  const std::vector<Seen> usable = Usable(aGates, aExperience, aWish.kind, SteadyClock::now());
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto fewest = [](const Seen& aLeft, const Seen& aRight) {
    return aLeft.view.open < aRight.view.open;
  };
  switch (m_options.policy) {
    case BalancePolicy::Random: {
      const auto last = static_cast<int64_t>(usable.size()) - 1;
      return GateChoice{ .gate = *usable[static_cast<size_t>(RandomBetween(0, last))].gate,
                         .longestWait = std::chrono::microseconds::max(),
                         .toleratedDoubt = std::chrono::microseconds::max() };
    }
    case BalancePolicy::LeastInFlight:
      return GateChoice{ .gate = *std::min_element(usable.begin(), usable.end(), fewest)->gate,
                         .longestWait = std::chrono::microseconds::max(),
                         .toleratedDoubt = std::chrono::microseconds::max() };
    case BalancePolicy::ExpectedTime:
      return Cheapest(usable, aExperience, aWish);
  }
  return std::nullopt;
}

void
Balancer::Sent(const std::string& aNode, CallClass aClass, Deadline aNow)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  Stats& stats = shard.stats[aNode];
  if (aClass == CallClass::Short) {
    stats.open.insert(aNow);
  }
}

static void
Smooth(std::chrono::microseconds& aMean, std::chrono::microseconds aTime)
{
  aMean = aMean.count() == 0 ? aTime : aMean + (aTime - aMean) / kSmoothing;
}

void
Balancer::Ended(const EndedAttempt& aAttempt, Deadline aNow)
{
  Shard& shard = ShardOf(aAttempt.node);
  const std::lock_guard lock(shard.mutex);
  Stats& stats = shard.stats[aAttempt.node];
  const bool isShort = aAttempt.callClass == CallClass::Short;
  if (const auto open = stats.open.find(aAttempt.sentAt); isShort && open != stats.open.end()) {
    stats.open.erase(open);
  }
  const auto time = std::chrono::duration_cast<std::chrono::microseconds>(aNow - aAttempt.sentAt);
  // An abandoned attempt took at least as long as it was waited for.
  const bool slow = aAttempt.end == AttemptEnd::Abandoned && time > stats.mean;
  if (isShort && (aAttempt.end == AttemptEnd::Answered || slow)) {
    Smooth(stats.mean, time);
    Smooth(stats.meanOfKind[aAttempt.kind], time);
  }
  if (aAttempt.end == AttemptEnd::Answered) {
    stats.failures = 0;
    return;
  }
  if (aAttempt.end == AttemptEnd::Failed && ++stats.failures >= kFailuresToLeaveOut) {
    const int doublings = std::min(stats.failures - kFailuresToLeaveOut, 4);
    stats.leftOutUntil = aNow + std::min(kFirstLeaveOut * (1 << doublings), kLongestLeaveOut);
  }
}

void
Balancer::NoteLoad(const std::string& aNode, const GateLoad& aLoad)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  Stats& stats = shard.stats[aNode];
  stats.load = aLoad;
  stats.loadAt = SteadyClock::now();
}

std::chrono::microseconds
Balancer::Patience(const std::string& aNode)
{
  return std::max<std::chrono::microseconds>(kLeastPatience,
                                             kPatienceFactor * Read(aNode, {}, SteadyClock::now()).mean);
}

bool
Balancer::HeardSince(const std::string& aNode, Deadline aTime)
{
  return Read(aNode, {}, aTime).loadAt > aTime;
}

void
Balancer::DistrustConnections(const std::string& aNode)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  ++shard.stats[aNode].generation;
}

uint32_t
Balancer::ConnectionGeneration(const std::string& aNode)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  return shard.stats[aNode].generation;
}

} // namespace mimosarun
