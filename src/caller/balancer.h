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
  int slotsInUse = 0;
  int slots = 1;
  int queueLength = 0;
  /** Wait for a slot that a call would see. */
  std::chrono::microseconds queueWait{ 0 };
  /** What the target's failures cost a call. */
  std::chrono::microseconds failurePenalty{ 0 };
};

/** How an attempt ended, as far as it says something of the gate. */
enum class AttemptOutcome
{
  Answered,
  /** Refused for lack of slots; the gate is well but full. */
  Rejected,
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
  double regionSharePerKilobyte = 0;
  double otherRegionSharePerKilobyte = 0;
  /** Part of the objective within which a later answer costs next to nothing. */
  double onTimeShare = 0;
};

/** What a call wants of a gate. */
struct CallRequirements
{
  /** Names calls of like cost, such as those of one route. */
  std::string costGroup;
  /** Time in which an answer is worth most to the caller; zero where only speed counts. */
  std::chrono::microseconds latencyObjective{ 0 };
  /** What is left of that time. */
  std::chrono::microseconds timeToObjective{ 0 };
  /** Size of the call and its answer together, with their heads. */
  double kilobytes = 1;
};

/** An attempt that has ended. */
struct AttemptResult
{
  std::string node;
  std::string costGroup;
  CallClass callClass = CallClass::Short;
  AttemptOutcome outcome = AttemptOutcome::Answered;
  Deadline sentAt;
};

/** A gate and how long the call may wait for a slot there before the next best gate is the better choice. */
struct GateChoice
{
  GateInfo gate;
  std::chrono::microseconds longestWait{ 0 };
  /** What the failures of the gate's target may cost before the next best gate is the better choice. */
  std::chrono::microseconds maxFailurePenalty{ 0 };
  /** Whether the call comes back to a gate that turned it back before. */
  bool isLastResort = false;
};

/** Gates that a call can't or shouldn't use. */
struct TriedGates
{
  /** Gates that failed the call. */
  std::set<std::string> excluded;
  /** Gates that turned the call back, with the wait that they named. */
  std::map<std::string, std::chrono::microseconds> rejectionWaits;
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
                                   const TriedGates& aExperience,
                                   const CallRequirements& aWish);

  /** Notes that an attempt was sent to a gate. */
  void RecordSent(const std::string& aNode, CallClass aClass, Deadline aNow);

  /** Notes how an attempt ended and how long it took. */
  void RecordResult(const AttemptResult& aAttempt, Deadline aNow);

  /** Notes a load that a gate's answer carried. */
  void RecordLoad(const std::string& aNode, const GateLoad& aLoad);

  /** A time after which a gate that is well would have begun to answer nearly always. */
  std::chrono::microseconds StallTimeout(const std::string& aNode);

  /** Whether a gate has answered any call since a time. */
  bool HasAnsweredSince(const std::string& aNode, Deadline aTime);

  /** Leaves all kept connections to a gate behind. */
  void RetireConnections(const std::string& aNode);

  /** Value for ForwardRequest::connectionGeneration. */
  uint32_t ConnectionGeneration(const std::string& aNode);

private:
  /** What is known of one gate. */
  struct GateStats
  {
    /** When each open attempt of a short call was sent. */
    std::multiset<Deadline> openAttempts;
    /** Mean time of short calls of all kinds, and of each kind. */
    std::chrono::microseconds meanTime{ 0 };
    std::map<std::string, std::chrono::microseconds> meanTimeOfCostGroup;
    GateLoad load;
    /** When an answer of the gate arrived last. */
    Deadline loadReceivedAt{};
    int consecutiveFailures = 0;
    Deadline ejectedUntil{};
    uint32_t connectionGeneration = 0;
  };

  struct Shard
  {
    std::mutex mutex;
    std::map<std::string, GateStats> stats;
  };

  /** What a choice needs to know of one gate. */
  struct GateView
  {
    size_t openAttempts = 0;
    /** The age that half of the open attempts have reached; zero where there are too few to tell. */
    std::chrono::microseconds medianOpenAge{ 0 };
    std::chrono::microseconds meanTime{ 0 };
    /** Of the kind of the call; zero where the gate hasn't shown it yet. */
    std::chrono::microseconds meanTimeOfCostGroup{ 0 };
    GateLoad load;
    Deadline loadReceivedAt{};
    Deadline ejectedUntil{};
  };

  Shard& ShardOf(const std::string& aNode);
  GateView ViewOf(const std::string& aNode, const std::string& aKind, Deadline aNow);
  /** A gate with the parts of its cost. */
  struct Candidate
  {
    const GateInfo* gate = nullptr;
    std::chrono::microseconds queueWait{ 0 };
    std::chrono::microseconds failurePenalty{ 0 };
    /** Whether the gate has told its load and its doubt lately. */
    bool isLoadKnown = false;
    bool isFailurePenaltyKnown = false;
    /** Time until an answer without the wait for a slot; zero where the gate hasn't shown it yet. */
    std::chrono::microseconds responseTime{ 0 };
    std::chrono::microseconds distanceCost{ 0 };
    std::chrono::microseconds totalCost{ 0 };
  };

  std::chrono::microseconds DistanceCost(Locality aLocality, const CallRequirements& aWish) const;
  /** A gate that may be chosen. */
  struct ObservedGate
  {
    const GateInfo* gate = nullptr;
    GateView view;
  };

  static Candidate MakeCandidate(const ObservedGate& aSeen, const TriedGates& aExperience, Deadline aNow);
  static void FillInUnknowns(std::vector<Candidate>& aCandidates);
  void ComputeCosts(std::vector<Candidate>& aCandidates, const CallRequirements& aWish) const;
  std::vector<ObservedGate> UsableGates(const std::vector<GateInfo>& aGates,
                                        const TriedGates& aExperience,
                                        const std::string& aKind,
                                        Deadline aNow);
  GateChoice ChooseCheapest(const std::vector<ObservedGate>& aSeen,
                            const TriedGates& aExperience,
                            const CallRequirements& aWish) const;

  const Options m_options;
  std::array<Shard, 16> m_shards;
};

} // namespace mimosarun
