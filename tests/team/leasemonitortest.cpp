#define BOOST_TEST_MODULE leasemonitor
#include "team/leasemonitor.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

static Snapshot
MakeSnapshotWithTeams()
{
  Snapshot snapshot{ .version = 1 };
  snapshot.configuration.hasTeams = true;
  return snapshot;
}

static double
Expirations(Metrics& aMetrics)
{
  return aMetrics.Counter("mimosarun_credential_lease_expirations_total", "", {}).Value();
}

// Guards against: each start of a node looks like an expired lease, or an expired lease goes unnoticed.
BOOST_AUTO_TEST_CASE(only_a_lease_that_is_missing_for_long_is_reported_once)
{
  Metrics metrics;
  CredentialLease lease({ .isStrict = true, .bound = milliseconds(5000) });
  const Deadline start = SteadyClock::now();
  LeaseMonitor monitor(lease, metrics);
  const Snapshot snapshot = MakeSnapshotWithTeams();
  monitor.Check(snapshot, start + milliseconds(250));
  wire::Validity validity;
  validity.version = 1;
  lease.Extend(validity, start + milliseconds(400), start + milliseconds(400));
  monitor.Check(snapshot, start + milliseconds(500));
  BOOST_TEST(Expirations(metrics) == 0);
  for (int check = 0; check < 20; ++check) {
    monitor.Check(snapshot, start + milliseconds(5400 + 250 * check));
  }
  BOOST_TEST(Expirations(metrics) == 1);
  lease.Extend(validity, start + milliseconds(11000), start + milliseconds(11000));
  monitor.Check(snapshot, start + milliseconds(11100));
  monitor.Check(snapshot, start + milliseconds(20000));
  BOOST_TEST(Expirations(metrics) == 2);
}
