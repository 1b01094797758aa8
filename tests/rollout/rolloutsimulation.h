#pragma once

#include "rollout/outcometable.h"
#include "rollout/rolloutpolicy.h"
#include "rollout/versionevidence.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace mimosarun {

/** How a simulated version is bad. */
enum class Badness
{
  None,
  /** A part of the responses fails. */
  AtOnce,
  AfterHalf,
  /** Fails only at targets with at least 70% of the load that each target has if all share it. */
  UnderLoad,
  OneRoute,
  /** All responses take four times as long. */
  Slow,
  /** Part of the responses takes six times as long. */
  PartlySlow,
};

/** Simulates the nodes, targets and control replicas of one roll-out; only its decisions are the product's.
 */
class RolloutSimulation
{
public:
  struct Options
  {
    std::chrono::milliseconds duration{ 12000 };
    double requestsPerSecond = 300;
    int targets = 10;
    Badness badness = Badness::None;
    /** Share of responses that are bad while the version is bad. */
    double badShare = 0.3;
    /** Share of failures of both versions. */
    double commonFailures = 0.01;
    /** During the third quarter, both versions fail at this rate. */
    double commonFaultPeak = 0.01;
    /** Time at which the leader is lost for one and a half seconds. */
    std::optional<std::chrono::milliseconds> leaderLostAt;
    uint64_t seed = 1;
  };

  struct Outcome
  {
    wire::RolloutState::type state = wire::RolloutState::Running;
    std::string reason;
    /** Time of the end since the order. */
    std::chrono::milliseconds endedAt{ 0 };
    int64_t requests = 0;
    int64_t candidateRequests = 0;
    /** When the 50th bad response was counted at the leader. */
    std::optional<std::chrono::milliseconds> badAt;
    /** Calls at old targets when the roll-out was completed. */
    int64_t cutCalls = 0;
    int64_t fewestOfTarget = 0;
  };

  explicit RolloutSimulation(Options aOptions);

  Outcome Run();

private:
  struct Target
  {
    std::string node;
    bool isCandidate = false;
    double speed = 1;
    size_t replica = 0;
    Deadline startsAt{};
    Deadline reportsAt{};
    int64_t appliedRevision = 0;
    Deadline appliesAt{};
    int64_t sequence = 0;
    int64_t requests = 0;
    int openCalls = 0;
    /** Recent requests per second. */
    double load = 0;
    std::map<std::string, wire::VersionOutcomes> outcomes;
    int64_t badResponses = 0;
    /** Bad responses until each report, by its sequence. */
    std::vector<int64_t> badReported;
  };

  struct Response
  {
    Deadline at;
    size_t target = 0;
    int route = 0;
    bool failed = false;
    bool bad = false;
    std::chrono::microseconds time{ 0 };

    bool operator>(const Response& aOther) const { return at > aOther.at; }
  };

  void SendRequests(Deadline aNow, std::chrono::milliseconds aStep);
  void SendRequest(Deadline aNow);
  size_t ChooseTarget(bool aCandidate);
  bool IsBad(const Target& aTarget, int aRoute, Deadline aNow);
  void EndResponses(Deadline aNow);
  void Report(Deadline aNow);
  void Pull(Deadline aNow);
  void Lead(Deadline aNow);
  void CountBad(const std::vector<wire::NodeOutcomes>& aReports, Deadline aNow);
  void Commit(const RolloutDecision& aDecision, Deadline aNow);
  bool Chance(double aShare);
  /** Returns the requests per second, which swing by almost a third. */
  double RateAt(Deadline aNow) const;

  const Options m_options;
  const RolloutPolicy m_policy;
  std::mt19937_64 m_random;
  std::vector<Target> m_targets;
  std::priority_queue<Response, std::vector<Response>, std::greater<>> m_responses;
  size_t m_leader = 0;
  /** What the replicas hold. */
  std::vector<std::unique_ptr<OutcomeTable>> m_tables;
  std::unique_ptr<VersionEvidence> m_evidence;
  Deadline m_leaderReturnsAt{};
  Deadline m_nextPullAt{};
  Deadline m_nextLeadAt{};
  double m_credits = 0;
  double m_arrivals = 0;
  int64_t m_nextOld = 0;
  int64_t m_nextCandidate = 0;
  RolloutDecision m_record;
  int64_t m_revision = 1;
  Deadline m_changedAt{};
  RolloutDecision m_applied;
  Deadline m_appliedAt{};
  bool m_isOver = false;
  Outcome m_outcome;
};

/** Returns the outcome as one line for messages of tests. */
std::string
ToText(const RolloutSimulation::Outcome& aOutcome);

} // namespace mimosarun
