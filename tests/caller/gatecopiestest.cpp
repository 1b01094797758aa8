#define BOOST_TEST_MODULE gatecopies
#include "caller/sentcopy.h"
#include "caller/testgate.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Returns whether a copy got a response with the given outcome. */
static bool
HasOutcome(const SentCopy& aCopy, HopOutcome aOutcome)
{
  const std::optional<HopResponse> response = aCopy.Response(milliseconds(3000));
  return response && response->outcome == aOutcome;
}

static bool
WaitForRuns(const TestGate& aGate, int aRuns)
{
  return WaitUntil(seconds(3), [&] { return aGate.Runs() == aRuns; });
}

// Guards against: only the copy that arrived last gets the response, or only one on the first one's loop.
BOOST_AUTO_TEST_CASE(all_copies_of_a_call_get_its_response)
{
  const TestGate gate({ .target = { .runTime = milliseconds(800) } });
  const SentCopy first(gate, "call", 0);
  BOOST_TEST(WaitForRuns(gate, 1));
  const SentCopy second(gate, "call", TestGate::kIncarnation);
  const SentCopy third(gate, "call", TestGate::kIncarnation);
  BOOST_TEST(HasOutcome(first, HopOutcome::Answered));
  BOOST_TEST(HasOutcome(second, HopOutcome::Answered));
  BOOST_TEST(HasOutcome(third, HopOutcome::Answered));
  BOOST_TEST(gate.Runs() == 1);
}

// Guards against: a call is abandoned as the connection of one of its copies closes.
BOOST_AUTO_TEST_CASE(a_call_goes_on_while_a_copy_has_a_connection)
{
  for (const bool closesFirst : { true, false }) {
    const TestGate gate({ .target = { .runTime = milliseconds(1200) } });
    std::optional<SentCopy> first(std::in_place, gate, "call", 0);
    BOOST_TEST(WaitForRuns(gate, 1));
    std::optional<SentCopy> second(std::in_place, gate, "call", TestGate::kIncarnation);
    std::this_thread::sleep_for(milliseconds(100));
    (closesFirst ? first : second).reset();
    BOOST_TEST(HasOutcome(closesFirst ? *second : *first, HopOutcome::Answered));
    BOOST_TEST(gate.Runs() == 1);
  }
}

// Guards against: a call whose entry has left holds its slot, since it had more than one copy.
BOOST_AUTO_TEST_CASE(a_call_is_abandoned_when_all_copies_have_lost_their_connections)
{
  const TestGate gate({ .target = { .runTime = seconds(20) } });
  std::optional<SentCopy> first(std::in_place, gate, "call", 0);
  BOOST_TEST(WaitForRuns(gate, 1));
  std::optional<SentCopy> second(std::in_place, gate, "call", TestGate::kIncarnation);
  std::this_thread::sleep_for(milliseconds(100));
  first.reset();
  second.reset();
  BOOST_TEST(WaitUntil(seconds(3), [&] { return gate.OpenCalls() == 0; }));
}

// Guards against: a gate rejects a call of which it has seen two copies, forgets it, and runs a third copy
// that arrives late, while the entry has sent the call to another gate.
BOOST_AUTO_TEST_CASE(a_rejected_call_with_two_copies_is_not_run_by_a_third)
{
  TestGate gate({ .target = { .runTime = milliseconds(1500) }, .slots = 1 });
  const SentCopy running(gate, "other", 0);
  BOOST_TEST(WaitForRuns(gate, 1));
  const SentCopy first(gate, "call", 0);
  BOOST_TEST(WaitUntil(seconds(1), [&] { return gate.OpenCalls() == 2; }));
  const SentCopy second(gate, "call", TestGate::kIncarnation);
  std::this_thread::sleep_for(milliseconds(100));
  // A target that isn't ready rejects the calls that wait.
  gate.SetReady(false);
  BOOST_TEST(HasOutcome(second, HopOutcome::Rejected));
  BOOST_TEST(HasOutcome(first, HopOutcome::Rejected));
  gate.SetReady(true);
  const SentCopy third(gate, "call", TestGate::kIncarnation);
  BOOST_TEST(HasOutcome(third, HopOutcome::Rejected));
  std::this_thread::sleep_for(milliseconds(1000));
  BOOST_TEST(gate.Runs() == 1);
}

