#pragma once

#include "configuration/configuration.h"
#include "control/configurationstate.h"
#include "control/rolloutcollector.h"
#include "rollout/outcometable.h"
#include "rollout/rolloutpolicy.h"
#include "rollout/versionevidence.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace mimosarun {

/** On the leader of the configuration group: evaluates the running roll-outs and commits their changes. */
class RolloutManager
{
public:
  struct Options
  {
    RolloutLimits limits;
    /** Parses configurations, which name the services. */
    DocumentParser parser;
    /** Returns whether this replica leads. */
    std::function<bool()> isLeader;
    /** Commits a command if this replica leads. */
    std::function<wire::CommandResult(const wire::Command& aCommand, Deadline aDeadline)> submit;
    RolloutCollector::Options collector;
  };

  RolloutManager(Options aOptions, const ConfigurationState& aConfiguration, OutcomeTable& aOutcomes);
  ~RolloutManager();

  RolloutManager(const RolloutManager&) = delete;
  RolloutManager& operator=(const RolloutManager&) = delete;

  void Start();
  void Stop();

  /** Returns what each running roll-out waits for, by service; empty on a replica that doesn't lead. */
  std::map<std::string, std::string> Explanations() const;

private:
  /** A running roll-out that this leader evaluates. */
  struct Followed
  {
    /** Time of the order, which tells one roll-out of a service from the next. */
    int64_t orderedAtMicros = 0;
    std::unique_ptr<VersionEvidence> evidence;
    /** A new leader decides only after the first reports of the other replicas. */
    Deadline decidesFrom{};
  };

  void Run();
  void Step(Deadline aNow);
  void CollectIfDue(const std::vector<AppliedRollout>& aRollouts, Deadline aNow);
  Followed& Follow(const AppliedRollout& aRollout, Deadline aNow);
  void Evaluate(const AppliedRollout& aRollout, Deadline aNow);
  RolloutProgress ProgressOf(const AppliedRollout& aRollout,
                             VersionEvidence& aEvidence,
                             const std::vector<wire::NodeOutcomes>& aReports,
                             Deadline aNow) const;
  void Commit(const AppliedRollout& aRollout,
              const RolloutDecision& aDecision,
              const RolloutProgress& aProgress,
              const VersionEvidence& aEvidence);
  bool HasService(const std::string& aService);

  const Options m_options;
  const ConfigurationState& m_configuration;
  OutcomeTable& m_outcomes;
  const RolloutPolicy m_policy;
  RolloutCollector m_collector;
  std::map<std::string, Followed> m_followed;
  Deadline m_nextCollectionAt{};
  /** Services of the configuration of m_servicesVersion. */
  std::set<std::string> m_services;
  int64_t m_servicesVersion = 0;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::map<std::string, std::string> m_explanations;
  std::thread m_thread;
};

} // namespace mimosarun
