#include "caller/balancer.h"

#include "common/random.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace mimosarun {

static constexpr std::chrono::milliseconds kLoadFreshness{ 300 };
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

Balancer::Balancer(Options aOptions)
  : m_options(aOptions)
{
}

Balancer::Shard&
Balancer::ShardOf(const std::string& aNode)
{
  return m_shards[std::hash<std::string>{}(aNode) % m_shards.size()];
}

Balancer::Stats
Balancer::Read(const std::string& aNode)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  return shard.stats[aNode];
}

std::chrono::microseconds
Balancer::DistanceCost(Locality aLocality) const
{
  switch (aLocality) {
    case Locality::FailureDomain:
      return std::chrono::microseconds(0);
    case Locality::Region:
      return m_options.distance.region;
    case Locality::OtherRegion:
      return m_options.distance.otherRegion;
  }
  return m_options.distance.otherRegion;
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

Balancer::Candidate
Balancer::Weigh(const GateInfo& aGate, const CallExperience& aExperience, Deadline aNow)
{
  const Stats stats = Read(aGate.node);
  const auto mean = std::max(stats.mean, TypicalAge(stats.open, aNow));
  const bool fresh = aNow < stats.loadAt + kLoadFreshness;
  const int slots = std::max(1, fresh ? stats.load.slots : aGate.slots);
  const auto own = static_cast<int>(stats.open.size());
  Candidate candidate{ .gate = &aGate };
  candidate.wait = mean * std::max(0, own + 1 - slots) / slots;
  if (fresh) {
    candidate.wait = std::max(candidate.wait, stats.load.wait);
  }
  if (const auto named = aExperience.turnedBack.find(aGate.node); named != aExperience.turnedBack.end()) {
    candidate.wait = std::max(candidate.wait, named->second);
  }
  candidate.rest = mean + DistanceCost(aGate.locality) + mean * own / (slots * kSmoothing) +
                   std::chrono::microseconds(RandomBetween(0, kJitterMicros));
  return candidate;
}

std::vector<const GateInfo*>
Balancer::Usable(const std::vector<GateInfo>& aGates, const std::set<std::string>& aExcluded, Deadline aNow)
{
  std::vector<const GateInfo*> all;
  std::vector<const GateInfo*> trusted;
  for (const GateInfo& gate : aGates) {
    if (aExcluded.contains(gate.node)) {
      continue;
    }
    all.push_back(&gate);
    if (aNow >= Read(gate.node).leftOutUntil) {
      trusted.push_back(&gate);
    }
  }
  // A fault that most gates share says nothing about any one of them.
  return trusted.size() * 2 >= all.size() && !trusted.empty() ? trusted : all;
}

GateChoice
Balancer::Cheapest(const std::vector<const GateInfo*>& aGates,
                   const CallExperience& aExperience,
                   Deadline aNow)
{
  std::vector<Candidate> candidates;
  for (const GateInfo* gate : aGates) {
    candidates.push_back(Weigh(*gate, aExperience, aNow));
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
    return aLeft.Cost() < aRight.Cost();
  });
  const Candidate& best = candidates.front();
  GateChoice choice{ .gate = *best.gate, .longestWait = std::chrono::microseconds::max() };
  if (candidates.size() > 1) {
    choice.longestWait = std::max(std::chrono::microseconds(0), candidates[1].Cost() - best.rest);
  }
  return choice;
}

std::optional<GateChoice>
Balancer::Choose(const std::vector<GateInfo>& aGates, const CallExperience& aExperience)
{
  const Deadline now = SteadyClock::now();
  const std::vector<const GateInfo*> usable = Usable(aGates, aExperience.excluded, now);
  if (usable.empty()) {
    return std::nullopt;
  }
  const auto fewest = [this](const GateInfo* aLeft, const GateInfo* aRight) {
    return Read(aLeft->node).open.size() < Read(aRight->node).open.size();
  };
  switch (m_options.policy) {
    case BalancePolicy::Random: {
      const auto last = static_cast<int64_t>(usable.size()) - 1;
      return GateChoice{ .gate = *usable[static_cast<size_t>(RandomBetween(0, last))],
                         .longestWait = std::chrono::microseconds::max() };
    }
    case BalancePolicy::LeastInFlight:
      return GateChoice{ .gate = **std::min_element(usable.begin(), usable.end(), fewest),
                         .longestWait = std::chrono::microseconds::max() };
    case BalancePolicy::ExpectedTime:
      return Cheapest(usable, aExperience, now);
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
  if (stats.firstUsed == Deadline{}) {
    stats.firstUsed = aNow;
  }
}

void
Balancer::Ended(const std::string& aNode, CallClass aClass, AttemptEnd aEnd, Deadline aSentAt, Deadline aNow)
{
  Shard& shard = ShardOf(aNode);
  const std::lock_guard lock(shard.mutex);
  Stats& stats = shard.stats[aNode];
  if (const auto open = stats.open.find(aSentAt); aClass == CallClass::Short && open != stats.open.end()) {
    stats.open.erase(open);
  }
  const auto time = std::chrono::duration_cast<std::chrono::microseconds>(aNow - aSentAt);
  // An abandoned attempt took at least as long as it was waited for.
  const bool slow = aEnd == AttemptEnd::Abandoned && time > stats.mean;
  if (aClass == CallClass::Short && (aEnd == AttemptEnd::Answered || slow)) {
    stats.mean = stats.mean.count() == 0 ? time : stats.mean + (time - stats.mean) / kSmoothing;
  }
  if (aEnd == AttemptEnd::Answered) {
    stats.failures = 0;
    return;
  }
  if (aEnd == AttemptEnd::Failed && ++stats.failures >= kFailuresToLeaveOut) {
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
  return std::max<std::chrono::microseconds>(kLeastPatience, kPatienceFactor * Read(aNode).mean);
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
  return Read(aNode).generation;
}

} // namespace mimosarun
