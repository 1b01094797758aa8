#include "caller/balancer.h"

#include "common/random.h"

#include <algorithm>
#include <functional>

namespace mimosarun {

static constexpr std::chrono::microseconds kUnknownMean{ 2000 };
static constexpr std::chrono::microseconds kRegionCost{ 1500 };
static constexpr std::chrono::microseconds kOtherRegionCost{ 40000 };
static constexpr std::chrono::milliseconds kLoadFreshness{ 300 };
static constexpr std::chrono::milliseconds kSlowStart{ 5000 };
static constexpr int kSlowStartFactor = 3;
static constexpr int kFailuresToLeaveOut = 3;
static constexpr std::chrono::milliseconds kFirstLeaveOut{ 500 };
static constexpr std::chrono::milliseconds kLongestLeaveOut{ 8000 };
static constexpr int kSmoothing = 8;
static constexpr std::chrono::milliseconds kLeastPatience{ 250 };
static constexpr int kPatienceFactor = 5;

Balancer::Balancer(BalancePolicy aPolicy)
  : m_policy(aPolicy)
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

static std::chrono::microseconds
DistanceCost(Locality aLocality)
{
  switch (aLocality) {
    case Locality::FailureDomain:
      return std::chrono::microseconds(0);
    case Locality::Region:
      return kRegionCost;
    case Locality::OtherRegion:
      return kOtherRegionCost;
  }
  return kOtherRegionCost;
}

std::chrono::microseconds
Balancer::Cost(const GateInfo& aGate, Deadline aNow)
{
  const Stats stats = Read(aGate.node);
  if (m_policy == BalancePolicy::LeastInFlight) {
    return std::chrono::microseconds(stats.open.size());
  }
  const int inFlight = static_cast<int>(stats.open.size());
  // An attempt that is open longer than usual tells of trouble before it ends.
  const auto oldest = stats.open.empty() ? Deadline::duration(0) : aNow - *stats.open.begin();
  const auto known = stats.mean.count() > 0 ? stats.mean : kUnknownMean;
  const auto mean = std::max(known, std::chrono::duration_cast<std::chrono::microseconds>(oldest));
  const bool fresh = aNow < stats.loadAt + kLoadFreshness;
  const int slots = std::max(1, fresh ? stats.load.slots : aGate.slots);
  const int reported = fresh ? stats.load.inUse + stats.load.waiting : 0;
  const int load = std::max(inFlight, reported);
  const auto wait = mean * std::max(0, load + 1 - slots) / slots;
  auto cost = mean + wait + DistanceCost(aGate.locality);
  const bool cold = stats.firstUsed == Deadline{} || aNow < stats.firstUsed + kSlowStart;
  if (cold && inFlight > 0) {
    cost *= kSlowStartFactor;
  }
  return cost;
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

const GateInfo*
Balancer::Pick(const std::vector<const GateInfo*>& aGates, Deadline aNow)
{
  const auto last = static_cast<int64_t>(aGates.size()) - 1;
  const GateInfo* first = aGates[static_cast<size_t>(RandomBetween(0, last))];
  if (m_policy == BalancePolicy::Random || aGates.size() == 1) {
    return first;
  }
  if (m_policy == BalancePolicy::LeastInFlight) {
    return *std::min_element(
      aGates.begin(), aGates.end(), [&](const GateInfo* aLeft, const GateInfo* aRight) {
        return Cost(*aLeft, aNow) < Cost(*aRight, aNow);
      });
  }
  const GateInfo* second = first;
  while (second == first) {
    second = aGates[static_cast<size_t>(RandomBetween(0, last))];
  }
  return Cost(*second, aNow) < Cost(*first, aNow) ? second : first;
}

std::optional<GateInfo>
Balancer::Choose(const std::vector<GateInfo>& aGates, const std::set<std::string>& aExcluded)
{
  const Deadline now = SteadyClock::now();
  const std::vector<const GateInfo*> usable = Usable(aGates, aExcluded, now);
  std::vector<const GateInfo*> near;
  std::copy_if(usable.begin(), usable.end(), std::back_inserter(near), [](const GateInfo* aGate) {
    return aGate->locality != Locality::OtherRegion;
  });
  const std::vector<const GateInfo*>& choice = near.empty() ? usable : near;
  if (choice.empty()) {
    return std::nullopt;
  }
  return *Pick(choice, now);
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
