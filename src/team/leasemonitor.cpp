#include "team/leasemonitor.h"

#include "common/log.h"

namespace mimosarun {

/** A node gets its first lease within two polls of its first configuration. */
static constexpr std::chrono::milliseconds kUnreportedGap{ 1000 };

LeaseMonitor::LeaseMonitor(const CredentialLease& aLease, Metrics& aMetrics)
  : m_lease(aLease)
  , m_metrics(aMetrics)
  , m_lastHeldAt(SteadyClock::now())
{
}

void
LeaseMonitor::Check(const Snapshot& aSnapshot, Deadline aNow)
{
  const bool isHeld = !aSnapshot.configuration.hasTeams || m_lease.Holds(aSnapshot.version, aNow);
  if (isHeld) {
    m_lastHeldAt = aNow;
  }
  if (isHeld == m_isReportedHeld || (!isHeld && aNow < m_lastHeldAt + kUnreportedGap)) {
    return;
  }
  m_isReportedHeld = isHeld;
  if (!isHeld) {
    m_metrics
      .Counter("mimosarun_credential_lease_expirations_total", "Times that the lease on keys ran out", {})
      .Increment();
  }
  Log(isHeld ? Event::CredentialLeaseHeld : Event::CredentialLeaseExpired,
      { { "version", aSnapshot.version } });
}

} // namespace mimosarun
