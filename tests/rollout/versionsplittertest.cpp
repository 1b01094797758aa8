#define BOOST_TEST_MODULE versionsplitter
#include "rollout/versionsplitter.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <set>
#include <vector>

using namespace mimosarun;

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
        candidateCalls += IsCandidate(splitter.Next("books", permille)) ? 1 : 0;
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
      candidateCalls += IsCandidate(splitter.Next("books", 40)) ? 1 : 0;
    }
  }
  // 400 are expected; the deviation of the sum of 1,000 nodes is 15.5.
  BOOST_TEST(std::abs(candidateCalls - 400) < 78, candidateCalls);
}

BOOST_AUTO_TEST_CASE(no_share_means_no_call_and_a_full_share_all)
{
  VersionSplitter splitter;
  for (int call = 0; call < 2000; ++call) {
    BOOST_TEST(!IsCandidate(splitter.Next("books", 0)));
  }
  for (int call = 0; call < 100; ++call) {
    BOOST_TEST(IsCandidate(splitter.Next("books", 1000)));
  }
}

// Guards against new targets without any calls, which cost money.
BOOST_AUTO_TEST_CASE(a_fifth_of_the_canary_calls_go_to_each_candidate_in_turn)
{
  VersionSplitter splitter;
  std::map<GateGroup, int> groups;
  std::set<size_t> turns;
  for (int call = 0; call < 25000; ++call) {
    const GateTurn turn = splitter.Next("books", 40);
    ++groups[turn.group];
    if (turn.group == GateGroup::OneCandidate) {
      turns.insert(turn.turn);
    }
  }
  BOOST_TEST(std::abs(groups[GateGroup::Canaries] - 800) <= 1);
  BOOST_TEST(std::abs(groups[GateGroup::OneCandidate] - 200) <= 1);
  BOOST_TEST(turns.size() == static_cast<size_t>(groups[GateGroup::OneCandidate]));
  BOOST_TEST(*turns.rbegin() - *turns.begin() + 1 == turns.size());
}

// Guards against needless traffic between regions during the ramp.
BOOST_AUTO_TEST_CASE(with_a_large_share_few_calls_go_in_turn)
{
  VersionSplitter splitter;
  int inTurn = 0;
  for (int call = 0; call < 10000; ++call) {
    inTurn += splitter.Next("books", 1000).group == GateGroup::OneCandidate ? 1 : 0;
  }
  BOOST_TEST(std::abs(inTurn - 100) <= 1);
}
