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
/** Time between attempts to return to the preferred replica. */
static constexpr std::chrono::seconds kPreferredReplicaInterval{ 10 };
static constexpr std::chrono::seconds kMemberExchangeInterval{ 10 };
/** Largest numbers of members and of names of outdated members in one report. */
static constexpr size_t kSampleLimit = 12;
static constexpr size_t kStragglerLimit = 8;
/** A value of heldVersion that requests members without a configuration. */
static constexpr int64_t kMembersOnlyVersion = -1;

ControlLink::ControlLink(const ProcessSettings& aSettings,
                         ConfigurationHolder& aHolder,
                         MemberTable& aTable,
                         ConfigurationFetcher& aFetcher,
                         Quarantine& aQuarantine,
                         CredentialLease& aLease)
  : m_settings(aSettings)
  , m_holder(aHolder)
  , m_table(aTable)
  , m_fetcher(aFetcher)
  , m_quarantine(aQuarantine)
  , m_lease(aLease)
{
  m_seeds = m_settings.replicas;
  SetReplicas(m_seeds);
}

void
ControlLink::SetSeeds(std::vector<ReplicaSettings> aSeeds)
{
  const std::lock_guard lock(m_mutex);
  m_seeds = std::move(aSeeds);
}

std::vector<ReplicaSettings>
ControlLink::Replicas() const
{
  const std::lock_guard lock(m_mutex);
  return m_replicas;
}

void
ControlLink::SetReplicas(std::vector<ReplicaSettings> aReplicas)
{
  std::shuffle(aReplicas.begin(), aReplicas.end(), RandomEngine());
  std::stable_sort(aReplicas.begin(), aReplicas.end(), [this](const auto& aLeft, const auto& aRight) {
    return DistanceTo(aLeft) < DistanceTo(aRight);
  });
  {
    const std::lock_guard lock(m_mutex);
    m_replicas = std::move(aReplicas);
  }
  m_clients.clear();
  m_currentReplica = 0;
  for (const ReplicaSettings& replica : m_replicas) {
    m_clients.push_back(std::make_unique<Client>(replica.address));
  }
}

int
ControlLink::DistanceTo(const ReplicaSettings& aReplica) const
{
  if (aReplica.failureDomain == m_settings.failureDomain) {
    return 0;
  }
  return aReplica.region == m_settings.region ? 1 : 2;
}

void
ControlLink::UpdateReplicas(const std::vector<wire::Replica>& aReplicas)
{
  if (!m_settings.discoverReplicas || aReplicas.empty()) {
    return;
  }
  std::vector<ReplicaSettings> replicas;
  for (const wire::Replica& replica : aReplicas) {
    if (const Result<Address> address = ParseAddress(replica.address)) {
      replicas.push_back({ .name = replica.name,
                           .region = replica.region,
                           .failureDomain = replica.failureDomain,
                           .address = address.value() });
    }
  }
  std::vector<ReplicaSettings> current = m_replicas;
  for (std::vector<ReplicaSettings>* list : { &replicas, &current }) {
    std::sort(list->begin(), list->end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.name < aRight.name;
    });
  }
  if (!replicas.empty() && replicas != current) {
    SetReplicas(std::move(replicas));
  }
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
  bool introduced = false;
  bool introducedWidely = false;
  bool running = WaitUnlessStopped(std::chrono::milliseconds(RandomBetween(0, kStartJitter.count())));
  while (running) {
    bool reached = true;
    if (!introduced) {
      introduced = IntroduceToCurrentReplica();
      reached = introduced;
    } else if (!introducedWidely && m_holder.Current()->version > 0) {
      introducedWidely = true;
      IntroduceWidely();
    } else {
      UpdateRelayRole();
      reached = Watch();
    }
    if (reached) {
      backoff.Reset();
      running = WaitUnlessStopped(std::chrono::milliseconds(1));
    } else {
      running = WaitUnlessStopped(backoff.NextDelay());
    }
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
ControlLink::SwitchToNextReplica()
{
  m_currentReplica = (m_currentReplica + 1) % m_clients.size();
  if (m_currentReplica == 0 && m_settings.discoverReplicas && m_consecutiveFailures >= m_clients.size()) {
    // No known replica answers. The replicas of the settings may know the current ones.
    std::unique_lock lock(m_mutex);
    std::vector<ReplicaSettings> seeds = m_seeds;
    lock.unlock();
    SetReplicas(std::move(seeds));
  }
  // The next replica may not know the members of this failure domain yet.
  m_nextMemberExchange = Deadline{};
}

void
ControlLink::RecordReachability(bool aReachable)
{
  m_consecutiveFailures = aReachable ? 0 : m_consecutiveFailures + 1;
  m_fetcher.SetControlAnswers(aReachable);
  const bool reachable = aReachable || m_consecutiveFailures < m_clients.size();
  if (reachable != m_isReachable) {
    m_isReachable = reachable;
    Log(reachable ? Event::ControlReached : Event::ControlUnreachable);
  }
}

Result<wire::WatchReply>
ControlLink::CallCurrentReplica(const wire::WatchRequest& aRequest)
{
  const Deadline now = SteadyClock::now();
  if (m_currentReplica != 0 && now >= m_nextPreferredReplicaTry) {
    m_nextPreferredReplicaTry = now + kPreferredReplicaInterval;
    m_currentReplica = 0;
  }
  wire::WatchReply reply;
  const Deadline deadline = now + std::chrono::milliseconds(aRequest.waitMillis) + kReplyAllowance;
  const Result<void> called = m_clients[m_currentReplica]->Call(
    deadline, [&](wire::ControlPeerClient& aClient) { aClient.watch(reply, aRequest); });
  RecordReachability(called.has_value());
  if (!called) {
    if (m_currentReplica == 0) {
      m_nextPreferredReplicaTry = now + kPreferredReplicaInterval;
    }
    SwitchToNextReplica();
    return boost::outcome_v2::failure(called.error());
  }
  m_lastReplier = m_replicas[m_currentReplica].name;
  if (reply.__isset.validity) {
    m_lease.Extend(reply.validity, now, SteadyClock::now());
  }
  ObserveStamp(reply.sentAt);
  m_table.Merge(reply.sample, SteadyClock::now());
  UpdateReplicas(reply.replicas);
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
  const Result<wire::WatchReply> first = IntroduceTo(*m_clients[m_currentReplica], true);
  RecordReachability(first.has_value());
  if (!first) {
    SwitchToNextReplica();
    return false;
  }
  UpdateReplicas(first.value().replicas);
  return true;
}

void
ControlLink::IntroduceWidely()
{
  for (const ReplicaSettings& target : IntroductionTargets(m_replicas, m_settings.failureDomain)) {
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
  request.sentAt = StampNow();
  const Result<wire::WatchReply> reply = CallCurrentReplica(request);
  if (!reply) {
    return false;
  }
  AddQuarantined(reply.value());
  ApplyReply(reply.value());
  if (!reply.value().current) {
    // This replica has no contact to a leader. Another one may have it and know newer versions.
    m_fetcher.SetControlAnswers(false);
    SwitchToNextReplica();
    return false;
  }
  return true;
}

void
ControlLink::AddQuarantined(const wire::WatchReply& aReply)
{
  m_quarantine.Add(aReply.quarantined, SteadyClock::now());
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
