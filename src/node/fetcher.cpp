#include "node/fetcher.h"

#include <utility>

namespace mimosarun {

static constexpr std::chrono::milliseconds kFetchTimeout{ 1500 };
/** Time for the own failure domain's relays to deliver a version before it is fetched from another domain. */
static constexpr std::chrono::milliseconds kRelayGracePeriod{ 900 };
/** A held version that no update is based on, so that the full configuration is sent. */
static constexpr int64_t kNoVersion = -1;

ConfigurationFetcher::ConfigurationFetcher(ConfigurationHolder& aHolder,
                                           MemberTable& aTable,
                                           PeerConnections& aPeers)
  : m_holder(aHolder)
  , m_table(aTable)
  , m_peers(aPeers)
  , m_thread([this] { Run(); })
{
}

ConfigurationFetcher::~ConfigurationFetcher()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  m_thread.join();
}

int64_t
ConfigurationFetcher::HeldVersion() const
{
  return m_holder.Current()->version;
}

void
ConfigurationFetcher::FetchIfNewer(const std::string& aMember, int64_t aVersion)
{
  if (aVersion <= HeldVersion()) {
    return;
  }
  {
    const std::lock_guard lock(m_mutex);
    if (aVersion < m_wantedVersion && !m_sourceMember.empty()) {
      return;
    }
    m_sourceMember = aMember;
    m_wantedVersion = aVersion;
  }
  m_wake.notify_all();
}

void
ConfigurationFetcher::FetchFromOtherDomainIfLate(const std::string& aMember, int64_t aVersion)
{
  const Deadline now = SteadyClock::now();
  {
    const std::lock_guard lock(m_mutex);
    if (aVersion <= HeldVersion()) {
      m_behindSince.reset();
      return;
    }
    m_behindSince = m_behindSince.value_or(now);
    if (now < *m_behindSince + kRelayGracePeriod) {
      return;
    }
  }
  FetchIfNewer(aMember, aVersion);
}

void
ConfigurationFetcher::Run()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    if (m_sourceMember.empty()) {
      m_wake.wait(lock);
      continue;
    }
    const std::string source = std::exchange(m_sourceMember, "");
    lock.unlock();
    FetchFrom(source);
    lock.lock();
  }
}

bool
ConfigurationFetcher::FetchFrom(const std::string& aMember)
{
  const std::optional<wire::Member> member = m_table.Find(aMember);
  if (!member) {
    return false;
  }
  const Result<std::shared_ptr<NodeClient>> client = m_peers.ClientFor(member->name, member->peerAddress);
  if (!client) {
    return false;
  }
  for (const int64_t heldVersion : { HeldVersion(), kNoVersion }) {
    wire::ConfigurationUpdate update;
    const Result<void> fetched =
      client.value()->Call(SteadyClock::now() + kFetchTimeout,
                           [&](wire::NodePeerClient& aClient) { aClient.fetch(update, heldVersion); });
    if (!fetched || update.toVersion <= HeldVersion()) {
      return false;
    }
    if (m_holder.Apply(update, aMember)) {
      return true;
    }
  }
  return false;
}

} // namespace mimosarun
