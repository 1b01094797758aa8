#define BOOST_TEST_MODULE versionsplitter
#include "rollout/versionsplitter.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <set>
#include <vector>

using namespace mimosarun;

static const Deadline kNow{ std::chrono::hours(1) };

static bool
IsCandidate(const GateTurn& aTurn)
{
  return aTurn.group != GateGroup::Allowed;
}

// Guards against a node that exceeds the exposure limit, also while the share changes.
BOOST_AUTO_TEST_CASE(a_candidate_never_gets_more_than_its_share_and_one_call)
{
  const bool holds = rc::check([] {
    const auto phases = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 1001),  // permille
                    rc::gen::inRange(0, 300))); // calls
    VersionSplitter splitter;
    int64_t shareMilli = 0;
    int64_t candidateCalls = 0;
    for (const auto& [permille, calls] : phases) {
      for (int call = 0; call < calls; ++call) {
        shareMilli += permille;
        candidateCalls += IsCandidate(splitter.Next("books", { .permille = permille }, kNow)) ? 1 : 0;
        RC_ASSERT(candidateCalls * 1000 <= shareMilli + 1000);
        RC_ASSERT(candidateCalls * 1000 > shareMilli - 1000);
      }
    }
  });
  BOOST_TEST(holds);
}

// Guards against an exposure that grows with the number of nodes when each has few calls.
BOOST_AUTO_TEST_CASE(many_nodes_with_few_calls_keep_to_the_share)
{
  int candidateCalls = 0;
  for (int node = 0; node < 1000; ++node) {
    VersionSplitter splitter;
    for (int call = 0; call < 10; ++call) {
      candidateCalls += IsCandidate(splitter.Next("books", { .permille = 40 }, kNow)) ? 1 : 0;
    }
  }
  // 400 are expected; the deviation of the sum of 1,000 nodes is 15.5.
  BOOST_TEST(std::abs(candidateCalls - 400) < 78, candidateCalls);
}

BOOST_AUTO_TEST_CASE(no_share_means_no_call_and_a_full_share_all)
{
  VersionSplitter splitter;
  for (int call = 0; call < 2000; ++call) {
    BOOST_TEST(!IsCandidate(splitter.Next("books", { .permille = 0 }, kNow)));
  }
  for (int call = 0; call < 100; ++call) {
    BOOST_TEST(IsCandidate(splitter.Next("books", { .permille = 1000 }, kNow)));
  }
}

/** Counts of calls by the gates that they go to. */
static std::map<GateGroup, int>
CountGroups(int aPermille, double aTurnsPerSecond, std::chrono::milliseconds aInterval, int aCalls)
{
  VersionSplitter splitter;
  std::map<GateGroup, int> groups;
  std::set<size_t> turns;
  for (int call = 0; call < aCalls; ++call) {
    const GateTurn turn = splitter.Next(
      "books", { .permille = aPermille, .turnsPerSecond = aTurnsPerSecond }, kNow + aInterval * call);
    ++groups[turn.group];
    if (turn.group == GateGroup::OneCandidate) {
      turns.insert(turn.turn);
    }
  }
  BOOST_TEST(turns.size() == static_cast<size_t>(groups[GateGroup::OneCandidate]));
  if (!turns.empty()) {
    BOOST_TEST(*turns.rbegin() - *turns.begin() + 1 == turns.size());
  }
  return groups;
}

// Guards against new targets without any calls for seconds, which cost money.
BOOST_AUTO_TEST_CASE(gates_beside_the_canaries_get_calls_at_a_steady_rate)
{
  // 1,000 candidate calls in 100 s.
  const auto groups = CountGroups(100, 2, std::chrono::milliseconds(10), 10000);
  BOOST_TEST(std::abs(groups.at(GateGroup::OneCandidate) - 200) <= 20);
  BOOST_TEST(groups.at(GateGroup::OneCandidate) + groups.at(GateGroup::Canaries) >= 999);
}

// Guards against canaries that get too few calls to show how they bear a usual load.
BOOST_AUTO_TEST_CASE(canaries_get_two_of_five_calls_at_least)
{
  const auto groups = CountGroups(100, 50, std::chrono::milliseconds(10), 10000);
  BOOST_TEST(std::abs(groups.at(GateGroup::OneCandidate) - 600) <= 2);
}

BOOST_AUTO_TEST_CASE(without_other_gates_all_calls_go_to_the_canaries)
{
  const auto groups = CountGroups(100, 0, std::chrono::milliseconds(10), 10000);
  BOOST_TEST(groups.at(GateGroup::OneCandidate) == 0);
}

// Guards against a turn that is due when the last other gate has become a canary.
BOOST_AUTO_TEST_CASE(a_turn_that_is_due_ends_with_the_other_gates)
{
  VersionSplitter splitter;
  const auto later = [](int aSeconds) { return kNow + std::chrono::seconds(aSeconds); };
  int turns = 0;
  for (int call = 0; call < 100; ++call) {
    splitter.Next("books", { .permille = 1000, .turnsPerSecond = 50 }, later(2 * call));
    const GateTurn turn = splitter.Next("books", { .permille = 1000 }, later(2 * call + 1));
    turns += turn.group == GateGroup::OneCandidate ? 1 : 0;
  }
  BOOST_TEST(turns == 0);
}
