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
/** Long enough for most syncs; what takes longer is sent on its own. */
static constexpr std::chrono::milliseconds kAnswerWait{ 25 };
/** A formed replica that hears no leader for this long asks whether it is still a member. */
static constexpr std::chrono::milliseconds kLeaderless{ 2500 };
static constexpr std::chrono::milliseconds kLeaderPoll{ 20 };
static constexpr std::chrono::milliseconds kOrderTry{ 500 };
/** Orders to the leader don't wait for each other up to this number. */
static constexpr size_t kOrderConnections = 4;
/** Identity of the replicas that form the groups at the first start; later folders get one of their own. */
static constexpr int64_t kFirstIncarnation = 1;

static std::vector<GroupPlan>
PlansOf(const ProcessSettings& aSettings)
{
  if (!aSettings.discoverReplicas) {
    return PlanGroups(aSettings.replicas);
  }
  // Claims need to know every replica's region beforehand.
  return { { .name = kConfigurationGroup, .members = aSettings.replicas, .preferredRegion = "" } };
}

Controller::Controller(ProcessSettings aSettings, DocumentParser aParser)
  : m_settings(std::move(aSettings))
  , m_plans(PlansOf(m_settings))
  , m_configuration(std::move(aParser))
  , m_transport(m_settings.name, [this](const wire::RaftBatch& aBatch) { Deliver(aBatch); })
  , m_client(m_settings.replicas)
  , m_seeds(m_settings.replicas)
{
}

