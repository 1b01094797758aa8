#include "control/rolloutcollector.h"

namespace mimosarun {

static constexpr std::chrono::milliseconds kPullTimeout{ 400 };
static constexpr unsigned int kWorkers = 3;

RolloutCollector::RolloutCollector(Options aOptions, OutcomeTable& aOutcomes)
  : m_options(std::move(aOptions))
  , m_outcomes(aOutcomes)
  , m_workers({ .threads = kWorkers, .queueLimit = 64 })
{
}

void
RolloutCollector::Collect()
{
  for (const wire::Replica& replica : m_options.otherReplicas()) {
    {
      const std::lock_guard lock(m_mutex);
      if (!m_underWay.insert(replica.name).second) {
        continue;
      }
    }
    if (!m_workers.Post([this, name = replica.name] { CollectFrom(name); })) {
      const std::lock_guard lock(m_mutex);
      m_underWay.erase(replica.name);
    }
  }
}

void
RolloutCollector::CollectFrom(const std::string& aReplica)
{
  if (const std::shared_ptr<PeerClient> peer = m_options.peerOf(aReplica)) {
    std::vector<wire::NodeOutcomes> reports;
    const Result<void> called =
      peer->Call(SteadyClock::now() + kPullTimeout,
                 [&](wire::ControlPeerClient& aClient) { aClient.outcomes(reports); });
    const Deadline now = SteadyClock::now();
    for (const wire::NodeOutcomes& report : called ? reports : std::vector<wire::NodeOutcomes>()) {
      m_outcomes.Add(report, now);
    }
  }
  const std::lock_guard lock(m_mutex);
  m_underWay.erase(aReplica);
}

} // namespace mimosarun
