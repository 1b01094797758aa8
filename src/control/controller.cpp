#include "control/controller.h"

#include "common/log.h"
#include "common/random.h"
#include "control/controlservice.h"

#include <algorithm>
#include <set>

namespace mimosarun {

static constexpr std::chrono::milliseconds kWatchInterval{ 250 };
static constexpr std::chrono::milliseconds kStatusTimeout{ 300 };
static constexpr std::chrono::milliseconds kCatchUpPoll{ 2 };
static constexpr std::chrono::milliseconds kJoinTimeout{ 1500 };
static constexpr std::chrono::milliseconds kNearReportInterval{ 2000 };
static constexpr std::chrono::milliseconds kFirstFarReportInterval{ 1000 };
static constexpr std::chrono::milliseconds kFarReportInterval{ 30000 };
static constexpr std::chrono::milliseconds kSilenceLimit{ 3000 };
static constexpr std::chrono::hours kClaimLifetime{ 24 };
static constexpr int kExpireRounds = 240;
static constexpr int64_t kFarElectionDelayFactor = 2;

Controller::Controller(ProcessSettings aSettings)
  : m_settings(std::move(aSettings))
  , m_plans(PlanGroups(m_settings.replicas))
  , m_client(m_settings.replicas)
{
}

Controller::~Controller()
{
  m_stop = true;
  for (std::thread* thread : { &m_watcher, &m_collector }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
  m_server.reset();
}

const ReplicaSettings*
Controller::FindReplica(const std::string& aName) const
{
  const auto found = std::find_if(m_settings.replicas.begin(),
                                  m_settings.replicas.end(),
                                  [&](const auto& aReplica) { return aReplica.name == aName; });
  return found == m_settings.replicas.end() ? nullptr : &*found;
}

wire::Replica
Controller::Self() const
{
  wire::Replica self;
  self.name = m_settings.name;
  self.incarnation = m_incarnation;
  self.region = m_settings.region;
  self.failureDomain = m_settings.failureDomain;
  return self;
}

void
Controller::MakeGroups()
{
  for (const GroupPlan& plan : m_plans) {
    const bool member = std::any_of(plan.members.begin(), plan.members.end(), [&](const auto& aMember) {
      return aMember.name == m_settings.name;
    });
    if (!member) {
      continue;
    }
    const bool far = !plan.preferredRegion.empty() && plan.preferredRegion != m_settings.region;
    GroupOptions options{ .name = plan.name,
                          .replica = m_settings.name,
                          .incarnation = m_incarnation,
                          .folder = m_settings.dataFolder + "/" + plan.name,
                          .heartbeat = m_settings.heartbeat,
                          .electionTimeout = m_settings.electionTimeout,
                          .electionDelay = far ? kFarElectionDelayFactor * m_settings.electionTimeout
                                               : std::chrono::milliseconds(0),
                          .seed = RandomEngine()() };
    if (plan.name == kConfigurationGroup) {
      m_configurationGroup =
        std::make_unique<Group<ConfigurationState>>(std::move(options), m_configuration, m_transport);
    } else {
      m_claims[plan.name] = std::make_unique<ClaimState>();
      m_claimGroups[plan.name] =
        std::make_unique<Group<ClaimState>>(std::move(options), *m_claims[plan.name], m_transport);
    }
  }
}

Result<void>
Controller::Start()
{
  if (FindReplica(m_settings.name) == nullptr) {
    return Fail(ErrorKind::InvalidInput,
                "replicas: this process, '" + m_settings.name +
                  "', isn't listed; add it or correct its name");
  }
  MIMOSARUN_TRY(m_incarnation, LoadOrCreateIncarnation(m_settings.dataFolder));
  for (const ReplicaSettings& replica : m_settings.replicas) {
    if (replica.name != m_settings.name) {
      m_transport.AddPeer(replica.name, replica.address);
      m_peers[replica.name] = std::make_unique<PeerClient>(replica.address);
    }
  }
  MakeGroups();
  BOOST_OUTCOME_TRYV(m_configurationGroup->Start());
  for (auto& [name, group] : m_claimGroups) {
    BOOST_OUTCOME_TRYV(group->Start());
  }
  MIMOSARUN_TRY(m_server, StartControlService(*this));
  m_watcher = std::thread([this] { WatchGroups(); });
  m_collector = std::thread([this] { CollectReports(); });
  return boost::outcome_v2::success();
}

size_t
Controller::ClaimCount() const
{
  size_t count = 0;
  for (const auto& [name, claims] : m_claims) {
    count += claims->Size();
  }
  return count;
}

// --- calls of other processes ----------------------------------------------------------------------------

void
Controller::Deliver(const wire::RaftBatch& aBatch)
{
  std::map<std::string, std::vector<wire::RaftMessage>> byGroup;
  for (const wire::RaftMessage& message : aBatch.messages) {
    byGroup[message.group].push_back(message);
  }
  for (auto& [name, messages] : byGroup) {
    if (name == kConfigurationGroup) {
      m_configurationGroup->Deliver(std::move(messages));
    } else if (const auto group = m_claimGroups.find(name); group != m_claimGroups.end()) {
      group->second->Deliver(std::move(messages));
    }
  }
}

wire::CommandResult
Controller::Submit(const std::string& aGroup, wire::Command aCommand, Deadline aDeadline)
{
  if (aGroup == kConfigurationGroup) {
    return m_configurationGroup->Submit(std::move(aCommand), aDeadline);
  }
  const auto group = m_claimGroups.find(aGroup);
  if (group == m_claimGroups.end()) {
    return Refusal(wire::ResultCode::NotLeader, "this replica doesn't hold the group; ask another");
  }
  return group->second->Submit(std::move(aCommand), aDeadline);
}

wire::CommandResult
Controller::Join(const std::string& aGroup, const wire::Replica& aReplica, Deadline aDeadline)
{
  if (FindReplica(aReplica.name) == nullptr) {
    return Refusal(wire::ResultCode::Invalid, "the replica isn't listed in the settings; add it there first");
  }
  Log(Event::JoinRequested, { { "group", aGroup }, { "replica", aReplica.name } });
  if (aGroup == kConfigurationGroup) {
    return m_configurationGroup->Join(aReplica, aDeadline);
  }
  const auto group = m_claimGroups.find(aGroup);
  if (group == m_claimGroups.end()) {
    return Refusal(wire::ResultCode::NotLeader, "this replica doesn't hold the group; ask another");
  }
  return group->second->Join(aReplica, aDeadline);
}

wire::GroupStatus
Controller::Status(const std::string& aGroup) const
{
  if (aGroup == kConfigurationGroup) {
    return m_configurationGroup->Status();
  }
  const auto group = m_claimGroups.find(aGroup);
  return group == m_claimGroups.end() ? wire::GroupStatus{} : group->second->Status();
}

std::vector<std::string>
Controller::GroupNames() const
{
  std::vector<std::string> names;
  for (const GroupPlan& plan : m_plans) {
    names.push_back(plan.name);
  }
  return names;
}

Result<wire::GroupStatus>
Controller::StatusAt(const std::string& aReplica, const std::string& aGroup, Deadline aDeadline)
{
  if (aReplica == m_settings.name) {
    return Status(aGroup);
  }
  const auto peer = m_peers.find(aReplica);
  if (peer == m_peers.end()) {
    return Fail(ErrorKind::NotFound, aReplica + ": no such replica; see 'show control'");
  }
  wire::GroupStatus status;
  BOOST_OUTCOME_TRYV(
    peer->second->Call(aDeadline, [&](wire::ControlPeerClient& aClient) { aClient.status(status, aGroup); }));
  return status;
}

bool
Controller::CatchUp(Deadline aDeadline)
{
  const std::string leader = Status(kConfigurationGroup).leader;
  if (leader.empty()) {
    return false;
  }
  Result<wire::GroupStatus> status =
    StatusAt(leader, kConfigurationGroup, std::min(aDeadline, SteadyClock::now() + kStatusTimeout));
  if (!status) {
    // The kept connection may have gone silent; the second try opens a new one.
    status = StatusAt(leader, kConfigurationGroup, aDeadline);
  }
  if (!status || status.value().leader != leader) {
    return false;
  }
  while (Status(kConfigurationGroup).applied < status.value().commit) {
    if (SteadyClock::now() >= aDeadline) {
      return false;
    }
    std::this_thread::sleep_for(kCatchUpPoll);
  }
  return true;
}

wire::CommandResult
Controller::RemoveReplica(const std::string& aName, Deadline aDeadline)
{
  wire::CommandResult last;
  for (const std::string& group : GroupNames()) {
    wire::Command command;
    command.kind = wire::CommandKind::ChangeMembers;
    command.target = aName;
    last = m_client.Submit(group, command, aDeadline);
    if (last.code != wire::ResultCode::Done) {
      return last;
    }
  }
  return last;
}

wire::CommandResult
Controller::AddReplica(const std::string& aName, Deadline aDeadline)
{
  wire::CommandResult last = Refusal(wire::ResultCode::Invalid, aName + ": no group is planned for it");
  for (const GroupPlan& plan : m_plans) {
    const bool planned = std::any_of(
      plan.members.begin(), plan.members.end(), [&](const auto& aMember) { return aMember.name == aName; });
    const Result<wire::GroupStatus> status = StatusAt(aName, plan.name, aDeadline);
    if (!planned) {
      continue;
    }
    if (!status) {
      return Refusal(wire::ResultCode::Unavailable, status.error().message);
    }
    const ReplicaSettings* settings = FindReplica(aName);
    wire::Command command;
    command.kind = wire::CommandKind::ChangeMembers;
    wire::Replica replica;
    replica.name = aName;
    replica.incarnation = status.value().incarnation;
    replica.region = settings->region;
    replica.failureDomain = settings->failureDomain;
    command.members = { replica };
    last = m_client.Submit(plan.name, command, aDeadline);
    if (last.code != wire::ResultCode::Done) {
      return last;
    }
  }
  return last;
}

// --- upkeep ----------------------------------------------------------------------------------------------

void
Controller::WatchGroups()
{
  int round = 0;
  while (!m_stop) {
    for (const GroupPlan& plan : m_plans) {
      const wire::GroupStatus status = Status(plan.name);
      if (!status.replica.empty() && !status.formed) {
        FormOrJoin(plan);
      }
    }
    NoteSilence();
    if (++round % kExpireRounds == 0) {
      ExpireClaims();
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

void
Controller::FormOrJoin(const GroupPlan& aPlan)
{
  const wire::Replica self = Self();
  std::vector<wire::Replica> members{ self };
  for (const ReplicaSettings& member : aPlan.members) {
    if (member.name == m_settings.name) {
      continue;
    }
    const Result<wire::GroupStatus> status =
      StatusAt(member.name, aPlan.name, SteadyClock::now() + kStatusTimeout);
    if (!status) {
      continue;
    }
    if (status.value().formed) {
      if (!Contains(status.value().members, self.name, self.incarnation)) {
        TryToJoin(aPlan, self);
      } else {
        Form(aPlan.name, status.value().members);
      }
      return;
    }
    wire::Replica replica;
    replica.name = member.name;
    replica.incarnation = status.value().incarnation;
    replica.region = member.region;
    replica.failureDomain = member.failureDomain;
    members.push_back(std::move(replica));
  }
  if (members.size() == aPlan.members.size()) {
    std::sort(members.begin(), members.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.name < aRight.name;
    });
    Form(aPlan.name, members);
  }
}

void
Controller::Form(const std::string& aGroup, const std::vector<wire::Replica>& aMembers)
{
  if (aGroup == kConfigurationGroup) {
    m_configurationGroup->Form(aMembers);
  } else {
    m_claimGroups.at(aGroup)->Form(aMembers);
  }
}

void
Controller::TryToJoin(const GroupPlan& aPlan, const wire::Replica& aSelf)
{
  for (const ReplicaSettings& member : aPlan.members) {
    const auto peer = m_peers.find(member.name);
    if (peer == m_peers.end()) {
      continue;
    }
    wire::CommandResult result;
    const Deadline deadline = SteadyClock::now() + kJoinTimeout;
    const Result<void> called = peer->second->Call(
      deadline, [&](wire::ControlPeerClient& aClient) { aClient.join(result, aPlan.name, aSelf); });
    if (called && result.code == wire::ResultCode::Done) {
      return;
    }
  }
}

void
Controller::ExpireClaims()
{
  for (auto& [name, group] : m_claimGroups) {
    if (group->Status().leader != m_settings.name) {
      continue;
    }
    wire::Command command;
    command.kind = wire::CommandKind::Expire;
    command.atMicros = (WallNow() - kClaimLifetime).time_since_epoch().count();
    group->Submit(std::move(command), SteadyClock::now() + kJoinTimeout);
  }
}

void
Controller::NoteSilence()
{
  const wire::GroupStatus status = Status(kConfigurationGroup);
  if (status.leader != m_settings.name) {
    m_silent.clear();
    return;
  }
  for (const auto& [name, silence] : status.silentMillis) {
    const bool silent = silence > kSilenceLimit.count();
    bool& known = m_silent[name];
    if (silent != known) {
      known = silent;
      Log(silent ? Event::ReplicaSilent : Event::ReplicaHeard,
          { { "replica", name }, { "millis", silence } });
    }
  }
}

bool
Controller::CollectReportsOf(const ReplicaSettings& aReplica)
{
  std::vector<wire::DomainReport> reports;
  const Result<void> called = m_peers.at(aReplica.name)
                                ->Call(SteadyClock::now() + kStatusTimeout,
                                       [&](wire::ControlPeerClient& aClient) { aClient.reports(reports); });
  if (!called) {
    return false;
  }
  for (const wire::DomainReport& report : reports) {
    m_board.Take(report, std::chrono::milliseconds(report.ageMillis));
  }
  return true;
}

void
Controller::CollectFarReports()
{
  std::set<std::string> reached{ m_settings.region };
  for (const ReplicaSettings& replica : m_settings.replicas) {
    if (!reached.contains(replica.region) && CollectReportsOf(replica)) {
      reached.insert(replica.region);
    }
  }
}

void
Controller::CollectReports()
{
  Deadline farAt = SteadyClock::now();
  while (!m_stop) {
    for (const ReplicaSettings& replica : m_settings.replicas) {
      if (replica.name != m_settings.name && replica.region == m_settings.region) {
        CollectReportsOf(replica);
      }
    }
    const Deadline now = SteadyClock::now();
    if (now >= farAt) {
      // Until the first report is there, nodes that start have nobody to meet in the other region.
      farAt =
        now + (m_board.KnowsOtherRegion(m_settings.region) ? kFarReportInterval : kFirstFarReportInterval);
      CollectFarReports();
    }
    std::this_thread::sleep_for(kNearReportInterval);
  }
}

} // namespace mimosarun
