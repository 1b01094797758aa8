#pragma once

#include "caller/gatestatistics.h"
#include "node/directory.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosarun {

/** How a gate is chosen. Random and LeastInFlight are baselines for measurements. */
enum class BalancePolicy
{
  /** The gate with the lowest cost by expected response time and distance. */
  ExpectedTime,
  Random,
  /** The gate with the fewest open attempts of short calls. */
  LeastInFlight,
};

/** Costs of choosing a remote gate, as the extra time that a call may wait at a nearer one instead. */
struct DistanceCosts
{
  std::chrono::microseconds region{ 1500 };
  std::chrono::microseconds otherRegion{ 40000 };
  /**
   * Share of the call's latency objective that is added for each kilobyte of the request and its response;
   * above zero where traffic between domains costs more than a later response.
   */
  double regionSharePerKilobyte = 0;
  double otherRegionSharePerKilobyte = 0;
  /** Limits of these shares: a large response that would miss its objective nearby is served elsewhere. */
  double regionShareLimit = 1.0;
  double otherRegionShareLimit = 1.5;
  /** Share of the time left until the objective within which a later response costs little. */
  double onTimeShare = 0;
};

/** Properties of a call that affect the choice of its gate. */
struct CallRequirements
{
  /** Name shared by calls of similar cost, such as those of one route. */
  std::string costGroup;
  /** Time within which a response has its full value to the caller; zero if there is no such limit. */
  std::chrono::microseconds latencyObjective{ 0 };
  /** Time left until the objective is missed. */
  std::chrono::microseconds timeToObjective{ 0 };
  /** Size of the request and its response together, including headers. */
  double kilobytes = 1;
  /** Longest time that the call can wait for a slot. */
  std::chrono::microseconds longestWait = std::chrono::microseconds::max();
};

/** A chosen gate, with the limits beyond which the next best gate is the better choice. */
struct GateChoice
{
  GateInfo gate;
  /** Longest wait for a slot. */
  std::chrono::microseconds longestWait{ 0 };
  /** Highest failure penalty of the gate's target. */
  std::chrono::microseconds maxFailurePenalty{ 0 };
  /** Whether the gate has rejected the call before. */
  bool isLastResort = false;
  /** Whether the call can't wait as long as expected at this gate, nor at any other. */
  bool expectsRejection = false;
  /** Age of the gate's last report; nothing if it is too old to be used. */
  std::optional<std::chrono::microseconds> reportAge;
};

/** Load of a service's gates as an entry sees it: running and waiting calls for each slot. */
struct ServiceLoad
{
  std::string service;
  double meanLoad = 0;
  double busiestLoad = 0;
};

/** A gate that a choice considered, with the parts of its cost. */
struct GateCost
{
  std::string node;
  Locality locality = Locality::FailureDomain;
  std::chrono::microseconds totalCost{ 0 };
  std::chrono::microseconds distanceCost{ 0 };
  std::chrono::microseconds failurePenalty{ 0 };
  /** Expected response time without the wait for a slot, and that wait. */
  std::chrono::microseconds responseTime{ 0 };
  std::chrono::microseconds queueWait{ 0 };
  /** Age of the gate's last report; nothing if it is too old to be used. */
  std::optional<std::chrono::microseconds> reportAge;
  bool waitsTooLong = false;
  bool isEjected = false;
};

/** A gate's rejection of a call, with what the gate reported. */
struct GateRejection
{
  std::string node;
  std::chrono::microseconds queueWait{ 0 };
  std::chrono::microseconds failurePenalty{ 0 };
  /** Highest failure penalty that the call had accepted. */
  std::chrono::microseconds maxFailurePenalty = std::chrono::microseconds::max();
};

/** Gates that failed or rejected a call. */
struct TriedGates
{
  void RecordRejection(const GateRejection& aRejection);

  /** Gates that must not be chosen again. */
  std::set<std::string> excluded;
  /** Gates that rejected the call, with the queue wait that they reported. */
  std::map<std::string, std::chrono::microseconds> rejectionWaits;
  /**
   * Whether a gate rejected the call because its target fails calls. The next gate mustn't: if its target
   * fails calls too, the fault is probably a common one.
   */
  bool wasRejectedForFailures = false;
};

