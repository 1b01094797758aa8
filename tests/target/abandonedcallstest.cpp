#define BOOST_TEST_MODULE abandonedcalls
#include "caller/sentcopy.h"
#include "harness/process.h"
#include "hop/fingerprint.h"
#include "target/manualtarget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;

/** Time in which a gate notices and reports the end of its target. */
static constexpr milliseconds kReportTime{ 1000 };
/** Time in which a gate reads the end of a connection. */
static constexpr milliseconds kReadTime{ 300 };
/** Bound on the connections that a gate keeps for calls that nobody waits for. */
static constexpr int kAbandonedLimit = 256;

static std::string
FingerprintOf(const std::string& aPath)
{
  return RequestFingerprint("orders", "", { .method = "POST", .path = aPath, .requestTarget = aPath });
}

/** Returns whether a gate reports that a request ran when its target ended. */
static bool
IsReported(const TestGate& aGate, const std::string& aPath)
{
  return WaitUntil(kReportTime, [&] {
    const auto crashes = aGate.Crashes();
    return std::ranges::any_of(crashes, [&](const wire::TargetCrash& aCrash) {
      return std::ranges::any_of(aCrash.suspects, [&](const wire::CrashSuspect& aSuspect) {
        return aSuspect.fingerprint == FingerprintOf(aPath);
      });
    });
  });
}

/** A gate with a target that does what the test says. */
struct Deployment
{
  ManualTarget target;
  TestGate gate{ { .slots = 2 * kAbandonedLimit, .targetAddress = target.ListenAddress() } };
};

// Guards against: a request ends target after target, since its callers have left before it does so.
BOOST_AUTO_TEST_CASE(a_call_whose_caller_has_left_is_reported_when_the_target_ends)
{
  for (const RepeatPolicy policy : { RepeatPolicy::Idempotent, RepeatPolicy::AtMostOnce }) {
    for (const milliseconds crashAfter : { milliseconds(50), milliseconds(2000) }) {
      Deployment deployment;
      auto call = std::make_unique<SentCopy>(deployment.gate, SentCopy::Options{ .repeatPolicy = policy });
      const int request = deployment.target.TakeRequest();
      BOOST_REQUIRE(request >= 0);
      call.reset();
      BOOST_TEST(deployment.target.HasPeerLeft(request, milliseconds(500)));
      std::this_thread::sleep_for(crashAfter);
      deployment.target.Crash();
      BOOST_TEST(IsReported(deployment.gate, "/orders/1"));
    }
  }
}

// Guards against: the same, as the deadline of the call passes while its caller waits.
BOOST_AUTO_TEST_CASE(a_call_whose_deadline_has_passed_is_reported_when_the_target_ends)
{
  Deployment deployment;
  const SentCopy call(deployment.gate, SentCopy::Options{ .timeLeft = milliseconds(300) });
  const int request = deployment.target.TakeRequest();
  BOOST_REQUIRE(request >= 0);
  BOOST_TEST(deployment.target.HasPeerLeft(request, milliseconds(800)));
  const auto response = call.Response(milliseconds(500));
  BOOST_TEST((response && response->outcome == HopOutcome::Unknown));
  std::this_thread::sleep_for(milliseconds(700));
  deployment.target.Crash();
  BOOST_TEST(IsReported(deployment.gate, "/orders/1"));
}

// Guards against: innocent requests are quarantined, since they once ran on a target that ended later.
BOOST_AUTO_TEST_CASE(a_call_that_the_target_has_finished_or_dropped_is_not_reported)
{
  Deployment deployment;
  for (const bool isAnswered : { true, false }) {
    auto call = std::make_unique<SentCopy>(
      deployment.gate,
      SentCopy::Options{ .callId = isAnswered ? "answered" : "dropped",
                         .path = isAnswered ? "/orders/answered" : "/orders/dropped",
                         .repeatPolicy = RepeatPolicy::Idempotent });
    const int request = deployment.target.TakeRequest();
    BOOST_REQUIRE(request >= 0);
    call.reset();
    BOOST_REQUIRE(deployment.target.HasPeerLeft(request, milliseconds(500)));
    if (isAnswered) {
      deployment.target.Answer(request);
    } else {
      deployment.target.Drop(request);
    }
    std::this_thread::sleep_for(kReadTime);
  }
  const SentCopy running(deployment.gate,
                         SentCopy::Options{ .callId = "running", .path = "/orders/running" });
  BOOST_REQUIRE(deployment.target.TakeRequest() >= 0);
  deployment.target.Crash();
  BOOST_TEST(IsReported(deployment.gate, "/orders/running"));
  std::this_thread::sleep_for(kReadTime);
  BOOST_TEST(deployment.gate.Crashes().size() == 1);
  BOOST_TEST(deployment.gate.Crashes().front().suspects.size() == 1);
}

// Guards against: requests are quarantined for having run on targets that ended as planned.
BOOST_AUTO_TEST_CASE(the_end_of_a_target_that_leaves_is_no_crash)
{
  Deployment deployment;
  const SentCopy running(deployment.gate, SentCopy::Options{});
  BOOST_REQUIRE(deployment.target.TakeRequest() >= 0);
  deployment.gate.SetReady(false);
  deployment.target.Crash();
  BOOST_TEST(!IsReported(deployment.gate, "/orders/1"));
}

// Guards against: the crashes of a target don't count any more, since it once said that it would leave.
BOOST_AUTO_TEST_CASE(the_end_of_a_target_that_is_ready_again_is_a_crash)
{
  Deployment deployment;
  deployment.gate.SetReady(false);
  deployment.gate.SetReady(true);
  const SentCopy running(deployment.gate, SentCopy::Options{});
  BOOST_REQUIRE(deployment.target.TakeRequest() >= 0);
  deployment.target.Crash();
  BOOST_TEST(IsReported(deployment.gate, "/orders/1"));
}

// Guards against: callers that leave take all of a gate's memory and connections.
BOOST_AUTO_TEST_CASE(a_gate_watches_a_bounded_number_of_abandoned_calls)
{
  Deployment deployment;
  for (int number = 0; number < kAbandonedLimit + 20; ++number) {
    auto call = std::make_unique<SentCopy>(
      deployment.gate,
      SentCopy::Options{ .callId = std::to_string(number), .repeatPolicy = RepeatPolicy::Idempotent });
    BOOST_REQUIRE(deployment.target.TakeRequest() == number);
    call.reset();
  }
  BOOST_TEST(WaitUntil(milliseconds(2000), [&] { return deployment.gate.OpenCalls() == 0; }));
  const std::string gauge = "mimosarun_gate_abandoned_calls " + std::to_string(kAbandonedLimit) + "\n";
  BOOST_TEST(deployment.gate.MetricsText().find(gauge) != std::string::npos);
  deployment.target.Crash();
  BOOST_TEST(WaitUntil(kReportTime, [&] {
    return deployment.gate.MetricsText().find("mimosarun_gate_abandoned_calls 0\n") != std::string::npos;
  }));
}
