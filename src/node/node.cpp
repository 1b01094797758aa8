#include "node/node.h"

#include "common/log.h"
#include "node/nodeservice.h"
#include "node/routeanswer.h"
#include "node/versiongates.h"
#include "operators/command.h"
#include "operators/memberanswer.h"

#include <algorithm>

namespace mimosarun {

static constexpr std::chrono::milliseconds kLeaseCheckInterval{ 250 };
static constexpr std::chrono::milliseconds kDirectoryInterval{ 100 };
static constexpr std::chrono::milliseconds kDrainPollInterval{ 10 };
/** Part of a drain that is left for refusing the calls to which no gate has begun to respond. */
static constexpr std::chrono::milliseconds kRefusalTime{ 200 };
/** Part of a drain that is left for refusing the calls whose responses haven't arrived completely. */
static constexpr std::chrono::milliseconds kLastRefusalTime{ 50 };
/** Limit of log records about undelivered responses on each side. */
static constexpr size_t kLoggedUndelivered = 20;

static wire::Member
MakeSelfRecord(const ProcessSettings& aSettings)
{
  wire::Member self;
  self.name = aSettings.name;
  self.incarnation = WallNow().time_since_epoch().count();
  self.region = aSettings.region;
  self.failureDomain = aSettings.failureDomain;
  self.peerAddress = aSettings.peerAddress.Text();
  self.gateAddress = aSettings.gateAddress.Text();
  return self;
}

Node::Node(ProcessSettings aSettings, Metrics& aMetrics, Options aOptions)
  : m_settings(std::move(aSettings))
  , m_metrics(aMetrics)
  , m_options(std::move(aOptions))
  , m_table(MakeSelfRecord(m_settings), {})
  , m_peers(m_settings)
  , m_holder(m_options.parser)
  , m_fetcher(m_holder, m_table, m_peers)
  , m_gossiper(m_settings, m_table, m_peers, m_fetcher)
  , m_lease(m_settings.revocation)
  , m_leaseMonitor(m_lease, m_metrics)
  , m_rolloutLink({ .table = &m_table,
                    .view = &m_rollouts,
                    .outcomes = &m_outcomes,
                    .openCalls = [this] { return m_gate->OpenCalls(); },
                    .onChange = [this] { RefreshDirectory(); } })
  , m_control(m_settings,
              m_holder,
              m_table,
              m_peers,
              m_fetcher,
              m_quarantine,
              m_suspects,
              m_lease,
              m_rolloutLink)
  , m_crashReporter([this] { return m_control.Replicas(); })
  , m_quotas(m_settings.name, [this] { return m_control.Replicas(); })
  , m_groups(m_settings.replicas)
  , m_claims(m_groups)
  , m_loops(m_options.loopCount)
  , m_target(
      { .lease = m_options.targetLease, .listener = [this](const TargetState& aState) { OnTarget(aState); } })
{
}

Node::~Node()
{
  Stop();
}

void
Node::Stop()
{
  m_stop = true;
  if (m_directoryThread.joinable()) {
    m_directoryThread.join();
  }
  if (m_backgroundEnd.joinable()) {
    m_backgroundEnd.join();
  }
  EndBackground();
  m_crashReporter.Stop();
  m_quotas.Stop();
  m_server.reset();
  // A configuration that is being fetched is passed to the entry.
  m_fetcher.Stop();
  // The loops still run while threads are waited for, so that calls that arrive are refused.
  if (m_entry) {
    m_entry->Stop();
  }
  if (m_gate) {
    m_gate->Stop();
  }
  // No handler of a connection runs afterwards, so none uses entry or gate.
  m_loops.Stop();
}

Result<void>
Node::StartServers()
{
  MIMOSARUN_TRY(m_entry,
                Entry::Start({ .address = m_settings.callerAddress,
                               .node = m_settings.name,
                               .loops = &m_loops,
                               .forwarder = &m_forwarder,
                               .metrics = &m_metrics,
                               .codec = m_options.callerCodec,
                               .balancer = m_options.balancer,
                               .retryBudget = m_options.retryBudget,
                               .quarantine = &m_quarantine,
                               .quota = &m_quotas.Pool(),
                               .lease = &m_lease,
                               .hedgesPerCall = m_options.hedgesPerCall }));
  MIMOSARUN_TRY(
    m_gate,
    Gate::Start(
      { .address = m_settings.gateAddress,
        .loops = &m_loops,
        .forwarder = &m_forwarder,
        .claims = m_settings.discoverReplicas ? nullptr : &m_claims,
        .metrics = &m_metrics,
        .codec = m_options.targetCodec,
        .onTargetLost =
          [this](const std::string& aTarget) { m_target.MarkLost(aTarget, SteadyClock::now()); },
        .onTargetLeaving =
          [this](const std::string& aTarget) {
            m_target.EndIncarnation(aTarget, std::nullopt, SteadyClock::now());
          },
        .onTargetCrashed = [this](const wire::TargetCrash& aCrash) { m_crashReporter.Report(aCrash); },
        .node = m_settings.name,
        .suspects = &m_suspects,
        .onRunsProven = [this](const wire::ProvenRuns& aRuns) { m_crashReporter.Report(aRuns); },
        .incarnation = [this] { return m_table.Self().incarnation; },
        .firstIncarnation = [this] { return m_table.FirstIncarnation(); },
        .rollouts = &m_rollouts,
        .outcomes = &m_outcomes }));
  if (m_settings.targetAddress.port != 0) {
    MIMOSARUN_TRY(m_announcementServer,
                  AnnouncementServer::Start(
                    { .address = m_settings.targetAddress, .watch = &m_target, .loops = &m_loops }));
  }
  MIMOSARUN_TRY(m_server, StartNodeService(m_settings.peerAddress, m_gossiper, m_holder, m_control));
  ScheduleLeaseCheck();
  return boost::outcome_v2::success();
}

void
Node::ScheduleLeaseCheck()
{
  m_loops.First().RunAt(SteadyClock::now() + kLeaseCheckInterval, [this] {
    m_target.CheckLease(SteadyClock::now());
    m_leaseMonitor.Check(*m_holder.Current(), SteadyClock::now());
    ScheduleLeaseCheck();
  });
}

bool
Node::IsReady() const
{
  if (m_leaving) {
    return false;
  }
  const bool canServe = m_holder.Current()->version > 0 && !m_table.Reachable("").empty();
  m_ready = m_ready || canServe;
  return m_ready;
}

Result<void>
Node::Start()
{
  m_holder.SetListener([this](const SnapshotPointer& aSnapshot) { OnSnapshot(aSnapshot); });
  BOOST_OUTCOME_TRYV(StartServers());
  m_directoryThread = std::thread([this] { MaintainDirectory(); });
  m_gossiper.Start();
  m_control.Start();
  return boost::outcome_v2::success();
}

void
Node::OnSnapshot(const SnapshotPointer& aSnapshot)
{
  m_quotas.SetConfiguration(aSnapshot);
  m_entry->SetSnapshot(aSnapshot);
  RefreshDirectory();
  ApplyIntent(aSnapshot);
  m_table.SetHeldVersion(m_settings.name, aSnapshot->version);
  m_gossiper.SpreadNow();
}

void
Node::ApplyIntent(const SnapshotPointer& aSnapshot)
{
  const auto& targets = aSnapshot->configuration.targets;
  const auto found = targets.find(m_target.State().name);
  const TargetIntent intent = found == targets.end() ? TargetIntent::Serving : found->second;
  m_gate->SetIntent(intent);
  // The target gets the intent to stop only after its last call has ended.
  const bool busy = intent == TargetIntent::Stopped && m_gate->OpenCalls() > 0;
  m_target.SetIntent(busy ? TargetIntent::Draining : intent);
}

void
Node::OnTarget(const TargetState& aState)
{
  m_gate->SetTarget(aState);
  m_table.UpdateSelf(SteadyClock::now(), [&](wire::Member& aSelf) {
    aSelf.targetName = aState.name;
    aSelf.serviceName = aState.service;
    aSelf.phase = aState.phase;
    aSelf.slots = aState.slots;
    aSelf.warmUpMillis = static_cast<int32_t>(aState.warmUpLeft.count());
    aSelf.softwareVersion = aState.version;
    aSelf.__isset.softwareVersion = !aState.version.empty();
  });
  m_gossiper.SpreadNow();
}

// --- directory -------------------------------------------------------------------------------------------

static Locality
LocalityOf(const wire::Member& aMember, const ProcessSettings& aSettings)
{
  if (aMember.failureDomain == aSettings.failureDomain) {
    return Locality::FailureDomain;
  }
  return aMember.region == aSettings.region ? Locality::Region : Locality::OtherRegion;
}

GateDirectoryPointer
Node::MakeDirectory(const SnapshotPointer& aSnapshot, const std::vector<wire::Member>& aMembers) const
{
  const auto& intents = aSnapshot->configuration.targets;
  auto directory = std::make_shared<GateDirectory>();
  for (const wire::Member& member : aMembers) {
    const bool usable =
      member.phase == wire::TargetPhase::Ready && member.state != wire::MemberState::Leaving;
    if (!usable || intents.contains(member.targetName)) {
      continue;
    }
    const Result<Address> address = m_peers.GateAddress(member.name, member.gateAddress);
    if (address) {
      directory->gates[member.serviceName].push_back({ .node = member.name,
                                                       .target = member.targetName,
                                                       .address = address.value(),
                                                       .locality = LocalityOf(member, m_settings),
                                                       .slots = member.slots,
                                                       .incarnation = member.incarnation,
                                                       .version = member.softwareVersion });
    }
  }
  SeparateVersions(*directory, m_rollouts, aMembers.size(), SteadyClock::now());
  return directory;
}

void
Node::RefreshDirectory()
{
  std::vector<wire::Member> members = m_table.Reachable("");
  members.push_back(m_table.Self());
  m_rollouts.SetTargets(CountVersions(members), SteadyClock::now());
  m_entry->SetDirectory(MakeDirectory(m_holder.Current(), members));
  LogVersionStanding();
}

void
Node::LogVersionStanding()
{
  const wire::Member self = m_table.Self();
  const bool isForbidden =
    self.phase == wire::TargetPhase::Ready && m_rollouts.IsForbidden(self.serviceName, self.softwareVersion);
  if (m_isVersionForbidden.exchange(isForbidden) != isForbidden) {
    Log(isForbidden ? Event::TargetVersionForbidden : Event::TargetVersionAllowed,
        { { "target", self.targetName },
          { "service", self.serviceName },
          { "version", self.softwareVersion },
          { "revision", m_rollouts.Revision() } });
  }
}

void
Node::MaintainDirectory()
{
  uint64_t generation = 0;
  uint64_t rolloutState = 0;
  while (!m_stop) {
    const uint64_t newest = m_table.WaitForChange(generation, SteadyClock::now() + kDirectoryInterval);
    const uint64_t newestRolloutState = m_rollouts.StateAt(SteadyClock::now());
    if (newest != generation || newestRolloutState != rolloutState) {
      generation = newest;
      rolloutState = newestRolloutState;
      RefreshDirectory();
      const size_t nodeCount = m_table.Reachable("").size() + 1;
      m_entry->SetNodeCount(nodeCount);
      m_quotas.Pool().SetNodeCount(nodeCount);
    }
    ApplyIntent(m_holder.Current());
  }
}

// --- shutdown --------------------------------------------------------------------------------------------

void
Node::LeaveMesh()
{
  // Gossip may be late under load; entries that have calls here learn at once.
  m_gate->BeginLeaving();
  m_entry->CloseAfterResponses();
  m_table.UpdateSelf(SteadyClock::now(),
                     [](wire::Member& aSelf) { aSelf.state = wire::MemberState::Leaving; });
  m_gossiper.SpreadNow();
}

void
Node::EndBackground()
{
  m_control.BeginStop();
  m_gossiper.BeginStop();
  m_control.Stop();
  m_gossiper.Stop();
}

bool
Node::HasAnswered() const
{
  const bool haveEnded = m_gate->OpenCalls() == 0 && m_entry->OpenCalls() == 0;
  // The response to a call that has ended may still wait for a slow peer.
  return haveEnded && m_gate->HasDelivered() && m_entry->HasDelivered();
}

void
Node::WaitUntilAnswered(Deadline aDeadline) const
{
  while (SteadyClock::now() < aDeadline && !HasAnswered()) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

bool
Node::WaitUntilDrained(Deadline aDeadline) const
{
  while (SteadyClock::now() < aDeadline) {
    // Entries that learn late that the node leaves have sent calls that are still on their way. A caller that
    // sends late isn't waited for: it knows that a request which wasn't read hasn't run.
    if (HasAnswered() && m_gate->IsQuiet()) {
      return true;
    }
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  return false;
}

void
Node::RefuseNewCalls()
{
  const Deadline now = SteadyClock::now();
  const DrainSchedule none({ .acceptUntil = now, .endsAt = now });
  m_entry->BeginDrain(none);
  m_gate->BeginDrain(none);
}

void
Node::FinishCalls(Deadline aEnd)
{
  if (WaitUntilDrained(aEnd - kRefusalTime)) {
    return;
  }
  m_entry->RefuseUnansweredCalls();
  if (WaitUntilDrained(aEnd - kLastRefusalTime)) {
    return;
  }
  m_entry->RefuseOpenCalls();
}

void
Node::Shutdown()
{
  const Deadline now = SteadyClock::now();
  const Deadline end = now + m_settings.drainTimeout;
  const Deadline acceptUntil = now + m_options.acceptTime;
  m_leaving = true;
  const DrainSchedule schedule({ .acceptUntil = acceptUntil, .endsAt = end - kRefusalTime });
  m_entry->BeginDrain(schedule);
  m_gate->BeginDrain(schedule);
  // Other entries learn with a delay that the gate leaves, so it still accepts their calls for a while.
  std::this_thread::sleep_until(now + m_options.leaveDelay);
  LeaveMesh();
  std::this_thread::sleep_until(acceptUntil);
  m_backgroundEnd = std::thread([this] { EndBackground(); });
  FinishCalls(end);
  // A call that was taken from here on would be cut off by the end of the process.
  RefuseNewCalls();
  m_entry->StopListening();
  WaitUntilAnswered(end);
  LogDrained(HasAnswered());
}

static void
LogUndelivered(const char* aSide, const std::vector<UndeliveredResponse>& aResponses)
{
  for (size_t i = 0; i < std::min(aResponses.size(), kLoggedUndelivered); ++i) {
    const UndeliveredResponse& response = aResponses[i];
    Log(Event::ResponseUndelivered,
        { { "call", response.callId },
          { "side", aSide },
          { "waiting", response.isWaiting ? "yes" : "no" },
          { "unsent", response.unsentBytes },
          { "unacknowledged",
            response.unacknowledgedBytes ? std::to_string(*response.unacknowledgedBytes) : "unknown" } });
  }
}

void
Node::LogDrained(bool aFinished) const
{
  const auto atEntry = m_entry->UndeliveredResponses();
  const auto atGate = m_gate->UndeliveredResponses();
  Log(Event::GateDrained,
      { { "finished", aFinished ? "yes" : "no" },
        { "entry-calls", m_entry->OpenCalls() },
        { "gate-calls", m_gate->OpenCalls() },
        { "entry-undelivered", atEntry.size() },
        { "gate-undelivered", atGate.size() },
        { "quiet", m_gate->IsQuiet() ? "yes" : "no" } });
  LogUndelivered("entry", atEntry);
  LogUndelivered("gate", atGate);
}

// --- operators -------------------------------------------------------------------------------------------

void
Node::RefreshMetrics()
{
  m_metrics.Gauge("mimosarun_configuration_version", "Version in force on this node", {})
    .Set(static_cast<double>(m_holder.Current()->version));
  m_metrics.Gauge("mimosarun_members", "Members this node can reach", {})
    .Set(static_cast<double>(m_table.Reachable("").size()));
  m_quotas.RefreshMetrics(m_metrics);
  m_entry->RefreshMetrics();
}

Answer
Node::RunCommand(const OperatorRequest& aRequest) const
{
  const Result<OperatorCommand> command = ParseCommand(aRequest.command);
  if (!command) {
    return { .code = AnswerCode::Invalid, .message = command.error().message };
  }
  if (command.value().verb == CommandVerb::Explain && command.value().subject == "call") {
    return ExplainCall(command.value().conditions.front().value);
  }
  if (command.value().verb == CommandVerb::Explain && command.value().subject == "route") {
    return ExplainRoute(command.value().conditions);
  }
  if (command.value().verb == CommandVerb::Show && command.value().subject == "in-force") {
    return Filter(ShowInForce(), command.value().conditions);
  }
  if (command.value().verb == CommandVerb::Show && command.value().subject == "nodes") {
    return Filter(NodeTable(m_table.All()), command.value().conditions);
  }
  return {
    .code = AnswerCode::Invalid,
    .message =
      "a node answers 'show in-force', 'show nodes', 'explain call ID' and 'explain route HOST PATH METHOD'; "
      "ask a control replica for the rest"
  };
}

Answer
Node::ShowInForce() const
{
  const SnapshotPointer snapshot = m_holder.Current();
  return { .columns = { "node", "failure-domain", "region", "version", "hash" },
           .rows = { { m_settings.name,
                       m_settings.failureDomain,
                       m_settings.region,
                       std::to_string(snapshot->version),
                       snapshot->hash } } };
}

Answer
Node::ExplainRoute(const std::vector<Condition>& aRequest) const
{
  const std::string& target = aRequest[1].value;
  const HttpRequest request{ .method = aRequest[2].value,
                             .path = target.substr(0, target.find('?')),
                             .requestTarget = target,
                             .headers = {},
                             .body = {} };
  return RouteAnswer(m_entry->ExplainRoute(aRequest[0].value, request, SteadyClock::now()));
}

Answer
Node::ExplainCall(const std::string& aCall) const
{
  const std::optional<CallRecord> record = m_entry->History().Find(aCall);
  if (!record) {
    return { .code = AnswerCode::Refused,
             .message =
               "this entry holds no call " + aCall + "; ask the node whose name the identifier starts with" };
  }
  Answer answer{ .columns = { "attempt", "node", "end", "micros" } };
  answer.message = "route " + record->route + (record->team.empty() ? "" : ", team " + record->team) +
                   ", version " + std::to_string(record->version) + ", status " +
                   std::to_string(record->status) + ", " + record->outcome + ", " +
                   std::to_string(record->duration.count()) + " us" +
                   (record->reason.empty() ? "" : ": " + record->reason);
  if (record->stopReason != StopReason::None) {
    answer.message += "; sent to no further gate: " + std::string(Name(record->stopReason)) + ", " +
                      std::to_string(record->untriedGates) + " never tried";
  }
  for (const AttemptRecord& attempt : record->attempts) {
    answer.rows.push_back({ std::to_string(answer.rows.size() + 1),
                            attempt.node,
                            attempt.outcome,
                            std::to_string(attempt.duration.count()) });
  }
  return answer;
}

} // namespace mimosarun