/**
 * Chooses gates by their response times, load, failures and distance. Reports of load are outdated, so the
 * load is estimated from their average, their age and the entry's own calls. A gate that fails several times
 * in a row is ejected for a while, unless that would eject more than half of the candidates. Of the gates of
 * a locality, a choice considers a random sample of limited size. Thread-safe; the state is sharded by gate.
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

  /** Looks up the statistics of a directory's gates once, so that choices among them needn't. */
  void SetDirectory(GateDirectoryPointer aDirectory);

  /**
   * Returns the best gate that isn't excluded, or nothing if there is none. A gate that rejected the call is
   * assumed to have at least the queue wait that it reported then, and isn't chosen if the call can't wait
   * that long. A gate that leaves isn't chosen.
   */
  std::optional<GateChoice> Choose(const std::vector<GateInfo>& aGates,
                                   const TriedGates& aTriedGates,
                                   const CallRequirements& aRequirements,
                                   Deadline aNow);

  /** Returns the gates that a choice would consider, the best one first. */
  std::vector<GateCost> Explain(const std::vector<GateInfo>& aGates,
                                const CallRequirements& aRequirements,
                                Deadline aNow);

  /** Records that an attempt was sent to a gate. */
  void RecordSent(const std::string& aNode, CallClass aCallClass, Deadline aNow);

  /** Records how an attempt ended and how long it took. */
  void RecordResult(const AttemptResult& aResult, Deadline aNow);

  /** Records the load that a gate reported. */
  void RecordLoad(const std::string& aNode, const GateLoad& aLoad, Deadline aNow);

  /**
   * Records that a gate said that its node leaves. It isn't chosen any more until the directory has another
   * incarnation of it. Returns whether that is new.
   */
  bool RecordLeaving(const std::string& aNode, int64_t aIncarnation);

  /** Returns the time within which a healthy gate nearly always begins its response. */
  std::chrono::microseconds StallTimeout(const std::string& aNode);

  /** Returns whether a gate has responded to any call since a point in time. */
  bool HasAnsweredSince(const std::string& aNode, Deadline aTime);

  /** Returns the load of the services in the directory; only gates with recent reports count. */
  std::vector<ServiceLoad> ServiceLoads(Deadline aNow);

  /** Makes later attempts use none of the existing connections to a gate. */
  void RetireConnections(const std::string& aNode);

  /** Returns the value for ForwardRequest::connectionGeneration. */
  uint32_t ConnectionGeneration(const std::string& aNode);

private:
  /** A gate with its statistics. */
  struct KnownGate
  {
    const GateInfo* gate = nullptr;
    GateStatisticsPointer statistics;
  };

  /** The gates of a service by locality, in random order, so that a part of the sequence is a sample. */
  using GatesByLocality = std::array<std::vector<KnownGate>, 3>;

  /** The gates of a directory. It keeps the directory, so that no other list of gates has the same address.
   */
  struct KnownDirectory
  {
    GateDirectoryPointer directory;
    std::unordered_map<const std::vector<GateInfo>*, GatesByLocality> gates;
  };

  /** A gate with the parts of its cost. */
  struct Candidate
  {
    const GateInfo* gate = nullptr;
    GateView view;
    int slots = 1;
    std::chrono::microseconds queueWait{ 0 };
    /** Added to the wait as the load isn't known exactly; only compares gates of one locality. */
    std::chrono::microseconds waitMargin{ 0 };
    std::chrono::microseconds failurePenalty{ 0 };
    /** Whether the gate reported its load and its failure penalty recently. */
    bool isLoadKnown = false;
    bool isFailurePenaltyKnown = false;
    /** Age of the last report; nothing if it is too old to be used. */
    std::optional<std::chrono::microseconds> reportAge;
    bool isEjected = false;
    /** Whether the call would probably be rejected, as it can't wait that long. */
    bool waitsTooLong = false;
    /** Expected response time without the wait for a slot; zero if unknown. */
    std::chrono::microseconds responseTime{ 0 };
    std::chrono::microseconds distanceCost{ 0 };
    std::chrono::microseconds totalCost{ 0 };
  };

  std::shared_ptr<const KnownDirectory> CurrentDirectory();
  GatesByLocality Group(const std::vector<GateInfo>& aGates);
  std::chrono::microseconds DistanceCost(Locality aLocality, const CallRequirements& aRequirements) const;
  static Candidate MakeCandidate(const KnownGate& aGate,
                                 const TriedGates& aTriedGates,
                                 const CallRequirements& aRequirements,
                                 Deadline aNow);
  static void FillInUnknowns(std::vector<Candidate>& aCandidates);
  void ComputeCosts(std::vector<Candidate>& aCandidates, const CallRequirements& aRequirements) const;
  static void AddSample(std::vector<Candidate>& aCandidates,
                        const std::vector<KnownGate>& aGates,
                        const TriedGates& aTriedGates,
                        const CallRequirements& aRequirements,
                        Deadline aNow);
  /** Returns candidates that include the best ones, with their costs. */
  std::vector<Candidate> Candidates(const std::vector<GateInfo>& aGates,
                                    const TriedGates& aTriedGates,
                                    const CallRequirements& aRequirements,
                                    Deadline aNow);
  std::vector<Candidate> Candidates(const GatesByLocality& aGates,
                                    const TriedGates& aTriedGates,
                                    const CallRequirements& aRequirements,
                                    Deadline aNow) const;
  GateChoice ChooseByCost(std::vector<Candidate>& aCandidates,
                          const TriedGates& aTriedGates,
                          const CallRequirements& aRequirements) const;

  const Options m_options;
  GateStatisticsTable m_statistics;
  std::mutex m_mutex;
  std::shared_ptr<const KnownDirectory> m_directory = std::make_shared<const KnownDirectory>();
};

} // namespace mimosarun
