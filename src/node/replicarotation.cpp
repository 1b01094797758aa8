#include "node/replicarotation.h"

#include "common/random.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/** Time between attempts to return to the preferred replica. */
static constexpr std::chrono::seconds kPreferredReplicaInterval{ 10 };

ReplicaRotation::ReplicaRotation(Options aOptions, std::vector<ReplicaSettings> aSeeds)
  : m_options(std::move(aOptions))
  , m_seeds(std::move(aSeeds))
{
  Replace(m_seeds);
}

void
ReplicaRotation::SetSeeds(std::vector<ReplicaSettings> aSeeds)
{
  if (aSeeds.empty()) {
    // It names nothing better than the replicas that were reached before.
    return;
  }
  const std::lock_guard lock(m_mutex);
  m_seeds = std::move(aSeeds);
}

std::vector<ReplicaSettings>
ReplicaRotation::Seeds() const
{
  const std::lock_guard lock(m_mutex);
  return m_seeds;
}

std::vector<ReplicaSettings>
ReplicaRotation::Replicas() const
{
  const std::lock_guard lock(m_mutex);
  return m_replicas;
}

void
ReplicaRotation::Replace(std::vector<ReplicaSettings> aReplicas)
{
  if (aReplicas.empty()) {
    return;
  }
  std::shuffle(aReplicas.begin(), aReplicas.end(), RandomEngine());
  std::stable_sort(aReplicas.begin(), aReplicas.end(), [this](const auto& aLeft, const auto& aRight) {
    return DistanceTo(aLeft) < DistanceTo(aRight);
  });
  {
    const std::lock_guard lock(m_mutex);
    m_replicas = std::move(aReplicas);
  }
  m_current = 0;
  m_clients.clear();
  for (const ReplicaSettings& replica : m_replicas) {
    m_clients.push_back(std::make_unique<Client>(replica.address));
  }
}

int
ReplicaRotation::DistanceTo(const ReplicaSettings& aReplica) const
{
  if (aReplica.failureDomain == m_options.failureDomain) {
    return 0;
  }
  return aReplica.region == m_options.region ? 1 : 2;
}

ReplicaRotation::Client*
ReplicaRotation::Current(Deadline aNow)
{
  if (m_clients.empty()) {
    return nullptr;
  }
  if (m_current != 0 && aNow >= m_nextPreferredTry) {
    m_nextPreferredTry = aNow + kPreferredReplicaInterval;
    m_current = 0;
  }
  return m_clients[m_current].get();
}

std::string
ReplicaRotation::CurrentName() const
{
  return m_replicas.empty() ? std::string() : m_replicas[m_current].name;
}

void
ReplicaRotation::RecordFailure(Deadline aNow)
{
  ++m_consecutiveFailures;
  if (m_current == 0) {
    m_nextPreferredTry = aNow + kPreferredReplicaInterval;
  }
  TurnToNext();
}

void
ReplicaRotation::TurnToNext()
{
  if (m_clients.empty()) {
    return;
  }
  m_current = (m_current + 1) % m_clients.size();
  if (m_current == 0 && m_options.isDiscovering && m_consecutiveFailures >= m_clients.size()) {
    // No known replica answers. The replicas of the settings may know the current ones.
    Replace(Seeds());
  }
}

void
ReplicaRotation::Adopt(const std::vector<wire::Replica>& aReplicas)
{
  if (!m_options.isDiscovering) {
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
  if (replicas != current) {
    Replace(std::move(replicas));
  }
}

bool
ReplicaRotation::UseSeedsIfEmpty()
{
  if (m_clients.empty()) {
    Replace(Seeds());
  }
  return !m_clients.empty();
}

} // namespace mimosarun
