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
  /** Wait for a slot that a call would see. */
  std::chrono::microseconds wait{ 0 };
  /** What the target's failures cost a call. */
  std::chrono::microseconds doubt{ 0 };
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
  /** The gate with the lowest expected time and distance. */
  ExpectedTime,
  Random,
  /** In turn, but the one with the fewest calls in flight first. */
  LeastInFlight,
};

/** What choosing a gate further away costs, as time that a call may rather wait nearer by. */
struct DistanceCosts
{
  std::chrono::microseconds region{ 1500 };
  std::chrono::microseconds otherRegion{ 40000 };
  /**
   * Added parts of a call's latency objective for each kilobyte of the call and its answer, where bytes
   * between domains cost more than a later answer.
   */
  double regionShare = 0;
  double otherRegionShare = 0;
  /** Part of the objective within which a later answer costs next to nothing. */
  double comfortShare = 0;
};

/** What a call wants of a gate. */
struct CallWish
{
  /** Names calls of like cost, such as those of one route. */
  std::string kind;
  /** Time in which an answer is worth most to the caller; zero where only speed counts. */
  std::chrono::microseconds objective{ 0 };
  /** What is left of that time. */
  std::chrono::microseconds objectiveLeft{ 0 };
  /** Size of the call and its answer together, with their heads. */
  double kilobytes = 1;
};

/** An attempt that has ended. */
struct EndedAttempt
{
  std::string node;
  std::string kind;
  CallClass callClass = CallClass::Short;
  AttemptEnd end = AttemptEnd::Answered;
  Deadline sentAt;
};

/** A gate and how long the call may wait for a slot there before the next best gate is the better choice. */
struct GateChoice
{
  GateInfo gate;
  std::chrono::microseconds longestWait{ 0 };
  /** What the failures of the gate's target may cost before the next best gate is the better choice. */
  std::chrono::microseconds toleratedDoubt{ 0 };
  /** Whether the call comes back to a gate that turned it back before. */
  bool last = false;
};

/** Gates that a call can't or shouldn't use. */
struct CallExperience
{
  /** Gates that failed the call. */
  std::set<std::string> excluded;
  /** Gates that turned the call back, with the wait that they named. */
  std::map<std::string, std::chrono::microseconds> turnedBack;
};

/**
 * Chooses gates from what their answers showed: time, load and failures, and from how far they are. A gate
 * that fails again and again is left out for a while, but never more than half of the gates of a service.
 * Thread-safe; the state is in shards.
 */
class Balancer
{
public:
  struct Options
  {
    BalancePolicy policy = BalancePolicy::ExpectedTime;
    DistanceCosts distance;
  };

  explicit Balancer(Options aOptions);

  /** Chooses a gate for a call that isn't excluded; one that turned it back counts with the wait it named. */
  std::optional<GateChoice> Choose(const std::vector<GateInfo>& aGates,
                                   const CallExperience& aExperience,
                                   const CallWish& aWish);

  /** Notes that an attempt was sent to a gate. */
  void Sent(const std::string& aNode, CallClass aClass, Deadline aNow);

  /** Notes how an attempt ended and how long it took. */
  void Ended(const EndedAttempt& aAttempt, Deadline aNow);

  /** Notes a load that a gate's answer carried. */
  void NoteLoad(const std::string& aNode, const GateLoad& aLoad);

  /** A time after which a gate that is well would have begun to answer nearly always. */
  std::chrono::microseconds Patience(const std::string& aNode);

  /** Whether a gate has answered any call since a time. */
  bool HeardSince(const std::string& aNode, Deadline aTime);

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
    /** Mean time of short calls of all kinds, and of each kind. */
    std::chrono::microseconds mean{ 0 };
    std::map<std::string, std::chrono::microseconds> meanOfKind;
    GateLoad load;
    /** When an answer of the gate arrived last. */
    Deadline loadAt{};
    int failures = 0;
    Deadline leftOutUntil{};
    uint32_t generation = 0;
  };

  struct Shard
  {
    std::mutex mutex;
    std::map<std::string, Stats> stats;
  };

  /** What a choice needs to know of one gate. */
  struct View
  {
    size_t open = 0;
    /** The age that half of the open attempts have reached; zero where there are too few to tell. */
    std::chrono::microseconds age{ 0 };
    std::chrono::microseconds mean{ 0 };
    /** Of the kind of the call; zero where the gate hasn't shown it yet. */
    std::chrono::microseconds meanOfKind{ 0 };
    GateLoad load;
    Deadline loadAt{};
    Deadline leftOutUntil{};
  };

  Shard& ShardOf(const std::string& aNode);
  View Read(const std::string& aNode, const std::string& aKind, Deadline aNow);
  /** A gate with the parts of its cost. */
  struct Candidate
  {
    const GateInfo* gate = nullptr;
    std::chrono::microseconds wait{ 0 };
    std::chrono::microseconds doubt{ 0 };
    /** Whether the gate has told its load and its doubt lately. */
    bool loadKnown = false;
    bool doubtKnown = false;
    /** Time until an answer without the wait for a slot; zero where the gate hasn't shown it yet. */
    std::chrono::microseconds time{ 0 };
    std::chrono::microseconds distance{ 0 };
    std::chrono::microseconds cost{ 0 };
  };

  std::chrono::microseconds DistanceCost(Locality aLocality, const CallWish& aWish) const;
  /** A gate that may be chosen. */
  struct Seen
  {
    const GateInfo* gate = nullptr;
    View view;
  };

  static Candidate Look(const Seen& aSeen, const CallExperience& aExperience, Deadline aNow);
  static void FillIn(std::vector<Candidate>& aCandidates);
  void Weigh(std::vector<Candidate>& aCandidates, const CallWish& aWish) const;
  std::vector<Seen> Usable(const std::vector<GateInfo>& aGates,
                           const CallExperience& aExperience,
                           const std::string& aKind,
                           Deadline aNow);
  GateChoice Cheapest(const std::vector<Seen>& aSeen,
                      const CallExperience& aExperience,
                      const CallWish& aWish) const;

  const Options m_options;
  std::array<Shard, 16> m_shards;
};

} // namespace mimosarun
