#include "node/gossiper.h"

#include "common/log.h"
#include "common/random.h"
#include "node/memberpacking.h"
#include "node/probepartners.h"
#include "node/relays.h"
#include "wire/codec.h"

#include <algorithm>
#include <iterator>

namespace mimosarun {

static constexpr std::chrono::milliseconds kDomainInterval{ 400 };
static constexpr std::chrono::milliseconds kMeshInterval{ 400 };
/** Interval of all rounds until the table has once been equal to that of another member. */
static constexpr std::chrono::milliseconds kInitialInterval{ 100 };
/** Interval of exchanges with a domain of the own region while no updates are pending. */
static constexpr std::chrono::milliseconds kIdleMeshInterval{ 2000 };
/** The same for a domain of another region. */
static constexpr std::chrono::milliseconds kIdleCrossRegionInterval{ 5000 };
static constexpr std::chrono::milliseconds kProbeTimeout{ 300 };
static constexpr std::chrono::milliseconds kCrossRegionTimeout{ 600 };
static constexpr std::chrono::milliseconds kComparisonInterval{ 1000 };
/** Short, so that a node that has just started learns the whole table quickly. */
static constexpr std::chrono::milliseconds kInitialComparisonInterval{ 90 };
static constexpr size_t kUpdatesPerExchange = 24;
static constexpr size_t kRecordsPerComparison = 160;
/** Members that are asked to probe a member that doesn't answer this node. */
static constexpr size_t kIndirectProbes = 2;
static constexpr size_t kMeshPartnersPerDomain = 2;
/** Random partners of an immediate exchange; the relays are added to them. */
static constexpr size_t kImmediatePartners = 3;

Gossiper::Gossiper(const ProcessSettings& aSettings,
                   MemberTable& aTable,
                   PeerConnections& aPeers,
                   ConfigurationFetcher& aFetcher)
  : m_settings(aSettings)
  , m_table(aTable)
  , m_peers(aPeers)
  , m_fetcher(aFetcher)
{
}

Gossiper::~Gossiper()
{
  Stop();
}

void
Gossiper::Start()
{
  m_threads.emplace_back([this] { RunDomainRounds(); });
  m_threads.emplace_back([this] { RunMeshRounds(); });
  m_threads.emplace_back([this] { RunImmediateExchanges(); });
}

void
Gossiper::BeginStop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
}

void
Gossiper::Stop()
{
  BeginStop();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

bool
Gossiper::WaitUnlessStopped(std::chrono::milliseconds aDuration)
{
  std::unique_lock lock(m_mutex);
  const Deadline until = SteadyClock::now() + aDuration;
  m_wake.wait_until(lock, until, [this] { return m_stop; });
  return !m_stop;
}

bool
Gossiper::HasNeverConverged()
{
  const std::lock_guard lock(m_mutex);
  return !m_hasConverged;
}

static std::chrono::milliseconds
WithJitter(std::chrono::milliseconds aDuration)
{
  return std::chrono::milliseconds(RandomBetween(aDuration.count() * 3 / 4, aDuration.count() * 5 / 4));
}

// --- rounds ----------------------------------------------------------------------------------------------

void
Gossiper::RunDomainRounds()
{
  while (WaitUnlessStopped(WithJitter(HasNeverConverged() ? kInitialInterval : kDomainInterval))) {
    m_table.Expire(SteadyClock::now());
    if (const std::optional<wire::Member> partner = NextPartner()) {
      ProbeMember(*partner);
    } else if (!m_settings.seeds.empty()) {
      const auto seed = RandomBetween(0, static_cast<int64_t>(m_settings.seeds.size()) - 1);
      ExchangeWithSeed(m_settings.seeds[static_cast<size_t>(seed)]);
    }
  }
}

std::optional<wire::Member>
Gossiper::NextPartner()
{
  const std::lock_guard lock(m_mutex);
  while (true) {
    if (m_probeOrder.empty()) {
      m_probeOrder = DomainPartners();
      if (m_probeOrder.empty()) {
        return std::nullopt;
      }
      std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), RandomEngine());
    }
    const std::string name = m_probeOrder.back();
    m_probeOrder.pop_back();
    std::optional<wire::Member> member = m_table.Find(name);
    if (member &&
        (member->state == wire::MemberState::Alive || member->state == wire::MemberState::Suspect)) {
      return member;
    }
  }
}

