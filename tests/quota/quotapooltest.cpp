#define BOOST_TEST_MODULE quotapool
#include "quota/quotapool.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const Deadline kStart{ std::chrono::hours(1) };

/** So many that none has a token of the floor that they share. */
static constexpr size_t kManyNodes = 100000;

static std::map<std::string, Team>
OneTeam(double aRate)
{
  return { { "free", { .name = "free" } },
           { "team", { .name = "team", .requestsPerSecond = aRate, .burst = aRate } } };
}

/** A pool, and a ledger that grants what the test says. */
struct Fixture
{
  Fixture() { pool.SetTeams(1, OneTeam(100), kStart); }

  QuotaDecision Request(Deadline aNow)
  {
    return pool
      .Request("team", aNow, [this](const QuotaVerdict& aVerdict) { decisions.push_back(aVerdict.decision); })
      .verdict.decision;
  }

  void Grant(int64_t aTokens, double aFallback, Deadline aNow, int32_t aDueMillis = 0)
  {
    const wire::QuotaRequest report = pool.MakeReport(aNow);
    wire::QuotaReply reply;
    reply.granted = true;
    reply.intervalMillis = 500;
    wire::QuotaGrant grant;
    grant.team = 1;
    grant.allowedTotal = (report.usages.empty() ? 0 : report.usages.front().usedTotal) + aTokens;
    grant.validMillis = 1000;
    grant.fallbackMilli = static_cast<int32_t>(aFallback * 1000);
    grant.dueMillis = aDueMillis;
    reply.grants.push_back(grant);
    pool.Accept(report, reply, aNow, aNow);
  }

  int AdmittedOf(int aRequests, Deadline aNow)
  {
    int admitted = 0;
    for (int request = 0; request < aRequests; ++request) {
      admitted += Request(aNow) == QuotaDecision::Admitted ? 1 : 0;
    }
    return admitted;
  }

  int wakes = 0;
  QuotaPool pool{ { .node = "node", .incarnation = 1, .onReportDue = [this] { ++wakes; } } };
  std::vector<QuotaDecision> decisions;
};

// Guards against requests of teams without a limit that depend on control.
BOOST_FIXTURE_TEST_CASE(teams_without_a_limit_are_admitted, Fixture)
{
  BOOST_TEST((pool.Request("free", kStart, {}).verdict.decision == QuotaDecision::Admitted));
  BOOST_TEST((pool.Request("unknown", kStart, {}).verdict.decision == QuotaDecision::Admitted));
  BOOST_TEST(!pool.NextReportAt(kStart).has_value());
}

// Guards against requests that are refused while the quota has room elsewhere.
BOOST_FIXTURE_TEST_CASE(a_request_without_a_token_waits_for_a_grant, Fixture)
{
  BOOST_TEST((Request(kStart) == QuotaDecision::Waiting));
  BOOST_TEST((Request(kStart) == QuotaDecision::Waiting));
  BOOST_TEST(wakes == 2);
  BOOST_TEST((pool.NextReportAt(kStart) == kStart));
  Grant(1, 0, kStart, 300);
  BOOST_TEST(decisions.size() == 2);
  BOOST_TEST((decisions.front() == QuotaDecision::Admitted));
  BOOST_TEST((decisions.back() == QuotaDecision::Refused));
  // The ledger said when there is room, so it isn't asked before.
  BOOST_TEST((Request(kStart + milliseconds(299)) == QuotaDecision::Refused));
  BOOST_TEST((Request(kStart + milliseconds(301)) == QuotaDecision::Waiting));
}

// Guards against a token that is lost when a call can't be sent.
BOOST_FIXTURE_TEST_CASE(a_returned_token_is_used_again, Fixture)
{
  Request(kStart);
  Grant(2, 0, kStart);
  BOOST_TEST(AdmittedOf(2, kStart) == 1);
  pool.Return("team");
  BOOST_TEST(AdmittedOf(2, kStart) == 1);
}

// Guards against a grant that is used after the ledger has written it off.
BOOST_FIXTURE_TEST_CASE(an_expired_grant_admits_nothing, Fixture)
{
  Request(kStart);
  Grant(10, 0, kStart);
  BOOST_TEST(AdmittedOf(1, kStart + milliseconds(999)) == 1);
  BOOST_TEST(AdmittedOf(1, kStart + milliseconds(1000)) == 0);
}

// Guards against nodes that refuse everything, or admit everything, when control is lost.
BOOST_FIXTURE_TEST_CASE(without_contact_the_fallback_rate_applies_until_it_ends, Fixture)
{
  Request(kStart);
  Grant(0, 10, kStart);
  pool.LoseContact(kStart + milliseconds(600));
  int admitted = 0;
  for (int millis = 600; millis < 20000; millis += 10) {
    admitted += AdmittedOf(1, kStart + milliseconds(millis));
  }
  // 7.5 s at 10 per second, then 12 s at 2 per second: 2% of the limit of 100, for this node alone.
  BOOST_TEST(admitted >= 96);
  BOOST_TEST(admitted <= 101);
}

// Guards against a node that resumes after a suspension with the tokens of all that time.
BOOST_FIXTURE_TEST_CASE(a_suspension_gathers_no_tokens, Fixture)
{
  Request(kStart);
  Grant(50, 10, kStart);
  pool.LoseContact(kStart + seconds(7));
  BOOST_TEST(AdmittedOf(100, kStart + seconds(7)) <= 5);
}

