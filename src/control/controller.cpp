#include "control/controller.h"

#include "common/log.h"
#include "common/random.h"
#include "control/controlservice.h"

#include <algorithm>
#include <set>

namespace mimosarun {

static constexpr std::chrono::milliseconds kWatchInterval{ 250 };
static constexpr std::chrono::milliseconds kStatusTimeout{ 300 };
static constexpr std::chrono::milliseconds kJoinTimeout{ 1500 };
static constexpr std::chrono::milliseconds kSilenceLimit{ 3000 };
static constexpr std::chrono::hours kClaimLifetime{ 24 };
static constexpr int kWatchRoundsPerExpiry = 240;
static constexpr int64_t kOtherRegionElectionDelayFactor = 2;
/** Longer than most disk syncs; messages queued later are sent in a separate call. */
static constexpr std::chrono::milliseconds kReplyWait{ 25 };
/** A formed replica without a leader for this long asks other replicas whether it is still a member. */
static constexpr std::chrono::milliseconds kLeaderlessLimit{ 2500 };
/** Changes of large documents are kept in the log, and in memory, up to this size. */
static constexpr size_t kConfigurationLogBytes = 8UL * 1024 * 1024;
static constexpr std::chrono::milliseconds kLeaderPollInterval{ 20 };
static constexpr std::chrono::milliseconds kLeaderCallTimeout{ 500 };
/** Number of calls to the leader that can run at the same time. */
static constexpr size_t kLeaderConnections = 4;
/** Incarnation of the replicas that form the groups initially; later data folders get a unique one. */
static constexpr int64_t kFirstIncarnation = 1;

static std::vector<GroupPlan>
PlansOf(const ProcessSettings& aSettings)
{
  if (!aSettings.discoverReplicas) {
    return PlanGroups(aSettings.replicas);
  }
  // Claim groups are planned by region, and the regions of discovered replicas aren't known in advance.
  return { { .name = kConfigurationGroup, .members = aSettings.replicas, .preferredRegion = "" } };
}

Controller::Controller(ProcessSettings aSettings, DocumentParser aParser, KeyRedactor aRedactor)
  : m_settings(std::move(aSettings))
  , m_groupPlans(PlansOf(m_settings))
  , m_configuration(aParser, std::move(aRedactor))
  , m_reportCollector({ .region = m_settings.region,
                        .otherReplicas = [this] { return OtherReplicas(); },
                        .peerOf = [this](const std::string& aReplica) { return PeerOf(aReplica); } },
                      m_domainReports)
  , m_crashes([this] { m_configuration.WakeWaiters(); })
  , m_reader({ .requestReadIndex = [this](Deadline aDeadline) { return RequestReadIndex(aDeadline); } },
             m_configuration)
  , m_validity(ConfirmerOptions())
  , m_rollouts(
      { .limits = m_settings.rollout,
        .parser = std::move(aParser),
        .isLeader = [this] { return Status(kConfigurationGroup).leader == m_settings.name; },
        .submit = [this](const wire::Command& aCommand,
                         Deadline aDeadline) { return Submit(kConfigurationGroup, aCommand, aDeadline); },
        .collector = { .otherReplicas = [this] { return OtherReplicas(); },
                       .peerOf = [this](const std::string& aReplica) { return PeerOf(aReplica); } } },
      m_configuration,
      m_outcomes)
  , m_transport(m_settings.name, [this](const wire::RaftBatch& aBatch) { Deliver(aBatch); })
  , m_client(m_settings.replicas)
  , m_seeds(m_settings.replicas)
  , m_quotas(
      { .name = m_settings.name,
        .tolerance = m_settings.quota,
        .status = [this] { return Status(kConfigurationGroup); },
        .confirm = [this](Deadline aDeadline) { return ConfirmLeadership(kConfigurationGroup, aDeadline); },
        .configuration = [this] { return m_configuration.CurrentWithTeams(); } })
{
}

void
Controller::SetSeeds(std::vector<ReplicaSettings> aSeeds)
{
  if (aSeeds.empty()) {
    // It names nothing better than the replicas that were reached before.
    return;
  }
  const std::lock_guard lock(m_peersMutex);
  m_seeds = std::move(aSeeds);
}

Controller::~Controller()
{
  m_stop = true;
  if (m_watcher.joinable()) {
    m_watcher.join();
  }
  m_reportCollector.Stop();
  m_quotas.Stop();
  m_validity.Stop();
  m_rollouts.Stop();
  m_server.reset();
  // The links deliver messages to the groups, which are destroyed after this.
  m_transport.Stop();
}

ValidityConfirmer::Options
Controller::ConfirmerOptions()
{
  return { .isNeeded = [this] { return m_configuration.HasTeams(); },
           .confirm = [this](Deadline aDeadline) -> std::optional<int64_t> {
             const Result<SnapshotPointer> newest = ReadNewestConfiguration(aDeadline);
             return newest ? std::optional(newest.value()->version) : std::nullopt;
           },
           .pause =
             [this](Deadline aDeadline) {
               const int64_t version = m_configuration.Current()->version;
               m_configuration.WaitForNewer(version, aDeadline, [] { return false; });
             },
           .longestAge = m_settings.revocation.bound };
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
  if (m_settings.discoverReplicas) {
    self.address = m_settings.peerAddress.Text();
  }
  return self;
}

void
Controller::CreateGroups()
{
  for (const GroupPlan& plan : m_groupPlans) {
    const bool isMember = std::any_of(plan.members.begin(), plan.members.end(), [&](const auto& aMember) {
      return aMember.name == m_settings.name;
    });
    if (!isMember && !m_settings.discoverReplicas) {
      continue;
    }
    const bool inOtherRegion = !plan.preferredRegion.empty() && plan.preferredRegion != m_settings.region;
    GroupOptions options{ .name = plan.name,
                          .replica = m_settings.name,
                          .incarnation = m_incarnation,
                          .folder = m_settings.dataFolder + "/" + plan.name,
                          .address = Self().address,
                          .voterCount = m_settings.voterCount,
                          .heartbeatInterval = m_settings.heartbeatInterval,
                          .electionTimeout = m_settings.electionTimeout,
                          .electionDelay = inOtherRegion
                                             ? kOtherRegionElectionDelayFactor * m_settings.electionTimeout
                                             : std::chrono::milliseconds(0),
                          .seed = RandomEngine()() };
    if (plan.name == kConfigurationGroup) {
      options.bodyBytesBeforeSnapshot = kConfigurationLogBytes;
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
  if (FindReplica(m_settings.name) == nullptr && !m_settings.discoverReplicas) {
    return Fail(ErrorKind::InvalidInput,
                "replicas: this process, '" + m_settings.name +
                  "', isn't listed; add it or correct its name");
  }
  const bool formsGroups = m_settings.discoverReplicas && m_settings.formGroups;
  MIMOSARUN_TRY(m_incarnation,
                LoadOrCreateIncarnation(m_settings.dataFolder,
                                        formsGroups ? std::optional(kFirstIncarnation) : std::nullopt));
  for (const ReplicaSettings& replica : m_settings.replicas) {
    if (replica.name != m_settings.name) {
      m_transport.AddPeer(replica.name, replica.address);
      m_peers[replica.name] = std::make_shared<PeerClient>(replica.address);
    }
  }
  m_leaderSeenAt = SteadyClock::now();
  CreateGroups();
  BOOST_OUTCOME_TRYV(m_configurationGroup->Start());
  for (auto& [name, group] : m_claimGroups) {
    BOOST_OUTCOME_TRYV(group->Start());
  }
  m_quotas.Start();
  MIMOSARUN_TRY(m_server, StartControlService(*this));
  m_watcher = std::thread([this] { WatchGroups(); });
  m_reportCollector.Start();
  if (m_settings.revocation.isStrict) {
    m_validity.Start();
  }
  m_rollouts.Start();
  return boost::outcome_v2::success();
}

std::shared_ptr<Controller::PeerClient>
Controller::PeerOf(const std::string& aName)
{
  const std::lock_guard lock(m_peersMutex);
  std::shared_ptr<PeerClient>& peer = m_peers[aName];
  if (peer == nullptr && m_settings.discoverReplicas) {
    if (const Result<Address> address = ParseAddress(aName)) {
      peer = std::make_shared<PeerClient>(address.value());
    }
  }
  return peer;
}

std::shared_ptr<Controller::PeerClient>
Controller::PeerForLeaderCall(const std::string& aName)
{
  const Result<Address> address = ParseAddress(aName);
  if (!address) {
    return PeerOf(aName);
  }
  const std::lock_guard lock(m_peersMutex);
  std::vector<std::shared_ptr<PeerClient>>& peers = m_leaderPeers[aName];
  if (peers.size() < kLeaderConnections) {
    peers.push_back(std::make_shared<PeerClient>(address.value()));
    return peers.back();
  }
  return peers[m_nextLeaderPeer++ % peers.size()];
}

std::vector<wire::Replica>
Controller::OtherReplicas() const
{
  std::vector<wire::Replica> replicas;
  if (m_settings.discoverReplicas) {
    replicas = Status(kConfigurationGroup).members;
  } else {
    for (const ReplicaSettings& listed : m_settings.replicas) {
      wire::Replica replica;
      replica.name = listed.name;
      replica.region = listed.region;
      replica.failureDomain = listed.failureDomain;
      replicas.push_back(std::move(replica));
    }
  }
  std::erase_if(replicas, [&](const wire::Replica& aReplica) { return aReplica.name == m_settings.name; });
  return replicas;
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
    if (const Result<Address> sender = ParseAddress(message.senderAddress)) {
      m_transport.AddPeer(message.sender, sender.value());
    }
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

std::vector<wire::RaftMessage>
Controller::DeliverAndReply(const wire::RaftBatch& aBatch)
{
  Deliver(aBatch);
  const auto expectsReply = [](const wire::RaftMessage& aMessage) {
    return aMessage.kind == wire::RaftKind::Append || aMessage.kind == wire::RaftKind::PreVote ||
           aMessage.kind == wire::RaftKind::Vote || aMessage.kind == wire::RaftKind::TransferVote;
  };
  const auto request = std::find_if(aBatch.messages.begin(), aBatch.messages.end(), expectsReply);
  if (request == aBatch.messages.end()) {
    return {};
  }
  return m_transport.WaitForReplyMessages(request->sender, SteadyClock::now() + kReplyWait);
}

wire::CommandResult
Controller::Submit(const std::string& aGroup, wire::Command aCommand, Deadline aDeadline)
{
  if (aGroup == kConfigurationGroup) {
    return m_configurationGroup->Submit(std::move(aCommand), aDeadline);
  }
  const auto group = m_claimGroups.find(aGroup);
  if (group == m_claimGroups.end()) {
    return MakeFailedResult(wire::ResultCode::NotLeader, "this replica doesn't hold the group; ask another");
  }
  return group->second->Submit(std::move(aCommand), aDeadline);
}

wire::CommandResult
Controller::Join(const std::string& aGroup, const wire::Replica& aReplica, Deadline aDeadline)
{
  if (FindReplica(aReplica.name) == nullptr && !m_settings.discoverReplicas) {
    return MakeFailedResult(wire::ResultCode::Invalid,
                            "the replica isn't listed in the settings; add it there first");
  }
  Log(Event::JoinRequested, { { "group", aGroup }, { "replica", aReplica.name } });
  if (aGroup == kConfigurationGroup) {
    return m_configurationGroup->Join(aReplica, aDeadline);
  }
  const auto group = m_claimGroups.find(aGroup);
  if (group == m_claimGroups.end()) {
    return MakeFailedResult(wire::ResultCode::NotLeader, "this replica doesn't hold the group; ask another");
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

bool
Controller::IsCaughtUp() const
{
  const wire::GroupStatus status = Status(kConfigurationGroup);
  return !status.leader.empty() && status.applied >= status.commit;
}

std::vector<std::string>
Controller::GroupNames() const
{
  std::vector<std::string> names;
  for (const GroupPlan& plan : m_groupPlans) {
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
  const std::shared_ptr<PeerClient> peer = PeerOf(aReplica);
  if (peer == nullptr) {
    return Fail(ErrorKind::NotFound, aReplica + ": no such replica; see 'show control'");
  }
  wire::GroupStatus status;
  BOOST_OUTCOME_TRYV(
    peer->Call(aDeadline, [&](wire::ControlPeerClient& aClient) { aClient.status(status, aGroup); }));
  return status;
}

wire::ReadIndex
Controller::ConfirmLeadership(const std::string& aGroup, Deadline aDeadline)
{
  return aGroup == kConfigurationGroup ? m_configurationGroup->ConfirmLeadership(aDeadline)
                                       : wire::ReadIndex{};
}

Result<wire::ReadIndex>
Controller::RequestReadIndex(Deadline aDeadline)
{
  const std::string leader = Status(kConfigurationGroup).leader;
  if (leader == m_settings.name) {
    return ConfirmLeadership(kConfigurationGroup, aDeadline);
  }
  const std::shared_ptr<PeerClient> peer = leader.empty() ? nullptr : PeerForLeaderCall(leader);
  if (peer == nullptr) {
    return Fail(ErrorKind::NotLeader, "no leader is known; try again or ask another replica");
  }
  wire::ReadIndex readIndex;
  // The open connection may be dead; the second attempt opens a new one.
  const Deadline firstDeadline = std::min(aDeadline, SteadyClock::now() + kStatusTimeout);
  for (const Deadline deadline : { firstDeadline, aDeadline }) {
    const auto wait = static_cast<int32_t>(TimeLeft(deadline).count());
    const Result<void> called = peer->Call(deadline, [&](wire::ControlPeerClient& aClient) {
      aClient.readIndex(readIndex, kConfigurationGroup, wait);
    });
    if (called) {
      return readIndex;
    }
  }
  return Fail(ErrorKind::Unreachable, leader + ": the leader doesn't reply; ask another replica");
}

bool
Controller::WaitUntilCaughtUp(Deadline aDeadline)
{
  return m_reader.WaitUntilCaughtUp(aDeadline);
}

Result<SnapshotPointer>
Controller::ReadNewestConfiguration(Deadline aDeadline)
{
  return m_reader.ReadNewest(aDeadline);
}

wire::CommandResult
Controller::SubmitToLeader(const wire::Command& aCommand, Deadline aDeadline)
{
  bool mayHaveRun = false;
  while (SteadyClock::now() < aDeadline) {
    const std::string leader = Status(kConfigurationGroup).leader;
    wire::CommandResult result;
    if (leader == m_settings.name) {
      result = Submit(kConfigurationGroup, aCommand, aDeadline);
    } else if (const auto peer = leader.empty() ? nullptr : PeerForLeaderCall(leader)) {
      const Deadline callDeadline = std::min(aDeadline, SteadyClock::now() + kLeaderCallTimeout);
      const auto wait = static_cast<int32_t>(TimeLeft(callDeadline).count() * 9 / 10);
      const Result<void> called = peer->Call(callDeadline, [&](wire::ControlPeerClient& aClient) {
        aClient.submit(result, kConfigurationGroup, aCommand, wait);
      });
      if (!called) {
        result = MakeFailedResult(wire::ResultCode::Unknown, called.error().message);
      }
    } else {
      result = MakeFailedResult(wire::ResultCode::NotLeader, "no leader is known");
    }
    mayHaveRun = mayHaveRun || result.code == wire::ResultCode::Unknown;
    const bool decided =
      result.code != wire::ResultCode::NotLeader && result.code != wire::ResultCode::Unknown;
    if (decided) {
      return result;
    }
    std::this_thread::sleep_for(std::min(kLeaderPollInterval, TimeLeft(aDeadline)));
  }
  return MakeFailedResult(mayHaveRun ? wire::ResultCode::Unknown : wire::ResultCode::Unavailable,
                          mayHaveRun ? "no decision before the deadline; send the command again unchanged"
                                     : "not run: no quorum of control replicas is reachable; try again");
}

bool
Controller::Leave(Deadline aDeadline)
{
  m_configurationGroup->Leave();
  for (auto& [name, group] : m_claimGroups) {
    group->Leave();
  }
  bool isDone = m_configurationGroup->WaitUntilFollower(aDeadline);
  for (auto& [name, group] : m_claimGroups) {
    isDone = group->WaitUntilFollower(aDeadline) && isDone;
  }
  return isDone;
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
  wire::CommandResult last = MakeFailedResult(
    wire::ResultCode::Invalid, aName + ": no group is planned for this replica; add it to the settings");
  for (const GroupPlan& plan : m_groupPlans) {
    const bool planned = std::any_of(
      plan.members.begin(), plan.members.end(), [&](const auto& aMember) { return aMember.name == aName; });
    const Result<wire::GroupStatus> status = StatusAt(aName, plan.name, aDeadline);
    if (!planned) {
      continue;
    }
    if (!status) {
      return MakeFailedResult(wire::ResultCode::Unavailable, status.error().message);
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

// --- maintenance -----------------------------------------------------------------------------------------

void
Controller::WatchGroups()
{
  int round = 0;
  while (!m_stop) {
    for (const GroupPlan& plan : m_groupPlans) {
      const wire::GroupStatus status = Status(plan.name);
      if (status.replica.empty()) {
        continue;
      }
      if (m_settings.discoverReplicas) {
        MaintainMembership(plan, status);
      } else if (!status.formed) {
        FormOrJoin(plan);
      }
    }
    LogSilenceChanges();
    m_crashes.EvaluateSuspects(SteadyClock::now());
    if (++round % kWatchRoundsPerExpiry == 0) {
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
      if (!HasMember(status.value().members, self.name, self.incarnation)) {
        TryToJoinAnywhere(aPlan);
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

std::vector<wire::Replica>
Controller::InitialMembers() const
{
  std::vector<wire::Replica> members;
  for (const ReplicaSettings& listed : m_settings.replicas) {
    wire::Replica replica;
    replica.name = listed.name;
    replica.incarnation = kFirstIncarnation;
    replica.address = listed.address.Text();
    members.push_back(std::move(replica));
  }
  std::sort(members.begin(), members.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.name < aRight.name;
  });
  return members;
}

void
Controller::MaintainMembership(const GroupPlan& aPlan, const wire::GroupStatus& aStatus)
{
  const Deadline now = SteadyClock::now();
  if (!aStatus.leader.empty()) {
    m_leaderSeenAt = now;
  }
  if (!aStatus.formed) {
    // Each listed replica forms the same group independently, so none waits for the others.
    if (m_settings.formGroups && FindReplica(m_settings.name) != nullptr) {
      Form(aPlan.name, InitialMembers());
    } else {
      Discover(aPlan);
    }
    return;
  }
  if (!aStatus.leader.empty() && !HasMemberAsDescribed(aStatus.members, Self())) {
    TryToJoin(aStatus.leader, aPlan.name);
  } else if (now > m_leaderSeenAt + kLeaderlessLimit) {
    Discover(aPlan);
  }
}

void
Controller::Discover(const GroupPlan& aPlan)
{
  const wire::Replica self = Self();
  std::unique_lock lock(m_peersMutex);
  const std::vector<ReplicaSettings> seeds = m_seeds;
  lock.unlock();
  for (const ReplicaSettings& seed : seeds) {
    if (seed.name == m_settings.name) {
      continue;
    }
    const Result<wire::GroupStatus> status =
      StatusAt(seed.name, aPlan.name, SteadyClock::now() + kStatusTimeout);
    const bool hasLeader = status && status.value().formed && !status.value().leader.empty();
    if (!hasLeader) {
      continue;
    }
    m_transport.AddPeers(status.value().members);
    if (HasMember(status.value().members, self.name, self.incarnation)) {
      return;
    }
    if (TryToJoin(status.value().leader, aPlan.name)) {
      return;
    }
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

bool
Controller::TryToJoin(const std::string& aReplica, const std::string& aGroup)
{
  if (aReplica == m_settings.name) {
    return Join(aGroup, Self(), SteadyClock::now() + kJoinTimeout).code == wire::ResultCode::Done;
  }
  const std::shared_ptr<PeerClient> peer = PeerOf(aReplica);
  if (peer == nullptr) {
    return false;
  }
  wire::CommandResult result;
  const Result<void> called =
    peer->Call(SteadyClock::now() + kJoinTimeout,
               [&](wire::ControlPeerClient& aClient) { aClient.join(result, aGroup, Self()); });
  return called && result.code == wire::ResultCode::Done;
}

void
Controller::TryToJoinAnywhere(const GroupPlan& aPlan)
{
  for (const ReplicaSettings& member : aPlan.members) {
    if (member.name != m_settings.name && TryToJoin(member.name, aPlan.name)) {
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
Controller::LogSilenceChanges()
{
  const wire::GroupStatus status = Status(kConfigurationGroup);
  if (status.leader != m_settings.name) {
    m_silentReplicas.clear();
    return;
  }
  for (const auto& [name, silence] : status.silentMillis) {
    const bool silent = silence > kSilenceLimit.count();
    bool& wasSilent = m_silentReplicas[name];
    if (silent != wasSilent) {
      wasSilent = silent;
      Log(silent ? Event::ReplicaSilent : Event::ReplicaHeard,
          { { "replica", name }, { "millis", silence } });
    }
  }
}

} // namespace mimosarun