std::vector<std::string>
Gossiper::DomainPartners() const
{
  std::vector<std::string> names;
  for (const wire::Member& member : m_table.Reachable(m_settings.failureDomain)) {
    names.push_back(member.name);
  }
  return ProbePartners(m_settings.name, names);
}

void
Gossiper::ProbeMember(const wire::Member& aMember)
{
  // The second attempt opens a new connection, since the cached one may be dead without an error.
  for (int attempt = 0; attempt < 2; ++attempt) {
    if (Exchange(aMember, GossipScope::Domain, kProbeTimeout)) {
      return;
    }
  }
  if (!ProbeIndirectly(aMember)) {
    m_table.MarkSuspect(aMember.name, SteadyClock::now());
  }
}

bool
Gossiper::ProbeIndirectly(const wire::Member& aMember)
{
  std::vector<wire::Member> helpers = m_table.Reachable(m_settings.failureDomain);
  std::erase_if(helpers, [&](const wire::Member& aHelper) { return aHelper.name == aMember.name; });
  std::shuffle(helpers.begin(), helpers.end(), RandomEngine());
  helpers.resize(std::min(helpers.size(), kIndirectProbes));
  for (const wire::Member& helper : helpers) {
    const Result<std::shared_ptr<NodeClient>> client = m_peers.ClientFor(helper.name, helper.peerAddress);
    bool answered = false;
    const bool called =
      client &&
      client.value()->Call(SteadyClock::now() + 2 * kProbeTimeout, [&](wire::NodePeerClient& aClient) {
        answered = aClient.probe(aMember.name, aMember.peerAddress);
      });
    if (called && answered) {
      return true;
    }
  }
  return false;
}

void
Gossiper::RunMeshRounds()
{
  while (WaitUnlessStopped(WithJitter(HasNeverConverged() ? kInitialInterval : kMeshInterval))) {
    if (!IsRelay(m_table, m_settings.failureDomain)) {
      continue;
    }
    std::map<std::string, std::vector<wire::Member>> domains;
    for (const wire::Member& member : m_table.Reachable("")) {
      if (member.failureDomain != m_settings.failureDomain) {
        domains[member.failureDomain].push_back(member);
      }
    }
    for (const auto& [domain, members] : domains) {
      const wire::Member& partner = ChooseMeshPartner(members);
      const bool isOtherRegion = partner.region != m_settings.region;
      if (StartMeshExchangeIfDue(partner, SteadyClock::now())) {
        Exchange(partner, GossipScope::Mesh, isOtherRegion ? kCrossRegionTimeout : kProbeTimeout);
      }
    }
  }
}

const wire::Member&
Gossiper::ChooseMeshPartner(const std::vector<wire::Member>& aMembers) const
{
  std::vector<std::string> names;
  for (const wire::Member& member : aMembers) {
    names.push_back(member.name);
  }
  // Always the same few, so that the connections to them stay in use.
  const std::vector<std::string> partners = PreferredMembers(m_settings.name, names, kMeshPartnersPerDomain);
  const auto choice = RandomBetween(0, static_cast<int64_t>(partners.size()) - 1);
  const std::string& name = partners[static_cast<size_t>(choice)];
  return *std::find_if(
    aMembers.begin(), aMembers.end(), [&](const wire::Member& aMember) { return aMember.name == name; });
}

bool
Gossiper::StartMeshExchangeIfDue(const wire::Member& aMember, Deadline aNow)
{
  const bool isOtherRegion = aMember.region != m_settings.region;
  Deadline& last = m_lastMeshExchange[aMember.failureDomain];
  const bool nothingPending = !m_table.HasUpdates(GossipScope::Mesh);
  if (nothingPending && aNow < last + (isOtherRegion ? kIdleCrossRegionInterval : kIdleMeshInterval)) {
    return false;
  }
  last = aNow;
  return true;
}

void
Gossiper::SpreadNow()
{
  {
    const std::lock_guard lock(m_mutex);
    m_immediateRequested = true;
  }
  m_wake.notify_all();
}