void
Controller::SetSeeds(std::vector<ReplicaSettings> aSeeds)
{
  const std::lock_guard lock(m_peersMutex);
  m_seeds = std::move(aSeeds);
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
  // The links deliver to the groups, which end after this.
  m_transport.Stop();
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
Controller::MakeGroups()
{
  for (const GroupPlan& plan : m_plans) {
    const bool member = std::any_of(plan.members.begin(), plan.members.end(), [&](const auto& aMember) {
      return aMember.name == m_settings.name;
    });
    if (!member && !m_settings.discoverReplicas) {
      continue;
    }
    const bool far = !plan.preferredRegion.empty() && plan.preferredRegion != m_settings.region;
    GroupOptions options{ .name = plan.name,
                          .replica = m_settings.name,
                          .incarnation = m_incarnation,
                          .folder = m_settings.dataFolder + "/" + plan.name,
                          .address = Self().address,
                          .voters = m_settings.voters,
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
  if (FindReplica(m_settings.name) == nullptr && !m_settings.discoverReplicas) {
    return Fail(ErrorKind::InvalidInput,
                "replicas: this process, '" + m_settings.name +
                  "', isn't listed; add it or correct its name");
  }
  const bool first = m_settings.discoverReplicas && m_settings.formGroups;
  MIMOSARUN_TRY(
    m_incarnation,
    LoadOrCreateIncarnation(m_settings.dataFolder, first ? std::optional(kFirstIncarnation) : std::nullopt));
  for (const ReplicaSettings& replica : m_settings.replicas) {
    if (replica.name != m_settings.name) {
      m_transport.AddPeer(replica.name, replica.address);
      m_peers[replica.name] = std::make_shared<PeerClient>(replica.address);
    }
  }
  m_leaderSeen = SteadyClock::now();
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
Controller::PeerForOrder(const std::string& aName)
{
  const Result<Address> address = ParseAddress(aName);
  if (!address) {
    return PeerOf(aName);
  }
  const std::lock_guard lock(m_peersMutex);
  std::vector<std::shared_ptr<PeerClient>>& peers = m_orderPeers[aName];
  if (peers.size() < kOrderConnections) {
    peers.push_back(std::make_shared<PeerClient>(address.value()));
    return peers.back();
  }
  return peers[m_nextOrder++ % peers.size()];
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
Controller::DeliverAndAnswer(const wire::RaftBatch& aBatch)
{
  Deliver(aBatch);
  const auto asksForAnswer = [](const wire::RaftMessage& aMessage) {
    return aMessage.kind == wire::RaftKind::Append || aMessage.kind == wire::RaftKind::PreVote ||
           aMessage.kind == wire::RaftKind::Vote;
  };
  const auto asking = std::find_if(aBatch.messages.begin(), aBatch.messages.end(), asksForAnswer);
  if (asking == aBatch.messages.end()) {
    return {};
  }
  return m_transport.TakeForAnswer(asking->sender, SteadyClock::now() + kAnswerWait);
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
  if (FindReplica(aReplica.name) == nullptr && !m_settings.discoverReplicas) {
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
Controller::ConfirmLeader(Deadline aDeadline)
{
  const std::string leader = Status(kConfigurationGroup).leader;
  if (leader == m_settings.name) {
    return ConfirmLeadership(kConfigurationGroup, aDeadline);
  }
  const std::shared_ptr<PeerClient> peer = leader.empty() ? nullptr : PeerForOrder(leader);
  if (peer == nullptr) {
    return Fail(ErrorKind::NotLeader, "no leader is known; ask again, or another replica");
  }
  wire::ReadIndex answer;
  // The kept connection may have gone silent; the second try opens a new one.
  const Deadline firstTry = std::min(aDeadline, SteadyClock::now() + kStatusTimeout);
  for (const Deadline deadline : { firstTry, aDeadline }) {
    const auto wait = static_cast<int32_t>(TimeLeft(deadline).count());
    const Result<void> called = peer->Call(deadline, [&](wire::ControlPeerClient& aClient) {
      aClient.readIndex(answer, kConfigurationGroup, wait);
    });
    if (called) {
      return answer;
    }
  }
  return Fail(ErrorKind::Unreachable, leader + ": the leader gives no answer; ask another replica");
}

bool
Controller::WaitApplied(int64_t aIndex, Deadline aDeadline) const
{
  while (Status(kConfigurationGroup).applied < aIndex) {
    if (SteadyClock::now() >= aDeadline) {
      return false;
    }
    std::this_thread::sleep_for(kCatchUpPoll);
  }
  return true;
}

bool
Controller::CatchUp(Deadline aDeadline)
{
  while (SteadyClock::now() < aDeadline) {
    const Result<wire::ReadIndex> answer = ConfirmLeader(aDeadline);
    if (answer && answer.value().confirmed) {
      return WaitApplied(answer.value().index, aDeadline);
    }
    std::this_thread::sleep_for(std::min(kLeaderPoll, TimeLeft(aDeadline)));
  }
  return false;
}

Result<SnapshotPointer>
Controller::ReadNewest(Deadline aDeadline)
{
  if (!CatchUp(aDeadline)) {
    return Fail(ErrorKind::NotLeader,
                "no quorum of replicas confirms which configuration is the newest; ask another replica");
  }
  return m_configuration.Current();
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
    } else if (const auto peer = leader.empty() ? nullptr : PeerForOrder(leader)) {
      const Deadline tryBy = std::min(aDeadline, SteadyClock::now() + kOrderTry);
      const auto wait = static_cast<int32_t>(TimeLeft(tryBy).count() * 9 / 10);
      const Result<void> called = peer->Call(tryBy, [&](wire::ControlPeerClient& aClient) {
        aClient.submit(result, kConfigurationGroup, aCommand, wait);
      });
      if (!called) {
        result = Refusal(wire::ResultCode::Unknown, called.error().message);
      }
    } else {
      result = Refusal(wire::ResultCode::NotLeader, "no leader is known");
    }
    mayHaveRun = mayHaveRun || result.code == wire::ResultCode::Unknown;
    const bool decided =
      result.code != wire::ResultCode::NotLeader && result.code != wire::ResultCode::Unknown;
    if (decided) {
      return result;
    }
    std::this_thread::sleep_for(std::min(kLeaderPoll, TimeLeft(aDeadline)));
  }
  return Refusal(mayHaveRun ? wire::ResultCode::Unknown : wire::ResultCode::Unavailable,
                 mayHaveRun ? "no decision before the deadline; send the command again unchanged"
                            : "not run: no quorum of control replicas is reachable; try again");
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
      if (status.replica.empty()) {
        continue;
      }
      if (m_settings.discoverReplicas) {
        KeepMembership(plan, status);
      } else if (!status.formed) {
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
Controller::FirstMembers() const
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
Controller::KeepMembership(const GroupPlan& aPlan, const wire::GroupStatus& aStatus)
{
  const Deadline now = SteadyClock::now();
  if (!aStatus.leader.empty()) {
    m_leaderSeen = now;
  }
  if (!aStatus.formed) {
    // All listed replicas form the same group by themselves, so none waits for the others.
    if (m_settings.formGroups && FindReplica(m_settings.name) != nullptr) {
      Form(aPlan.name, FirstMembers());
    } else {
      Discover(aPlan);
    }
    return;
  }
  if (!aStatus.leader.empty() && !Describes(aStatus.members, Self())) {
    TryToJoin(aStatus.leader, aPlan.name);
  } else if (now > m_leaderSeen + kLeaderless) {
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
  for (const ReplicaSettings& listed : seeds) {
    if (listed.name == m_settings.name) {
      continue;
    }
    const Result<wire::GroupStatus> status =
      StatusAt(listed.name, aPlan.name, SteadyClock::now() + kStatusTimeout);
    const bool helpful = status && status.value().formed && !status.value().leader.empty();
    if (!helpful) {
      continue;
    }
    m_transport.Learn(status.value().members);
    if (Contains(status.value().members, self.name, self.incarnation)) {
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
Controller::TryToJoin(const std::string& aAt, const std::string& aGroup)
{
  if (aAt == m_settings.name) {
    return Join(aGroup, Self(), SteadyClock::now() + kJoinTimeout).code == wire::ResultCode::Done;
  }
  const std::shared_ptr<PeerClient> peer = PeerOf(aAt);
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
Controller::CollectReportsOf(const std::string& aReplica)
{
  const std::shared_ptr<PeerClient> peer = PeerOf(aReplica);
  if (peer == nullptr) {
    return false;
  }
  std::vector<wire::DomainReport> reports;
  const bool wantsMembers = !m_board.KnowsMembersOfAll() || !m_board.KnowsOtherRegion(m_settings.region);
  const Result<void> called =
    peer->Call(SteadyClock::now() + kStatusTimeout,
               [&](wire::ControlPeerClient& aClient) { aClient.reports(reports, wantsMembers); });
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
  for (const wire::Replica& replica : OtherReplicas()) {
    if (!reached.contains(replica.region) && CollectReportsOf(replica.name)) {
      reached.insert(replica.region);
    }
  }
}

void
Controller::CollectReports()
{
  Deadline farAt = SteadyClock::now();
  while (!m_stop) {
    for (const wire::Replica& replica : OtherReplicas()) {
      if (replica.region == m_settings.region) {
        CollectReportsOf(replica.name);
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
