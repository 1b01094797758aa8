#define BOOST_TEST_MODULE quotaledger
#include "quota/quotaledger.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const Deadline kStart{ std::chrono::hours(1) };

static std::map<std::string, Team>
OneTeam(double aRate, double aBurst)
{
  return { { "team", { .name = "team", .requestsPerSecond = aRate, .burst = aBurst } } };
}

static QuotaLedger
MakeLedger(const std::map<std::string, Team>& aTeams)
{
  QuotaLedger ledger({ .tolerance = {}, .startedAt = kStart - std::chrono::hours(1) });
  ledger.SetTeams(1, aTeams, kStart);
  return ledger;
}

static wire::QuotaRequest
MakeReport(const std::string& aNode, int64_t aSequence, int64_t aUsed, int32_t aWaiting, double aDemand = 50)
{
  wire::QuotaRequest request;
  request.node = aNode;
  request.incarnation = 1;
  request.sequence = aSequence;
  request.version = 1;
  wire::QuotaUsage usage;
  usage.usedTotal = aUsed;
  usage.waiting = aWaiting;
  usage.demandMilli = static_cast<int32_t>(aDemand * 1000);
  request.usages.push_back(usage);
  return request;
}

static int64_t
Granted(QuotaLedger& aLedger, const wire::QuotaRequest& aRequest, Deadline aNow)
{
  const wire::QuotaReply reply = aLedger.Handle(aRequest, aNow);
  return reply.grants.empty() ? 0 : reply.grants.front().allowedTotal - aRequest.usages.front().usedTotal;
}

// Guards against a busy team that gets more than its bucket holds, apart from the tolerated debt.
BOOST_AUTO_TEST_CASE(a_node_gets_no_more_than_bucket_and_debt)
{
  QuotaLedger ledger = MakeLedger(OneTeam(10, 10));
  const int64_t granted = Granted(ledger, MakeReport("a", 1, 0, 1000), kStart);
  BOOST_TEST(granted >= 10);
  BOOST_TEST(granted <= 10 + 11);
  BOOST_TEST(Granted(ledger, MakeReport("b", 1, 0, 1000), kStart) == 0);
}

// Guards against tokens that are lost when a node doesn't use them.
BOOST_AUTO_TEST_CASE(unused_tokens_return_with_the_next_report)
{
  QuotaLedger ledger = MakeLedger(OneTeam(100, 100));
  BOOST_TEST(Granted(ledger, MakeReport("a", 1, 0, 90), kStart) >= 90);
  ledger.Handle(MakeReport("a", 2, 0, 0, 0), kStart);
  // The grant before may be in use if the reply got lost; the report after it returns all.
  ledger.Handle(MakeReport("a", 3, 0, 0, 0), kStart + milliseconds(1));
  BOOST_TEST(ledger.States(kStart + milliseconds(1)).front().level >= 99);
}

// Guards against double charges when messages are repeated or overtake each other.
BOOST_AUTO_TEST_CASE(repeated_and_outdated_reports_charge_nothing)
{
  QuotaLedger ledger = MakeLedger(OneTeam(100, 100));
  ledger.Handle(MakeReport("a", 1, 0, 0), kStart);
  ledger.Handle(MakeReport("a", 3, 40, 0), kStart);
  const double total = ledger.States(kStart).front().level + ledger.States(kStart).front().kept;
  ledger.Handle(MakeReport("a", 3, 40, 0), kStart);
  BOOST_TEST(ledger.Handle(MakeReport("a", 2, 20, 0), kStart).grants.empty());
  const QuotaState state = ledger.States(kStart).front();
  BOOST_TEST(std::abs(state.level + state.kept - total) < 0.001);
}

// Guards against a silent node that uses its fallback rate besides what the others get.
BOOST_AUTO_TEST_CASE(a_silent_holder_is_charged_at_its_fallback_rate)
{
  QuotaLedger ledger = MakeLedger(OneTeam(100, 100));
  const wire::QuotaReply reply = ledger.Handle(MakeReport("a", 1, 0, 0, 100), kStart);
  BOOST_TEST(reply.grants.front().fallbackMilli == 100000);
  const double level = ledger.States(kStart + seconds(4)).front().level;
  const QuotaState later = ledger.States(kStart + seconds(6)).front();
  BOOST_TEST(later.silentHolders == 1);
  BOOST_TEST(later.level <= level + 1);
  BOOST_TEST(ledger.States(kStart + seconds(9)).front().holders == 0);
}

