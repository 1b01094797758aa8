#include "node/controllink.h"

#include "common/backoff.h"
#include "common/log.h"
#include "common/random.h"
#include "node/introductions.h"
#include "node/relays.h"
#include "wire/codec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mimosarun {

static constexpr std::chrono::milliseconds kStartJitter{ 150 };
static constexpr std::chrono::milliseconds kLongPollTime{ 800 };
/** Time of a long poll while requests are refused for want of a lease. */
static constexpr std::chrono::milliseconds kLeaselessPollTime{ 250 };
/** Time that a reply may take beyond the wait of the long poll. */
static constexpr std::chrono::milliseconds kReplyAllowance{ 700 };
static constexpr std::chrono::milliseconds kIntroductionTimeout{ 250 };
static constexpr std::chrono::milliseconds kMaximumBackoff{ 400 };
/** Time between questions to other nodes while no replica answers. */
static constexpr std::chrono::milliseconds kPeerQuestionInterval{ 1000 };
static constexpr std::chrono::milliseconds kPeerQuestionTimeout{ 250 };
static constexpr std::chrono::seconds kMemberExchangeInterval{ 10 };
/** Largest numbers of members and of names of outdated members in one report. */
static constexpr size_t kSampleLimit = 12;
static constexpr size_t kStragglerLimit = 8;
/** A value of heldVersion that requests members without a configuration. */
static constexpr int64_t kMembersOnlyVersion = -1;

ControlLink::ControlLink(const ProcessSettings& aSettings,
                         ConfigurationHolder& aHolder,
                         MemberTable& aTable,
                         PeerConnections& aPeers,
                         ConfigurationFetcher& aFetcher,
                         Quarantine& aQuarantine,
                         SuspectList& aSuspects,
                         CredentialLease& aLease,
                         RolloutLink& aRollouts)
  : m_settings(aSettings)
  , m_holder(aHolder)
  , m_table(aTable)
  , m_fetcher(aFetcher)
  , m_quarantine(aQuarantine)
  , m_suspects(aSuspects)
  , m_lease(aLease)
  , m_rollouts(aRollouts)
  , m_peers(aPeers)
  , m_replicas({ .region = m_settings.region,
                 .failureDomain = m_settings.failureDomain,
                 .isDiscovering = m_settings.discoverReplicas },
               m_settings.replicas)
{
}

ControlLink::~ControlLink()
{
  Stop();
}

void
ControlLink::Start()
{
  m_thread = std::thread([this] { Run(); });
}

void
ControlLink::BeginStop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
}

