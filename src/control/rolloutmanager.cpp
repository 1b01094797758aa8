#include "control/rolloutmanager.h"

#include "common/log.h"

#include <algorithm>

namespace mimosarun {

static constexpr std::chrono::milliseconds kStepInterval{ 100 };
static constexpr std::chrono::milliseconds kCollectInterval{ 250 };
/** During the switch, later reports cost more than more frequent ones. */
static constexpr std::chrono::milliseconds kSwitchCollectInterval{ 100 };
static constexpr std::chrono::milliseconds kFirstReportsTime{ 450 };
static constexpr std::chrono::milliseconds kSubmitTimeout{ 500 };

RolloutManager::RolloutManager(Options aOptions,
                               const ConfigurationState& aConfiguration,
                               OutcomeTable& aOutcomes)
  : m_options(std::move(aOptions))
  , m_configuration(aConfiguration)
  , m_outcomes(aOutcomes)
  , m_policy(m_options.limits)
  , m_collector(m_options.collector, aOutcomes)
{
}

RolloutManager::~RolloutManager()
{
  Stop();
}

void
RolloutManager::Start()
{
  m_thread = std::thread([this] { Run(); });
}

void
RolloutManager::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
  m_collector.Stop();
}

std::map<std::string, std::string>
RolloutManager::Explanations() const
{
  const std::lock_guard lock(m_mutex);
  return m_explanations;
}

void
RolloutManager::Run()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    lock.unlock();
    Step(SteadyClock::now());
    lock.lock();
    m_wake.wait_until(lock, SteadyClock::now() + kStepInterval, [this] { return m_stop; });
  }
}

void
RolloutManager::Step(Deadline aNow)
{
  if (m_configuration.RolloutRevision() == 0) {
    return;
  }
  std::vector<AppliedRollout> rollouts = m_configuration.AppliedRollouts();
  const bool isLeader = m_options.isLeader();
  std::erase_if(rollouts, [&](const AppliedRollout& aRollout) {
    return !isLeader || aRollout.record.state != wire::RolloutState::Running;
  });
  const auto isRunning = [&](const std::string& aService) {
    return std::any_of(rollouts.begin(), rollouts.end(), [&](const AppliedRollout& aRollout) {
      return aRollout.record.serviceName == aService;
    });
  };
  std::erase_if(m_followed, [&](const auto& aItem) { return !isRunning(aItem.first); });
  {
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_explanations, [&](const auto& aItem) { return !isRunning(aItem.first); });
  }
  CollectIfDue(rollouts, aNow);
  for (const AppliedRollout& rollout : rollouts) {
    Evaluate(rollout, SteadyClock::now());
  }
}

void
RolloutManager::CollectIfDue(const std::vector<AppliedRollout>& aRollouts, Deadline aNow)
{
  if (aRollouts.empty() || aNow < m_nextCollectionAt) {
    return;
  }
  const bool isSwitching =
    std::any_of(aRollouts.begin(), aRollouts.end(), [](const AppliedRollout& aRollout) {
      return ParseRolloutStage(aRollout.record.stage) >= RolloutStage::Load;
    });
  m_nextCollectionAt = aNow + (isSwitching ? kSwitchCollectInterval : kCollectInterval);
  m_collector.Collect();
}

RolloutManager::Followed&
RolloutManager::Follow(const AppliedRollout& aRollout, Deadline aNow)
{
  Followed& followed = m_followed[aRollout.record.serviceName];
  if (followed.evidence == nullptr || followed.orderedAtMicros != aRollout.record.orderedAtMicros) {
    const bool isFollowedFromOrder = ParseRolloutStage(aRollout.record.stage) == RolloutStage::Ordered;
    followed.orderedAtMicros = aRollout.record.orderedAtMicros;
    followed.decidesFrom = isFollowedFromOrder ? aNow : aNow + kFirstReportsTime;
    followed.evidence = std::make_unique<VersionEvidence>(VersionEvidence::Options{
      .candidate = aRollout.record.candidateVersion, .isFollowedFromOrder = isFollowedFromOrder });
  }
  return followed;
}

RolloutProgress
RolloutManager::ProgressOf(const AppliedRollout& aRollout,
                           VersionEvidence& aEvidence,
                           const std::vector<wire::NodeOutcomes>& aReports,
                           Deadline aNow) const
{
  using std::chrono::milliseconds;
  const wire::RolloutRecord& record = aRollout.record;
  const FleetStatus fleet =
    StatusOf(aReports, { .candidate = record.candidateVersion, .revision = record.revision });
  return { .duration = milliseconds(record.durationMillis),
           .elapsed = aRollout.Elapsed(aNow, WallNow()),
           .stage = ParseRolloutStage(record.stage),
           .candidatePermille = record.candidatePermille,
           .canaryTargets = record.canaryTargets,
           .sinceChange = std::chrono::duration_cast<milliseconds>(aNow - aRollout.appliedAt),
           .fleet = fleet,
           .responses = aEvidence.Candidate().responses + aEvidence.Old().responses,
           .candidateResponses = aEvidence.Candidate().responses,
           .responsesPerSecond = aEvidence.ResponsesPerSecond(),
           .oldCallTime = aEvidence.OldCallTime(),
           .sinceOldResponse = std::chrono::duration_cast<milliseconds>(aNow - aEvidence.OldRespondedAt()),
           .fault = aEvidence.Fault(aNow) };
}