// Guards against requests below the limit that are refused while a lost leader is replaced.
BOOST_FIXTURE_TEST_CASE(requests_wait_for_a_new_leader, Fixture)
{
  pool.SetNodeCount(kManyNodes);
  Request(kStart);
  Grant(1, 0, kStart);
  pool.LoseContact(kStart + seconds(1));
  BOOST_TEST((Request(kStart + milliseconds(1100)) == QuotaDecision::Waiting));
  pool.LoseContact(kStart + milliseconds(1500));
  BOOST_TEST(decisions.size() == 1);
  BOOST_TEST(pool.HasUnreportedRequests());
  Grant(1, 0, kStart + milliseconds(1600));
  BOOST_REQUIRE(decisions.size() == 2);
  BOOST_TEST((decisions.back() == QuotaDecision::Admitted));
}

// Guards against requests that wait in vain for a leader that isn't replaced soon.
BOOST_FIXTURE_TEST_CASE(requests_are_refused_at_once_when_contact_is_lost_for_long, Fixture)
{
  pool.SetNodeCount(kManyNodes);
  Request(kStart);
  Grant(1, 0, kStart);
  pool.LoseContact(kStart + seconds(1));
  pool.LoseContact(kStart + seconds(2));
  BOOST_TEST((Request(kStart + milliseconds(3001)) == QuotaDecision::Refused));
}

// Guards against requests beyond the limit that wait for a leader which has no room for them either.
BOOST_FIXTURE_TEST_CASE(a_team_at_its_limit_does_not_wait_for_a_new_leader, Fixture)
{
  pool.SetNodeCount(kManyNodes);
  Request(kStart);
  Grant(0, 0, kStart, 500);
  pool.LoseContact(kStart + seconds(1));
  BOOST_TEST((Request(kStart + milliseconds(1100)) == QuotaDecision::Refused));
}

// Guards against requests that wait for a ledger although the fallback rate has room.
BOOST_FIXTURE_TEST_CASE(a_waiting_request_uses_the_fallback_rate, Fixture)
{
  Request(kStart);
  Grant(1, 10, kStart);
  const QuotaPool::Ticket ticket =
    pool.Request("team", kStart + milliseconds(400), [](const QuotaVerdict&) {});
  BOOST_TEST((ticket.verdict.decision == QuotaDecision::Waiting));
  BOOST_TEST(!pool.TryFallback("team", ticket.identifier, kStart + milliseconds(499)).has_value());
  const auto verdict = pool.TryFallback("team", ticket.identifier, kStart + milliseconds(610));
  BOOST_REQUIRE(verdict.has_value());
  BOOST_TEST((verdict->decision == QuotaDecision::Admitted));
  BOOST_TEST(!pool.EndWait("team", ticket.identifier, kStart + milliseconds(620)).has_value());
}

// Guards against half a second without a report when the replica that was asked doesn't lead.
BOOST_FIXTURE_TEST_CASE(a_report_that_reached_no_leader_is_due_again_at_once, Fixture)
{
  Request(kStart);
  Grant(1, 1, kStart);
  pool.MakeReport(kStart + milliseconds(500));
  pool.ReportAgain(kStart + milliseconds(510));
  BOOST_TEST((pool.NextReportAt(kStart + milliseconds(510)) == kStart + milliseconds(510)));
}

// Guards against a wait that outlasts its time when control doesn't reply.
BOOST_FIXTURE_TEST_CASE(a_wait_ends_once, Fixture)
{
  const QuotaPool::Ticket ticket = pool.Request("team", kStart, [](const QuotaVerdict&) {});
  const auto verdict = pool.EndWait("team", ticket.identifier, kStart + milliseconds(80));
  BOOST_TEST(verdict.has_value());
  BOOST_TEST(!pool.EndWait("team", ticket.identifier, kStart + milliseconds(80)).has_value());
}

// Guards against a node that uses grants of a limit that has been lowered.
BOOST_FIXTURE_TEST_CASE(a_lower_limit_scales_the_grant, Fixture)
{
  Request(kStart);
  Grant(41, 0, kStart);
  pool.SetTeams(2, OneTeam(25), kStart);
  BOOST_TEST(AdmittedOf(100, kStart) == 10);
}

// Guards against waits for a limit that no longer exists.
BOOST_FIXTURE_TEST_CASE(requests_that_wait_are_admitted_when_the_limit_is_removed, Fixture)
{
  Request(kStart);
  pool.SetTeams(2, { { "team", { .name = "team" } } }, kStart);
  BOOST_TEST(decisions.size() == 1);
  BOOST_TEST((decisions.front() == QuotaDecision::Admitted));
  BOOST_TEST(!pool.HasLimits());
}

// Guards against reports that never end for a team without traffic.
BOOST_FIXTURE_TEST_CASE(reports_end_when_nothing_is_held, Fixture)
{
  Request(kStart);
  Grant(1, 1, kStart);
  BOOST_TEST(pool.NextReportAt(kStart).has_value());
  Grant(0, 0, kStart + seconds(1));
  BOOST_TEST(!pool.NextReportAt(kStart + seconds(1)).has_value());
}