// Guards against a new leader that grants what nodes hold from the one before.
BOOST_AUTO_TEST_CASE(a_new_ledger_refills_only_by_the_rates_that_it_has_heard_of)
{
  QuotaLedger ledger({ .tolerance = {}, .startedAt = kStart });
  ledger.SetTeams(1, OneTeam(100, 100), kStart);
  wire::QuotaRequest report = MakeReport("a", 1, 0, 1000);
  report.usages.front().fallbackMilli = 30000;
  const int64_t granted = Granted(ledger, report, kStart);
  BOOST_TEST(granted <= 33);
  ledger.Handle(MakeReport("a", 2, granted, 0), kStart + milliseconds(500));
  const QuotaState state = ledger.States(kStart + milliseconds(500)).front();
  BOOST_TEST(std::abs(state.level + state.kept - (15 - static_cast<double>(granted))) < 0.1);
  BOOST_TEST((state.mode == QuotaMode::Learning));
}

// Guards against requests refused after a change of the leader although the team has used little.
BOOST_AUTO_TEST_CASE(a_new_ledger_knows_from_low_demand_that_tokens_are_left)
{
  QuotaLedger ledger({ .tolerance = {}, .startedAt = kStart });
  ledger.SetTeams(1, OneTeam(100, 100), kStart);
  wire::QuotaRequest report = MakeReport("a", 1, 0, 50, 20);
  report.usages.front().fallbackMilli = 40000;
  BOOST_TEST(Granted(ledger, report, kStart) >= 50);
  BOOST_TEST(ledger.States(kStart).front().level < 0);
}

static wire::QuotaRequest
MakeReportOfProcess(const std::string& aNode, milliseconds aAge, double aDemand)
{
  wire::QuotaRequest request = MakeReport(aNode, 1, 0, 10, aDemand);
  request.ageMillis = aAge.count();
  return request;
}

// Guards against eight seconds without any quota after all nodes and the leader have lost power.
BOOST_AUTO_TEST_CASE(a_new_ledger_grants_at_once_if_the_nodes_have_restarted_too)
{
  QuotaLedger ledger({ .tolerance = {}, .startedAt = kStart });
  ledger.SetTeams(1, OneTeam(100, 100), kStart);
  const Deadline now = kStart + milliseconds(1000);
  for (const std::string node : { "a", "b", "c", "d" }) {
    BOOST_TEST(Granted(ledger, MakeReportOfProcess(node, milliseconds(900), 15), now) >= 10);
  }
}

// Guards against quota that a node which is cut off still uses at its fallback rate.
BOOST_AUTO_TEST_CASE(a_new_ledger_holds_back_what_a_running_process_may_hold)
{
  QuotaLedger ledger({ .tolerance = {}, .startedAt = kStart });
  ledger.SetTeams(1, OneTeam(100, 100), kStart);
  const Deadline now = kStart + milliseconds(1000);
  for (const std::string node : { "a", "b", "c", "d" }) {
    ledger.Handle(MakeReportOfProcess(node, seconds(60), 15), now);
  }
  const QuotaState state = ledger.States(now).front();
  BOOST_TEST(state.level + state.kept <= 0);
}

// Guards against a team that is refused at first because its limit is new.
BOOST_AUTO_TEST_CASE(a_team_that_appears_under_a_ledger_has_a_full_bucket)
{
  QuotaLedger ledger({ .tolerance = {}, .startedAt = kStart });
  ledger.SetTeams(1, {}, kStart);
  ledger.SetTeams(2, OneTeam(100, 100), kStart);
  BOOST_TEST(ledger.States(kStart).front().level == 100);
}

// Guards against an old level that is spent under a lower limit.
BOOST_AUTO_TEST_CASE(a_lower_limit_scales_the_level)
{
  QuotaLedger ledger = MakeLedger(OneTeam(100, 100));
  ledger.SetTeams(2, OneTeam(25, 100), kStart);
  BOOST_TEST(ledger.States(kStart).front().level == 25);
}

// Guards against numbers of an earlier version that are taken for those of other teams.
BOOST_AUTO_TEST_CASE(a_report_is_read_by_the_version_that_it_names)
{
  QuotaLedger ledger = MakeLedger(OneTeam(100, 100));
  std::map<std::string, Team> teams = OneTeam(100, 100);
  teams["another"] = { .name = "another", .requestsPerSecond = 5, .burst = 5 };
  ledger.SetTeams(2, teams, kStart);
  BOOST_TEST(Granted(ledger, MakeReport("a", 1, 0, 90), kStart) >= 90);
  wire::QuotaRequest unknown = MakeReport("a", 2, 0, 1);
  unknown.version = 3;
  BOOST_TEST(ledger.Handle(unknown, kStart).grants.empty());
}
