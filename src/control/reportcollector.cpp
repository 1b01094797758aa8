#include "control/reportcollector.h"

#include "common/random.h"

#include <algorithm>
#include <set>

namespace mimosarun {

static constexpr std::chrono::milliseconds kReportTimeout{ 300 };
static constexpr std::chrono::milliseconds kOwnRegionReportInterval{ 2000 };
static constexpr std::chrono::milliseconds kFirstOtherRegionReportInterval{ 1000 };
static constexpr std::chrono::milliseconds kOtherRegionReportInterval{ 30000 };
/** Random replicas of the own region that are asked for reports in a round; they pass on those of others. */
static constexpr size_t kReportPartners = 3;

ReportCollector::ReportCollector(Options aOptions, ReportStore& aStore)
  : m_options(std::move(aOptions))
  , m_store(aStore)
{
}

ReportCollector::~ReportCollector()
{
  Stop();
}

void
ReportCollector::Start()
{
  m_thread = std::thread([this] { Run(); });
}

void
ReportCollector::Stop()
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

void
ReportCollector::Run()
{
  Deadline nextOtherRegionsAt = SteadyClock::now();
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    lock.unlock();
    for (const wire::Replica& replica : PartnersInRegion()) {
      CollectFrom(replica.name);
    }
    const Deadline now = SteadyClock::now();
    if (now >= nextOtherRegionsAt) {
      // Until the first report arrives, starting nodes learn of no members in the other region.
      nextOtherRegionsAt =
        now + (m_store.HasFreshMembersOfOtherRegion(m_options.region) ? kOtherRegionReportInterval
                                                                      : kFirstOtherRegionReportInterval);
      CollectFromOtherRegions();
    }
    lock.lock();
    m_wake.wait_until(lock, SteadyClock::now() + kOwnRegionReportInterval, [this] { return m_stop; });
  }
}

bool
ReportCollector::CollectFrom(const std::string& aReplica)
{
  const std::shared_ptr<PeerClient> peer = m_options.peerOf(aReplica);
  if (peer == nullptr) {
    return false;
  }
  std::vector<wire::DomainReport> reports;
  const bool wantsMembers =
    !m_store.EachReportHasMembers() || !m_store.HasFreshMembersOfOtherRegion(m_options.region);
  const Result<void> result =
    peer->Call(SteadyClock::now() + kReportTimeout,
               [&](wire::ControlPeerClient& aClient) { aClient.reports(reports, wantsMembers); });
  if (!result) {
    return false;
  }
  for (const wire::DomainReport& report : reports) {
    m_store.AddReport(report, std::chrono::milliseconds(report.ageMillis));
  }
  return true;
}

std::vector<wire::Replica>
ReportCollector::PartnersInRegion() const
{
  std::vector<wire::Replica> replicas = m_options.otherReplicas();
  std::erase_if(replicas, [&](const wire::Replica& aReplica) { return aReplica.region != m_options.region; });
  std::shuffle(replicas.begin(), replicas.end(), RandomEngine());
  replicas.resize(std::min(replicas.size(), kReportPartners));
  return replicas;
}

void
ReportCollector::CollectFromOtherRegions()
{
  std::set<std::string> reachedRegions{ m_options.region };
  for (const wire::Replica& replica : m_options.otherReplicas()) {
    if (!reachedRegions.contains(replica.region) && CollectFrom(replica.name)) {
      reachedRegions.insert(replica.region);
    }
  }
}

} // namespace mimosarun