// Guards against: a copy waits for a response that is streamed to another one.
BOOST_AUTO_TEST_CASE(a_copy_beside_a_streamed_response_is_told_that_it_is_lost)
{
  const TestGate gate({ .target = { .runTime = milliseconds(500), .responseBytes = 4UL * 1024 * 1024 } });
  const SentCopy first(gate, "call", 0);
  BOOST_TEST(WaitForRuns(gate, 1));
  const SentCopy second(gate, "call", TestGate::kIncarnation);
  const std::optional<HopResponse> toFirst = first.Response(milliseconds(3000));
  const std::optional<HopResponse> toSecond = second.Response(milliseconds(3000));
  BOOST_REQUIRE(toFirst.has_value());
  BOOST_REQUIRE(toSecond.has_value());
  const bool isFirstStreamed = toFirst->outcome == HopOutcome::Answered;
  BOOST_TEST((toFirst->outcome == HopOutcome::Answered || toFirst->outcome == HopOutcome::Unknown));
  BOOST_TEST((toSecond->outcome == (isFirstStreamed ? HopOutcome::Unknown : HopOutcome::Answered)));
  BOOST_TEST(gate.Runs() == 1);
}

// Guards against: a copy that names an incarnation from before the node refuted a suspicion is taken for one
// to a process that has ended, so that the first copy, which arrives later, isn't run.
BOOST_AUTO_TEST_CASE(a_copy_that_names_an_incarnation_from_before_a_refutation_does_not_spoil_the_first)
{
  const TestGate gate({ .target = { .runTime = milliseconds(50) } });
  const SentCopy second(gate, "call", TestGate::kIncarnation - 1000);
  BOOST_TEST(second.Response(milliseconds(1000)).has_value());
  const SentCopy first(gate, "call", 0);
  BOOST_TEST(HasOutcome(first, HopOutcome::Answered));
  BOOST_TEST(gate.Runs() == 1);
}

// Guards against: a call that may have run in an earlier process of the gate runs again, also if the wall
// clock was set back between the two.
BOOST_AUTO_TEST_CASE(a_copy_of_a_call_that_was_sent_to_another_process_is_not_run)
{
  const TestGate gate({ .target = {} });
  const SentCopy toLower(gate, "lower", TestGate::kFirstIncarnation - 1);
  BOOST_TEST(HasOutcome(toLower, HopOutcome::Unknown));
  const SentCopy toHigher(gate, "higher", TestGate::kIncarnation + 1);
  BOOST_TEST(HasOutcome(toHigher, HopOutcome::Unknown));
  BOOST_TEST(gate.Runs() == 0);
}

// Guards against: a response is streamed to a copy whose connection has closed, though another one has its
// own.
BOOST_AUTO_TEST_CASE(a_streamed_response_goes_to_a_copy_that_has_a_connection)
{
  for (const bool closesFirst : { true, false }) {
    const TestGate gate(
      { .target = { .runTime = milliseconds(1000), .responseBytes = 4UL * 1024 * 1024 }, .loops = 1 });
    std::optional<SentCopy> first(std::in_place, gate, "call", 0);
    BOOST_TEST(WaitForRuns(gate, 1));
    std::optional<SentCopy> second(std::in_place, gate, "call", TestGate::kIncarnation);
    std::this_thread::sleep_for(milliseconds(200));
    (closesFirst ? first : second).reset();
    BOOST_TEST_CONTEXT("closes the first: " << closesFirst)
    {
      BOOST_TEST(HasOutcome(closesFirst ? *second : *first, HopOutcome::Answered));
      BOOST_TEST(gate.Runs() == 1);
    }
  }
}

// Guards against: a copy on another loop waits for a response that was streamed to a closed connection.
BOOST_AUTO_TEST_CASE(a_copy_on_another_loop_is_told_that_a_streamed_response_is_lost)
{
  const TestGate gate({ .target = { .runTime = milliseconds(1000), .responseBytes = 4UL * 1024 * 1024 } });
  std::optional<SentCopy> first(std::in_place, gate, "call", 0);
  BOOST_TEST(WaitForRuns(gate, 1));
  const SentCopy second(gate, "call", TestGate::kIncarnation);
  std::this_thread::sleep_for(milliseconds(200));
  first.reset();
  BOOST_TEST(HasOutcome(second, HopOutcome::Unknown));
  BOOST_TEST(gate.Runs() == 1);
}
