#include "team/leasemonitor.h"

#include "common/log.h"

namespace mimosarun {

LeaseMonitor::LeaseMonitor(const CredentialLease& aLease, Metrics& aMetrics)
  : m_lease(aLease)
  , m_metrics(aMetrics)
{
}

void
LeaseMonitor::Check(const Snapshot& aSnapshot, Deadline aNow)
{
  const bool isHeld = !aSnapshot.configuration.hasTeams || m_lease.Holds(aSnapshot.version, aNow);
  if (isHeld == m_isHeld) {
    return;
  }
  m_isHeld = isHeld;
  if (!isHeld) {
    m_metrics
      .Counter("mimosarun_credential_lease_expirations_total", "Times that the lease on keys ran out", {})
      .Increment();
  }
  Log(isHeld ? Event::CredentialLeaseHeld : Event::CredentialLeaseExpired,
      { { "version", aSnapshot.version } });
}

} // namespace mimosarun