void
Gossiper::RunImmediateExchanges()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    if (!m_immediateRequested) {
      m_wake.wait(lock);
      continue;
    }
    m_immediateRequested = false;
    lock.unlock();
    std::vector<wire::Member> partners;
    std::vector<std::string> names = DomainPartners();
    std::shuffle(names.begin(), names.end(), RandomEngine());
    names.resize(std::min(names.size(), kImmediatePartners));
    for (const std::string& name : names) {
      if (std::optional<wire::Member> partner = m_table.Find(name)) {
        partners.push_back(std::move(*partner));
      }
    }
    // Relays forward updates to other domains, and report the held versions to control.
    for (wire::Member& relay : RelaysOf(m_table, m_settings.failureDomain)) {
      if (std::find(partners.begin(), partners.end(), relay) == partners.end()) {
        partners.push_back(std::move(relay));
      }
    }
    for (const wire::Member& partner : partners) {
      Exchange(partner, GossipScope::Domain, kProbeTimeout);
    }
    lock.lock();
  }
}

// --- exchanges -------------------------------------------------------------------------------------------

wire::Gossip
Gossiper::MakeGossip(GossipScope aScope, bool aCompares) const
{
  wire::Gossip gossip;
  gossip.sentAt = StampNow();
  gossip.sender = m_settings.name;
  gossip.mesh = aScope == GossipScope::Mesh;
  gossip.members = m_table.TakeUpdates(aScope, kUpdatesPerExchange);
  gossip.version = m_fetcher.HeldVersion();
  gossip.digest = m_table.Digest();
  if (aCompares) {
    gossip.parts = m_table.PartDigests();
  }
  return gossip;
}

bool
Gossiper::StartComparisonIfDue(const std::string& aName)
{
  const std::lock_guard lock(m_mutex);
  const Deadline now = SteadyClock::now();
  if (now < m_nextComparison || (m_hasConverged && !m_differingMembers.contains(aName))) {
    return false;
  }
  m_differingMembers.erase(aName);
  m_nextComparison = now + (m_hasConverged ? kComparisonInterval : kInitialComparisonInterval);
  return true;
}

/** Logs a batch of records that can't be read; a later exchange brings the records again. */
static void
LogIfRefused(const Result<void>& aUnpacked, const std::string& aSender)
{
  if (!aUnpacked) {
    Log(Event::MembersRefused, { { "member", aSender }, { "reason", aUnpacked.error().message } });
  }
}

bool
Gossiper::Exchange(const wire::Member& aMember, GossipScope aScope, std::chrono::milliseconds aTimeout)
{
  const Result<std::shared_ptr<NodeClient>> client = m_peers.ClientFor(aMember.name, aMember.peerAddress);
  if (!client) {
    return false;
  }
  wire::Gossip gossip = MakeGossip(aScope, StartComparisonIfDue(aMember.name));
  PackMembers(gossip);
  wire::GossipReply reply;
  const auto call = [&](wire::NodePeerClient& aClient) { aClient.exchange(reply, gossip); };
  const Result<void> called = client.value()->Call(SteadyClock::now() + aTimeout, call);
  if (!called || reply.name != aMember.name) {
    return false;
  }
  LogIfRefused(UnpackMembers(reply), aMember.name);
  const std::vector<wire::Member> ownRecords = RecordsNewerThan(reply);
  HandleReply(aMember, reply);
  if (!ownRecords.empty()) {
    gossip.members = ownRecords;
    gossip.packedMembers.clear();
    gossip.parts.clear();
    PackMembers(gossip);
    // If this message is lost, a later comparison finds the same differences.
    static_cast<void>(client.value()->Call(SteadyClock::now() + aTimeout, call).has_value());
  }
  return true;
}

bool
Gossiper::ExchangeWithSeed(const Address& aSeed)
{
  const Result<std::shared_ptr<NodeClient>> client = m_peers.ClientFor(aSeed.Text(), aSeed.Text());
  wire::Gossip gossip = MakeGossip(GossipScope::Domain, true);
  PackMembers(gossip);
  wire::GossipReply reply;
  const bool called =
    client && client.value()->Call(SteadyClock::now() + kProbeTimeout,
                                   [&](wire::NodePeerClient& aClient) { aClient.exchange(reply, gossip); });
  if (called) {
    LogIfRefused(UnpackMembers(reply), aSeed.Text());
    m_table.Merge(reply.members, SteadyClock::now());
  }
  return called;
}

