#include "node/gossiper.h"

#include "common/random.h"
#include "node/relays.h"
#include "wire/codec.h"

#include <algorithm>

namespace mimosarun {

static constexpr std::chrono::milliseconds kDomainInterval{ 250 };
static constexpr std::chrono::milliseconds kMeshInterval{ 500 };
static constexpr int kFarRounds = 4;
static constexpr std::chrono::milliseconds kProbeTimeout{ 300 };
static constexpr std::chrono::milliseconds kFarTimeout{ 600 };
static constexpr std::chrono::milliseconds kFullSyncInterval{ 2000 };
static constexpr size_t kRecordsInExchange = 96;
static constexpr size_t kHelpers = 2;
static constexpr size_t kUrgentPartners = 3;

Gossiper::Gossiper(const ProcessSettings& aSettings, MemberTable& aTable, Peers& aPeers, Fetcher& aFetcher)
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
  m_threads.emplace_back([this] { RunDomain(); });
  m_threads.emplace_back([this] { RunMesh(); });
  m_threads.emplace_back([this] { RunUrgent(); });
}

void
Gossiper::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

bool
Gossiper::Wait(std::chrono::milliseconds aTime)
{
  std::unique_lock lock(m_mutex);
  const Deadline until = SteadyClock::now() + aTime;
  m_wake.wait_until(lock, until, [this] { return m_stop; });
  return !m_stop;
}

// --- rounds ----------------------------------------------------------------------------------------------

void
Gossiper::RunDomain()
{
  while (Wait(std::chrono::milliseconds(
    RandomBetween(kDomainInterval.count() * 3 / 4, kDomainInterval.count() * 5 / 4)))) {
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
    if (m_order.empty()) {
      for (const wire::Member& member : m_table.Reachable(m_settings.failureDomain)) {
        m_order.push_back(member.name);
      }
      if (m_order.empty()) {
        return std::nullopt;
      }
      std::shuffle(m_order.begin(), m_order.end(), RandomEngine());
    }
    const std::string name = m_order.back();
    m_order.pop_back();
    std::optional<wire::Member> member = m_table.Find(name);
    if (member &&
        (member->state == wire::MemberState::Alive || member->state == wire::MemberState::Suspect)) {
      return member;
    }
  }
}

void
Gossiper::ProbeMember(const wire::Member& aMember)
{
  // The second try uses a new connection, since the kept one may have gone silent.
  for (int attempt = 0; attempt < 2; ++attempt) {
    if (Exchange(aMember, GossipScope::Domain, kProbeTimeout)) {
      return;
    }
  }
  if (!ProbeThroughOthers(aMember)) {
    m_table.Suspect(aMember.name, SteadyClock::now());
  }
}

bool
Gossiper::ProbeThroughOthers(const wire::Member& aMember)
{
  std::vector<wire::Member> helpers = m_table.Reachable(m_settings.failureDomain);
  std::erase_if(helpers, [&](const wire::Member& aHelper) { return aHelper.name == aMember.name; });
  std::shuffle(helpers.begin(), helpers.end(), RandomEngine());
  helpers.resize(std::min(helpers.size(), kHelpers));
  for (const wire::Member& helper : helpers) {
    const Result<std::shared_ptr<NodeClient>> client = m_peers.ToNode(helper.name, helper.peerAddress);
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
Gossiper::RunMesh()
{
  int round = 0;
  while (Wait(
    std::chrono::milliseconds(RandomBetween(kMeshInterval.count() * 3 / 4, kMeshInterval.count() * 5 / 4)))) {
    ++round;
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
      const bool far = members.front().region != m_settings.region;
      if (far && round % kFarRounds != 0) {
        continue;
      }
      const auto choice = RandomBetween(0, static_cast<int64_t>(members.size()) - 1);
      Exchange(members[static_cast<size_t>(choice)], GossipScope::Mesh, far ? kFarTimeout : kProbeTimeout);
    }
  }
}

void
Gossiper::SpreadNow()
{
  {
    const std::lock_guard lock(m_mutex);
    m_urgent = true;
  }
  m_wake.notify_all();
}

void
Gossiper::RunUrgent()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    if (!m_urgent) {
      m_wake.wait(lock);
      continue;
    }
    m_urgent = false;
    lock.unlock();
    std::vector<wire::Member> partners = m_table.Reachable(m_settings.failureDomain);
    std::shuffle(partners.begin(), partners.end(), RandomEngine());
    partners.resize(std::min(partners.size(), kUrgentPartners));
    for (const wire::Member& partner : partners) {
      Exchange(partner, GossipScope::Domain, kProbeTimeout);
    }
    lock.lock();
  }
}

