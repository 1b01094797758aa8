#define BOOST_TEST_MODULE quotaadmission
#include "caller/quotaadmission.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace mimosarun;
using std::chrono::milliseconds;

/** So low that no token comes from the floor of nodes without contact. */
static constexpr double kRate = 0.001;

/** A pool of one team, and a call that requests a token from it. */
struct Fixture
{
  Fixture()
  {
    pool.SetTeams(
      1, { { "team", { .name = "team", .requestsPerSecond = kRate, .burst = 1 } } }, SteadyClock::now());
    auto admission = std::make_shared<QuotaAdmission>(pool, "team", loop);
    loop.Dispatch([this, admission] {
      const Deadline now = SteadyClock::now();
      admission->Request(
        now, now + std::chrono::seconds(20), [this, admission](const QuotaVerdict& aVerdict) {
          decision.set_value(aVerdict.decision);
        });
    });
  }

  void Grant()
  {
    const Deadline now = SteadyClock::now();
    const wire::QuotaRequest report = pool.MakeReport(now);
    wire::QuotaReply reply;
    reply.granted = true;
    reply.intervalMillis = 500;
    wire::QuotaGrant grant;
    grant.allowedTotal = 1;
    grant.validMillis = 1000;
    reply.grants.push_back(grant);
    pool.Accept(report, reply, now, now);
  }

  QuotaPool pool{ { .node = "node", .incarnation = 1, .onReportDue = {} } };
  std::promise<QuotaDecision> decision;
  std::future<QuotaDecision> decided = decision.get_future();
  EventLoop loop;
};

// Guards against calls below the limit that are refused as the ledger replies late.
BOOST_FIXTURE_TEST_CASE(a_call_waits_for_a_late_grant, Fixture)
{
  BOOST_TEST((decided.wait_for(milliseconds(500)) == std::future_status::timeout));
  Grant();
  BOOST_REQUIRE((decided.wait_for(milliseconds(2000)) == std::future_status::ready));
  BOOST_TEST((decided.get() == QuotaDecision::Admitted));
}

// Guards against calls that wait for ever.
BOOST_FIXTURE_TEST_CASE(a_call_without_a_grant_is_refused, Fixture)
{
  BOOST_REQUIRE((decided.wait_for(milliseconds(5000)) == std::future_status::ready));
  BOOST_TEST((decided.get() == QuotaDecision::Refused));
}