void
RolloutManager::Evaluate(const AppliedRollout& aRollout, Deadline aNow)
{
  const wire::RolloutRecord& record = aRollout.record;
  Followed& followed = Follow(aRollout, aNow);
  if (aNow < followed.decidesFrom) {
    return;
  }
  const std::vector<wire::NodeOutcomes> reports = m_outcomes.OfService(record.serviceName, aNow);
  followed.evidence->Observe(reports, record.candidatePermille > 0, aNow);
  const RolloutProgress progress = ProgressOf(aRollout, *followed.evidence, reports, aNow);
  RolloutDecision decision = m_policy.Decide(progress);
  if (!HasService(record.serviceName)) {
    decision = { .state = wire::RolloutState::RolledBack,
                 .stage = progress.stage,
                 .reason = "the configuration no longer contains the service" };
  }
  {
    const std::lock_guard lock(m_mutex);
    m_explanations[record.serviceName] = decision.reason;
  }
  if (decision.state != record.state || decision.stage != progress.stage ||
      decision.candidatePermille != record.candidatePermille) {
    Commit(aRollout, decision, progress, *followed.evidence);
  }
}

static Event
EventOf(wire::RolloutState::type aState)
{
  switch (aState) {
    case wire::RolloutState::Completed:
      return Event::RolloutCompleted;
    case wire::RolloutState::RolledBack:
      return Event::RolloutRolledBack;
    default:
      return Event::RolloutAdvanced;
  }
}

void
RolloutManager::Commit(const AppliedRollout& aRollout,
                       const RolloutDecision& aDecision,
                       const RolloutProgress& aProgress,
                       const VersionEvidence& aEvidence)
{
  const wire::RolloutRecord& record = aRollout.record;
  wire::RolloutRecord change;
  change.serviceName = record.serviceName;
  change.state = aDecision.state;
  change.stage = Name(aDecision.stage);
  change.candidatePermille = aDecision.candidatePermille;
  change.canaryTargets = aDecision.canaryTargets;
  change.reason = aDecision.reason;
  change.elapsedMillis = aProgress.elapsed.count();
  wire::Command command;
  command.kind = wire::CommandKind::AdvanceRollout;
  command.author = "control";
  command.basedOn = record.revision;
  command.atMicros = WallNow().time_since_epoch().count();
  command.__set_rollout(change);
  const wire::CommandResult result = m_options.submit(command, SteadyClock::now() + kSubmitTimeout);
  if (result.code != wire::ResultCode::Done) {
    Log(Event::RolloutAdvanceFailed, { { "service", record.serviceName }, { "reason", result.message } });
    return;
  }
  const VersionTotals candidate = aEvidence.Candidate();
  const VersionTotals old = aEvidence.Old();
  Log(EventOf(aDecision.state),
      { { "service", record.serviceName },
        { "version", record.candidateVersion },
        { "stage", change.stage },
        { "permille", change.candidatePermille },
        { "canary-targets", change.canaryTargets },
        { "elapsed-millis", change.elapsedMillis },
        { "reason", change.reason },
        { "candidate-responses", candidate.responses },
        { "candidate-failures", candidate.failures },
        { "candidate-median-micros", candidate.median.count() },
        { "candidate-p95-micros", candidate.p95.count() },
        { "old-responses", old.responses },
        { "old-failures", old.failures },
        { "old-median-micros", old.median.count() },
        { "old-p95-micros", old.p95.count() },
        { "candidate-targets", aProgress.fleet.candidateTargets },
        { "old-targets", aProgress.fleet.oldTargets },
        { "old-open-calls", aProgress.fleet.oldOpenCalls } });
}

bool
RolloutManager::HasService(const std::string& aService)
{
  const SnapshotPointer current = m_configuration.Current();
  if (current->version != m_servicesVersion) {
    const Result<Configuration> parsed = m_options.parser(current->text);
    if (!parsed) {
      return true;
    }
    m_servicesVersion = current->version;
    m_services.clear();
    for (const auto& [name, service] : parsed.value().services) {
      m_services.insert(name);
    }
  }
  // Without any configuration, a replica only hasn't caught up yet.
  return m_servicesVersion == 0 || m_services.contains(aService);
}

} // namespace mimosarun
