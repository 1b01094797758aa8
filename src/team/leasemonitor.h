#pragma once

#include "configuration/snapshot.h"
#include "process/metrics.h"
#include "team/credentiallease.h"

namespace mimosarun {

/** Logs and counts when a node loses and regains the lease on the keys of its configuration. */
class LeaseMonitor
{
public:
  LeaseMonitor(const CredentialLease& aLease, Metrics& aMetrics);

  /** Compares the lease with its state at earlier calls; a short gap, as after a start, isn't reported. */
  void Check(const Snapshot& aSnapshot, Deadline aNow);

private:
  const CredentialLease& m_lease;
  Metrics& m_metrics;
  bool m_isReportedHeld = true;
  Deadline m_lastHeldAt;
};

} // namespace mimosarun