// --- exchanges -------------------------------------------------------------------------------------------

wire::Gossip
Gossiper::MakeGossip(GossipScope aScope, bool aFull) const
{
  wire::Gossip gossip;
  gossip.sentAt = StampNow();
  gossip.sender = m_settings.name;
  gossip.full = aFull;
  gossip.mesh = aScope == GossipScope::Mesh;
  gossip.members = aFull ? m_table.All() : m_table.Recent(aScope, kRecordsInExchange, SteadyClock::now());
  gossip.version = m_fetcher.HeldVersion();
  gossip.digest = m_table.Digest();
  return gossip;
}

bool
Gossiper::TakeFullSync(const std::string& aName)
{
  const std::lock_guard lock(m_mutex);
  const Deadline now = SteadyClock::now();
  Deadline& again = m_fullSyncAgain[aName];
  if (!m_wantsFullSync[aName] || now < again) {
    return false;
  }
  m_wantsFullSync[aName] = false;
  again = now + kFullSyncInterval;
  return true;
}

bool
Gossiper::Exchange(const wire::Member& aMember, GossipScope aScope, std::chrono::milliseconds aTimeout)
{
  const Result<std::shared_ptr<NodeClient>> client = m_peers.ToNode(aMember.name, aMember.peerAddress);
  if (!client) {
    return false;
  }
  const wire::Gossip gossip = MakeGossip(aScope, TakeFullSync(aMember.name));
  wire::GossipReply reply;
  const Result<void> called = client.value()->Call(
    SteadyClock::now() + aTimeout, [&](wire::NodePeerClient& aClient) { aClient.exchange(reply, gossip); });
  if (!called || reply.name != aMember.name) {
    return false;
  }
  NoteReply(aMember, reply);
  return true;
}

bool
Gossiper::ExchangeWithSeed(const Address& aSeed)
{
  const Result<std::shared_ptr<NodeClient>> client = m_peers.ToNode(aSeed.Text(), aSeed.Text());
  const wire::Gossip gossip = MakeGossip(GossipScope::Mesh, true);
  wire::GossipReply reply;
  const bool called =
    client && client.value()->Call(SteadyClock::now() + kProbeTimeout,
                                   [&](wire::NodePeerClient& aClient) { aClient.exchange(reply, gossip); });
  if (called) {
    m_table.Merge(reply.members, SteadyClock::now());
  }
  return called;
}

void
Gossiper::NoteReply(const wire::Member& aMember, const wire::GossipReply& aReply)
{
  Observe(aReply.sentAt);
  m_table.Merge(aReply.members, SteadyClock::now());
  // The far region gets its configuration through its own control replicas, not over the link from nodes.
  if (aMember.region == m_settings.region) {
    m_fetcher.Notice(aMember.name, aReply.version);
  }
  if (aReply.digest != m_table.Digest()) {
    const std::lock_guard lock(m_mutex);
    m_wantsFullSync[aMember.name] = true;
  }
}

static bool
Contains(const std::vector<wire::Member>& aMembers, const wire::Member& aMember)
{
  return std::find(aMembers.begin(), aMembers.end(), aMember) != aMembers.end();
}

wire::GossipReply
Gossiper::Answer(const wire::Gossip& aGossip)
{
  Observe(aGossip.sentAt);
  const Deadline now = SteadyClock::now();
  m_table.Merge(aGossip.members, now);
  const std::optional<wire::Member> sender = m_table.Find(aGossip.sender);
  if (sender && sender->region == m_settings.region) {
    m_fetcher.Notice(aGossip.sender, aGossip.version);
  }
  wire::GossipReply reply;
  reply.name = m_settings.name;
  const GossipScope scope = aGossip.mesh ? GossipScope::Mesh : GossipScope::Domain;
  reply.members = aGossip.full ? m_table.All() : m_table.Recent(scope, kRecordsInExchange, now);
  std::erase_if(reply.members,
                [&](const wire::Member& aMember) { return Contains(aGossip.members, aMember); });
  reply.version = m_fetcher.HeldVersion();
  reply.sentAt = StampNow();
  reply.digest = m_table.Digest();
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
