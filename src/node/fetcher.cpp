#include "node/fetcher.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

static constexpr std::chrono::milliseconds kFetchTimeout{ 1500 };
/** Time for the own failure domain to deliver a version before it is fetched from another domain. */
static constexpr std::chrono::milliseconds kOwnDomainGracePeriod{ 900 };
/** Longest time of a long poll; after it, control has delivered a version or counts as silent. */
static constexpr std::chrono::milliseconds kControlGracePeriod{ 1500 };
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
  Stop();
}

void
ConfigurationFetcher::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

int64_t
ConfigurationFetcher::HeldVersion() const
{
  return m_holder.Current()->version;
}

void
ConfigurationFetcher::FetchIfNewer(const std::string& aMember, int64_t aVersion)
{
  Propose({ .member = aMember, .version = aVersion, .isInOwnDomain = true });
}

void
ConfigurationFetcher::FetchFromOtherDomainIfNewer(const std::string& aMember, int64_t aVersion)
{
  Propose({ .member = aMember, .version = aVersion, .isInOwnDomain = false });
}

void
ConfigurationFetcher::SetControlAnswers(bool aAnswers)
{
  {
    const std::lock_guard lock(m_mutex);
    m_controlAnswers = aAnswers;
  }
  m_wake.notify_all();
}

void
ConfigurationFetcher::Propose(Source aSource)
{
  const int64_t heldVersion = HeldVersion();
  if (aSource.version <= heldVersion) {
    return;
  }
  {
    const std::lock_guard lock(m_mutex);
    if (heldVersion != m_outdatedVersion) {
      m_outdatedVersion = heldVersion;
      m_outdatedSince = SteadyClock::now();
    }
    if (m_source && aSource.version < m_source->version) {
      return;
    }
    const bool isSameVersion = m_source && aSource.version == m_source->version;
    if (isSameVersion && m_source->isInOwnDomain && !aSource.isInOwnDomain) {
      return;
    }
    m_source = std::move(aSource);
  }
  m_wake.notify_all();
}

Deadline
ConfigurationFetcher::FetchTime(const Source& aSource) const
{
  Deadline time = m_outdatedSince;
  if (!aSource.isInOwnDomain) {
    time += kOwnDomainGracePeriod;
  }
  if (m_controlAnswers) {
    time = std::max(time, m_outdatedSince + kControlGracePeriod);
  }
  return time;
}

void
ConfigurationFetcher::Run()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    if (!m_source) {
      m_wake.wait(lock);
      continue;
    }
    if (m_source->version <= HeldVersion()) {
      m_source.reset();
      continue;
    }
    const Deadline fetchTime = FetchTime(*m_source);
    if (SteadyClock::now() < fetchTime) {
      m_wake.wait_until(lock, fetchTime);
      continue;
    }
    const std::string member = m_source->member;
    m_source.reset();
    lock.unlock();
    FetchFrom(member);
    lock.lock();
  }
}

void
ConfigurationFetcher::FetchFrom(const std::string& aMember)
{
  const std::optional<wire::Member> member = m_table.Find(aMember);
  if (!member) {
    return;
  }
  const Result<std::shared_ptr<NodeClient>> client = m_peers.ClientFor(member->name, member->peerAddress);
  if (!client) {
    return;
  }
  for (const int64_t heldVersion : { HeldVersion(), kNoVersion }) {
    wire::ConfigurationUpdate update;
    const Result<void> fetched =
      client.value()->Call(SteadyClock::now() + kFetchTimeout,
                           [&](wire::NodePeerClient& aClient) { aClient.fetch(update, heldVersion); });
    if (!fetched || update.toVersion <= HeldVersion()) {
      return;
    }
    if (m_holder.Apply(update, aMember)) {
      return;
    }
  }
}

} // namespace mimosarun
