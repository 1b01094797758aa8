#pragma once

#include "common/clock.h"
#include "configuration/configuration.h"
#include "node/directory.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

/** What a gate's answer says of its load. */
struct GateLoad
{
  int inUse = 0;
  int slots = 1;
  int waiting = 0;
};

/** How an attempt ended, as far as it says something of the gate. */
enum class AttemptEnd
{
  Answered,
  /** Refused for lack of slots; the gate is well but full. */
  Shed,
  /** The gate couldn't be reached or broke off. */
  Failed,
  /** Given up by this side. */
  Abandoned,
};

/** The way a gate is chosen; the simple ones are baselines to measure against. */
enum class BalancePolicy
{
  /** Two random gates, the one with the lower expected time. */
  ExpectedTime,
  Random,
  /** In turn, but the one with the fewest calls in flight first. */
  LeastInFlight,
};

/**
 * Chooses gates from what their answers showed: time, load and failures, and from how far they are. A gate
 * that fails again and again is left out for a while, but never more than half of the gates of a service.
 * Thread-safe; the state is in shards.
 */
class Balancer
{
public:
  explicit Balancer(BalancePolicy aPolicy);

  /** Chooses a gate that isn't excluded. */
  std::optional<GateInfo> Choose(const std::vector<GateInfo>& aGates, const std::set<std::string>& aExcluded);

  /** Notes that an attempt was sent to a gate. */
  void Sent(const std::string& aNode, CallClass aClass, Deadline aNow);

  /** Notes how an attempt ended and how long it took. */
  void Ended(const std::string& aNode, CallClass aClass, AttemptEnd aEnd, Deadline aSentAt, Deadline aNow);

  /** Notes a load that a gate's answer carried. */
  void NoteLoad(const std::string& aNode, const GateLoad& aLoad);

  /** A time after which a gate that is well would have begun to answer nearly always. */
  std::chrono::microseconds Patience(const std::string& aNode);

  /** Leaves all kept connections to a gate behind. */
  void DistrustConnections(const std::string& aNode);

  /** Value for ForwardRequest::connectionGeneration. */
  uint32_t ConnectionGeneration(const std::string& aNode);

private:
  /** What is known of one gate. */
  struct Stats
  {
    /** When each open attempt of a short call was sent. */
    std::multiset<Deadline> open;
    /** Mean time of short calls. */
    std::chrono::microseconds mean{ 0 };
    GateLoad load;
    Deadline loadAt{};
    Deadline firstUsed{};
    int failures = 0;
    Deadline leftOutUntil{};
    uint32_t generation = 0;
  };

  struct Shard
  {
    std::mutex mutex;
    std::map<std::string, Stats> stats;
  };

  Shard& ShardOf(const std::string& aNode);
  Stats Read(const std::string& aNode);
  std::chrono::microseconds Cost(const GateInfo& aGate, Deadline aNow);
  std::vector<const GateInfo*> Usable(const std::vector<GateInfo>& aGates,
                                      const std::set<std::string>& aExcluded,
                                      Deadline aNow);
  const GateInfo* Pick(const std::vector<const GateInfo*>& aGates, Deadline aNow);

  BalancePolicy m_policy;
  std::array<Shard, 16> m_shards;
};

} // namespace mimosarun
