#define BOOST_TEST_MODULE callgates
#include "caller/callgates.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;

static const Deadline kNow{ std::chrono::hours(1) };

static GateDirectory
DirectoryWithCandidate(int aPermille)
{
  GateDirectory directory;
  directory.gates["books"] = { { .node = "old-1" }, { .node = "old-2" } };
  directory.candidates["books"] = {
    .gates = { { .node = "new-1" }, { .node = "new-2" }, { .node = "new-3" } },
    .canaries = { { .node = "new-2" } },
    .others = { { .node = "new-1" }, { .node = "new-3" } },
    .turnsPerSecond = 1,
    .permille = aPermille
  };
  return directory;
}

static bool
IsOld(const std::vector<GateInfo>& aGates)
{
  return aGates.size() == 2 && aGates.front().node == "old-1";
}

BOOST_AUTO_TEST_CASE(a_service_without_gates_has_none)
{
  VersionSplitter splitter;
  CallGates gates;
  BOOST_TEST(gates.ForAttempt({}, "books", splitter, kNow).empty());
}

// Guards against retries and rejections that raise the candidate's share.
BOOST_AUTO_TEST_CASE(only_the_first_attempt_goes_to_a_candidate)
{
  const GateDirectory directory = DirectoryWithCandidate(500);
  VersionSplitter splitter;
  int candidateCalls = 0;
  for (int call = 0; call < 1000; ++call) {
    CallGates gates;
    candidateCalls += IsOld(gates.ForAttempt(directory, "books", splitter, kNow)) ? 0 : 1;
    BOOST_TEST(IsOld(gates.ForAttempt(directory, "books", splitter, kNow)));
  }
  BOOST_TEST(candidateCalls >= 499);
  BOOST_TEST(candidateCalls <= 501);
}

// Guards against new targets that get no call at all beside the canaries.
BOOST_AUTO_TEST_CASE(canary_calls_go_to_the_canaries_and_to_each_other_candidate_in_turn)
{
  const GateDirectory directory = DirectoryWithCandidate(40);
  VersionSplitter splitter;
  std::map<std::string, int> calls;
  for (int call = 0; call < 25000; ++call) {
    CallGates gates;
    const Deadline now = kNow + std::chrono::milliseconds(10) * call;
    const std::vector<GateInfo>& chosen = gates.ForAttempt(directory, "books", splitter, now);
    if (!IsOld(chosen)) {
      BOOST_REQUIRE(chosen.size() == 1u);
      ++calls[chosen.front().node];
    }
  }
  // 1,000 candidate calls in 250 s, of which one a second goes to the other gates.
  BOOST_TEST(calls["new-1"] >= 100);
  BOOST_TEST(calls["new-3"] >= 100);
  BOOST_TEST(calls["new-2"] >= 700);
}

// Guards against calls to old targets that stop without draining at the end of a roll-out.
BOOST_AUTO_TEST_CASE(with_a_full_share_no_attempt_goes_to_an_old_target)
{
  const GateDirectory directory = DirectoryWithCandidate(1000);
  VersionSplitter splitter;
  for (int call = 0; call < 200; ++call) {
    CallGates gates;
    BOOST_TEST(!IsOld(gates.ForAttempt(directory, "books", splitter, kNow)));
    BOOST_TEST(gates.ForAttempt(directory, "books", splitter, kNow).size() == 3u);
  }
}