void
ControlLink::Stop()
{
  BeginStop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

bool
ControlLink::WaitUnlessStopped(std::chrono::milliseconds aDuration)
{
  std::unique_lock lock(m_mutex);
  const Deadline until = SteadyClock::now() + aDuration;
  m_wake.wait_until(lock, until, [this] { return m_stop; });
  return !m_stop;
}

void
ControlLink::Run()
{
  Backoff backoff({ .maximumDelay = kMaximumBackoff });
  bool running = WaitUnlessStopped(std::chrono::milliseconds(RandomBetween(0, kStartJitter.count())));
  while (running) {
    if (Step()) {
      backoff.Reset();
      running = WaitUnlessStopped(std::chrono::milliseconds(1));
    } else {
      AskPeerIfDue();
      running = WaitUnlessStopped(backoff.NextDelay());
    }
  }
}

bool
ControlLink::Step()
{
  if (!m_replicas.UseSeedsIfEmpty()) {
    RecordReachability(false);
    return false;
  }
  if (!m_isIntroduced) {
    m_isIntroduced = IntroduceToCurrentReplica();
    return m_isIntroduced;
  }
  if (!m_isWidelyIntroduced && m_holder.Current()->version > 0) {
    m_isWidelyIntroduced = true;
    IntroduceWidely();
    return true;
  }
  UpdateRelayRole();
  return Watch();
}

// --- replicas --------------------------------------------------------------------------------------------

std::vector<wire::Replica>
ControlLink::AnsweringReplicas() const
{
  std::vector<wire::Replica> replicas;
  if (!m_isReachable) {
    return replicas;
  }
  for (const ReplicaSettings& known : m_replicas.Replicas()) {
    wire::Replica replica;
    replica.name = known.name;
    replica.region = known.region;
    replica.failureDomain = known.failureDomain;
    replica.address = known.address.Text();
    replicas.push_back(std::move(replica));
  }
  return replicas;
}

void
ControlLink::AskPeerIfDue()
{
  const Deadline now = SteadyClock::now();
  const bool isUseful = m_settings.discoverReplicas && !m_isReachable;
  std::vector<wire::Member> members = m_table.Reachable("");
  if (!isUseful || now < m_nextPeerQuestion || members.empty()) {
    return;
  }
  m_nextPeerQuestion = now + kPeerQuestionInterval;
  const auto isNear = [this](const wire::Member& aMember) { return aMember.region == m_settings.region; };
  if (std::ranges::any_of(members, isNear)) {
    std::erase_if(members, [&](const wire::Member& aMember) { return !isNear(aMember); });
  }
  const auto choice = RandomBetween(0, static_cast<int64_t>(members.size()) - 1);
  const wire::Member& peer = members[static_cast<size_t>(choice)];
  const Result<std::shared_ptr<NodeClient>> client = m_peers.ClientFor(peer.name, peer.peerAddress);
  std::vector<wire::Replica> replicas;
  const bool isAnswered =
    client && client.value()->Call(now + kPeerQuestionTimeout,
                                   [&](wire::NodePeerClient& aClient) { aClient.controlReplicas(replicas); });
  if (isAnswered) {
    m_replicas.Adopt(replicas);
  }
}

void
ControlLink::UpdateRelayRole()
{
  const bool isRelay = IsRelay(m_table, m_settings.failureDomain);
  if (isRelay != m_isRelay) {
    m_isRelay = isRelay;
    Log(Event::RelayChanged, { { "relay", isRelay ? "yes" : "no" } });
  }
}

void
ControlLink::RecordReachability(bool aAnswered)
{
  if (aAnswered) {
    m_replicas.RecordAnswer();
  } else {
    m_replicas.RecordFailure(SteadyClock::now());
    // The next replica may not know the members of this failure domain yet.
    m_nextMemberExchange = Deadline{};
  }
  m_fetcher.SetControlAnswers(aAnswered);
  const bool isReachable = m_replicas.MayReachControl();
  if (m_isReachable.exchange(isReachable) == isReachable) {
    return;
  }
  if (isReachable) {
    Log(Event::ControlReached);
  } else {
    Log(Event::ControlUnreachable, { { "known-replicas", m_replicas.Replicas().size() } });
  }
}

Result<wire::WatchReply>
ControlLink::CallCurrentReplica(const wire::WatchRequest& aRequest)
{
  const Deadline now = SteadyClock::now();
  Client* const replica = m_replicas.Current(now);
  if (replica == nullptr) {
    return Fail(ErrorKind::Unreachable, "no control replica is known; name one in the settings");
  }
  const std::string name = m_replicas.CurrentName();
  wire::WatchReply reply;
  const Deadline deadline = now + std::chrono::milliseconds(aRequest.waitMillis) + kReplyAllowance;
  const Result<void> called =
    replica->Call(deadline, [&](wire::ControlPeerClient& aClient) { aClient.watch(reply, aRequest); });
  RecordReachability(called.has_value());
  if (!called) {
    return boost::outcome_v2::failure(called.error());
  }
  m_lastReplier = name;
  if (reply.__isset.validity) {
    m_lease.Extend(reply.validity, now, SteadyClock::now());
  }
  ObserveStamp(reply.sentAt);
  m_table.Merge(reply.sample, SteadyClock::now());
  m_replicas.Adopt(reply.replicas);
  return reply;
}

Result<wire::WatchReply>
ControlLink::IntroduceTo(Client& aReplica, bool aWantsMembers)
{
  wire::WatchRequest request;
  // On a slow link, a full configuration could take longer than the timeout of an introduction.
  request.heldVersion = kMembersOnlyVersion;
  request.wantsMembers = aWantsMembers;
  request.failureDomain = m_settings.failureDomain;
  request.introduced = { m_table.Self() };
  request.sentAt = StampNow();
  wire::WatchReply reply;
  BOOST_OUTCOME_TRYV(aReplica.Call(SteadyClock::now() + kIntroductionTimeout,
                                   [&](wire::ControlPeerClient& aClient) { aClient.watch(reply, request); }));
  ObserveStamp(reply.sentAt);
  m_table.Merge(reply.sample, SteadyClock::now());
  return reply;
}

bool
ControlLink::IntroduceToCurrentReplica()
{
  Client* const replica = m_replicas.Current(SteadyClock::now());
  if (replica == nullptr) {
    return false;
  }
  const Result<wire::WatchReply> first = IntroduceTo(*replica, true);
  RecordReachability(first.has_value());
  if (!first) {
    return false;
  }
  m_replicas.Adopt(first.value().replicas);
  return true;
}

void
ControlLink::IntroduceWidely()
{
  for (const ReplicaSettings& target : IntroductionTargets(m_replicas.Replicas(), m_settings.failureDomain)) {
    // The connection is used once. The node usually has members from the first replica already.
    Client replica(target.address);
    const bool knowsNoMember = m_table.Reachable("").empty();
    static_cast<void>(IntroduceTo(replica, knowsNoMember).has_value());
  }
}

std::chrono::milliseconds
ControlLink::PollTime() const
{
  const SnapshotPointer held = m_holder.Current();
  const bool lacksLease = held->configuration.hasTeams && !m_lease.Holds(held->version, SteadyClock::now());
  return lacksLease ? kLeaselessPollTime : kLongPollTime;
}

bool
ControlLink::Watch()
{
  wire::WatchRequest request;
  request.heldVersion = m_holder.Current()->version;
  request.waitMillis = static_cast<int32_t>(PollTime().count());
  request.wantsMembers = StartMemberExchangeIfDue(SteadyClock::now());
  if (m_isRelay) {
    request.report = MakeReport(request.wantsMembers);
  }
  request.failureDomain = m_settings.failureDomain;
  request.quarantineSeen = m_quarantineSeen;
  if (std::exchange(m_offersQuarantined, false)) {
    request.quarantined = m_quarantine.All(SteadyClock::now());
  }
  m_rollouts.Prepare(request, SteadyClock::now());
  request.sentAt = StampNow();
  const Result<wire::WatchReply> reply = CallCurrentReplica(request);
  if (!reply) {
    return false;
  }
  AddQuarantined(reply.value());
  m_rollouts.Apply(request, reply.value(), SteadyClock::now());
  ApplyReply(reply.value());
  if (!reply.value().current) {
    // This replica has no contact to a leader. Another one may have it and know newer versions.
    m_fetcher.SetControlAnswers(false);
    m_replicas.TurnToNext();
    m_nextMemberExchange = Deadline{};
    return false;
  }
  return true;
}

void
ControlLink::AddQuarantined(const wire::WatchReply& aReply)
{
  m_quarantine.Add(aReply.quarantined, SteadyClock::now());
  if (aReply.quarantineMark != m_quarantineSeen) {
    m_suspects.Set(aReply.suspects, SteadyClock::now());
  }
  m_offersQuarantined = aReply.quarantineMark.epoch != m_quarantineSeen.epoch;
  m_quarantineSeen = aReply.quarantineMark;
}

void
ControlLink::ApplyReply(const wire::WatchReply& aReply)
{
  if (aReply.unchanged) {
    return;
  }
  const Result<void> applied = m_holder.Apply(aReply.update, m_lastReplier);
  if (applied || applied.error().kind == ErrorKind::Conflict) {
    return;
  }
  wire::WatchRequest request;
  request.heldVersion = 0;
  request.failureDomain = m_settings.failureDomain;
  request.sentAt = StampNow();
  const Result<wire::WatchReply> fullReply = CallCurrentReplica(request);
  if (fullReply && !fullReply.value().unchanged) {
    static_cast<void>(m_holder.Apply(fullReply.value().update, m_lastReplier).has_value());
  }
}

bool
ControlLink::KnowsAllRegions() const
{
  std::set<std::string> known{ m_settings.region };
  for (const wire::Member& member : m_table.Reachable("")) {
    known.insert(member.region);
  }
  return std::all_of(m_settings.regions.begin(), m_settings.regions.end(), [&](const auto& aRegion) {
    return known.contains(aRegion);
  });
}

bool
ControlLink::StartMemberExchangeIfDue(Deadline aNow)
{
  const uint64_t generation = m_table.Generation();
  const bool hasNothingToReport = !m_isRelay || (generation == m_reportedGeneration && KnowsAllRegions());
  if (hasNothingToReport && aNow < m_nextMemberExchange) {
    return false;
  }
  m_reportedGeneration = generation;
  m_nextMemberExchange = aNow + kMemberExchangeInterval;
  return true;
}

wire::DomainReport
ControlLink::MakeReport(bool aWithMembers)
{
  wire::DomainReport report;
  report.failureDomain = m_settings.failureDomain;
  report.region = m_settings.region;
  report.relay = m_settings.name;
  std::vector<wire::Member> members = m_table.Reachable(m_settings.failureDomain);
  members.push_back(m_table.Self());
  report.alive = static_cast<int32_t>(members.size());
  int64_t newest = 0;
  for (const wire::Member& member : members) {
    ++report.nodesAtVersion[member.version];
    newest = std::max(newest, member.version);
  }
  for (const wire::Member& member : members) {
    if (member.version < newest && report.stragglers.size() < kStragglerLimit) {
      report.stragglers.push_back(member.name);
    }
  }
  if (aWithMembers) {
    std::shuffle(members.begin(), members.end(), RandomEngine());
    members.resize(std::min(members.size(), kSampleLimit));
    report.sample = std::move(members);
  }
  return report;
}

} // namespace mimosarun