std::vector<wire::Member>
Gossiper::RecordsNewerThan(const wire::GossipReply& aReply) const
{
  std::vector<wire::Member> newerRecords;
  for (const int32_t part : aReply.differing) {
    for (wire::Member& ownRecord : m_table.RecordsOfPart(static_cast<size_t>(part))) {
      const auto theirs =
        std::find_if(aReply.members.begin(), aReply.members.end(), [&](const wire::Member& aMember) {
          return aMember.name == ownRecord.name;
        });
      if (theirs == aReply.members.end() || Supersedes(ownRecord, *theirs)) {
        newerRecords.push_back(std::move(ownRecord));
      }
    }
  }
  return newerRecords;
}

void
Gossiper::HandleHeldVersion(const wire::Member& aMember, int64_t aVersion)
{
  m_table.SetHeldVersion(aMember.name, aVersion);
  if (aMember.failureDomain == m_settings.failureDomain) {
    m_fetcher.FetchIfNewer(aMember.name, aVersion);
  } else if (aMember.region == m_settings.region) {
    // Configurations reach another region through its own control replicas, not through nodes over the link.
    m_fetcher.FetchFromOtherDomainIfNewer(aMember.name, aVersion);
  }
}

void
Gossiper::HandleReply(const wire::Member& aMember, const wire::GossipReply& aReply)
{
  ObserveStamp(aReply.sentAt);
  m_table.Merge(aReply.members, SteadyClock::now());
  HandleHeldVersion(aMember, aReply.version);
  const bool equal = aReply.digest == m_table.Digest();
  const std::lock_guard lock(m_mutex);
  m_hasConverged = m_hasConverged || equal;
  if (equal) {
    m_differingMembers.erase(aMember.name);
  } else {
    m_differingMembers.insert(aMember.name);
  }
}

static bool
Contains(const std::vector<wire::Member>& aMembers, const wire::Member& aMember)
{
  return std::find(aMembers.begin(), aMembers.end(), aMember) != aMembers.end();
}

void
Gossiper::AddDifferingParts(const wire::Gossip& aGossip, wire::GossipReply& aReply) const
{
  const std::vector<int64_t> ownParts = m_table.PartDigests();
  if (aGossip.parts.size() != ownParts.size()) {
    return;
  }
  // The first part is random, so that repeated comparisons cover all parts of a large difference.
  const auto first = static_cast<size_t>(RandomBetween(0, static_cast<int64_t>(ownParts.size()) - 1));
  for (size_t step = 0; step < ownParts.size(); ++step) {
    const size_t part = (first + step) % ownParts.size();
    if (ownParts[part] == aGossip.parts[part]) {
      continue;
    }
    std::vector<wire::Member> records = m_table.RecordsOfPart(part);
    if (aReply.members.size() + records.size() > kRecordsPerComparison) {
      return;
    }
    std::move(records.begin(), records.end(), std::back_inserter(aReply.members));
    aReply.differing.push_back(static_cast<int32_t>(part));
  }
}

wire::GossipReply
Gossiper::HandleExchange(wire::Gossip aGossip)
{
  ObserveStamp(aGossip.sentAt);
  LogIfRefused(UnpackMembers(aGossip), aGossip.sender);
  m_table.Merge(aGossip.members, SteadyClock::now());
  if (const std::optional<wire::Member> sender = m_table.Find(aGossip.sender)) {
    HandleHeldVersion(*sender, aGossip.version);
  }
  wire::GossipReply reply;
  reply.name = m_settings.name;
  const GossipScope scope = aGossip.mesh ? GossipScope::Mesh : GossipScope::Domain;
  reply.members = m_table.TakeUpdates(scope, kUpdatesPerExchange);
  std::erase_if(reply.members,
                [&](const wire::Member& aMember) { return Contains(aGossip.members, aMember); });
  AddDifferingParts(aGossip, reply);
  reply.version = m_fetcher.HeldVersion();
  reply.sentAt = StampNow();
  reply.digest = m_table.Digest();
  PackMembers(reply);
  return reply;
}

bool
Gossiper::Probe(const std::string& aName, const std::string& aAddress)
{
  wire::Member member;
  member.name = aName;
  member.peerAddress = aAddress;
  member.region = m_settings.region;
  return Exchange(member, GossipScope::Domain, kProbeTimeout);
}

} // namespace mimosarun
