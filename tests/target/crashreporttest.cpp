#define BOOST_TEST_MODULE crashreport
#include "caller/sentcopy.h"
#include "harness/process.h"
#include "hop/fingerprint.h"
#include "target/manualtarget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;

static constexpr milliseconds kReportTime{ 1000 };
/** Runs that prove that a request doesn't end the target. */
static constexpr int kProvingRuns = 3;
/** Requests that a report names at most. */
static constexpr size_t kReportLimit = 1024;

static std::string
FingerprintOf(const std::string& aPath)
{
  return RequestFingerprint("orders", "", { .method = "POST", .path = aPath, .requestTarget = aPath });
}

static std::optional<wire::CrashSuspect>
FindSuspect(const TestGate& aGate, const std::string& aPath)
{
  for (const wire::TargetCrash& crash : aGate.Crashes()) {
    for (const wire::CrashSuspect& suspect : crash.suspects) {
      if (suspect.fingerprint == FingerprintOf(aPath)) {
        return suspect;
      }
    }
  }
  return std::nullopt;
}

/** Runs a request to its end; the caller may leave before that. */
static void
RunToEnd(TestGate& aGate, ManualTarget& aTarget, const std::string& aCallId, bool aLeaves)
{
  auto call = std::make_unique<SentCopy>(
    aGate,
    SentCopy::Options{ .callId = aCallId, .path = "/orders/list", .repeatPolicy = RepeatPolicy::Idempotent });
  const int request = aTarget.TakeRequest();
  BOOST_REQUIRE(request >= 0);
  if (aLeaves) {
    call.reset();
    BOOST_REQUIRE(aTarget.HasPeerLeft(request, milliseconds(500)));
  }
  aTarget.Answer(request);
  if (call) {
    BOOST_TEST(call->Response(milliseconds(1000)).has_value());
  }
  std::this_thread::sleep_for(milliseconds(50));
}

// Guards against: a gate reports a request that runs to its end again and again like one that never does,
// also where its callers leave.
BOOST_AUTO_TEST_CASE(a_report_says_which_requests_run_to_their_end)
{
  for (const bool leaves : { false, true }) {
    ManualTarget target;
    TestGate gate({ .slots = 8, .targetAddress = target.ListenAddress() });
    for (int run = 0; run < kProvingRuns; ++run) {
      RunToEnd(gate, target, "list-" + std::to_string(run), leaves);
    }
    const SentCopy list(gate, SentCopy::Options{ .callId = "list", .path = "/orders/list" });
    BOOST_REQUIRE(target.TakeRequest() >= 0);
    const SentCopy other(gate, SentCopy::Options{ .callId = "other", .path = "/orders/other" });
    BOOST_REQUIRE(target.TakeRequest() >= 0);
    target.Crash();
    BOOST_TEST(WaitUntil(
      kReportTime, [&] { return FindSuspect(gate, "/orders/list") && FindSuspect(gate, "/orders/other"); }));
    const bool isListProven = FindSuspect(gate, "/orders/list")->__isset.provenMillisAgo;
    const bool isOtherProven = FindSuspect(gate, "/orders/other")->__isset.provenMillisAgo;
    BOOST_TEST(isListProven);
    BOOST_TEST(!isOtherProven);
  }
}

// Guards against: the request that ended a target is left out of a report, as very many others ran beside it.
BOOST_AUTO_TEST_CASE(a_full_report_leaves_out_requests_that_run_to_their_end)
{
  CompletedRuns runs;
  EventLoops loops(1);
  std::mutex mutex;
  std::vector<wire::CrashSuspect> suspects;
  CrashWatch watch(loops, runs, [&](const wire::TargetCrash& aCrash) {
    const std::lock_guard lock(mutex);
    suspects = aCrash.suspects;
  });
  // Nothing listens there.
  BrokenCall broken{ .target = "target", .address = RawServer::FreeAddress() };
  for (size_t call = 0; call < kReportLimit; ++call) {
    broken.fingerprint = "proven-" + std::to_string(call);
    for (int run = 0; run < kProvingRuns; ++run) {
      runs.Record(broken.fingerprint, SteadyClock::now());
    }
    watch.RecordBreak(broken);
  }
  broken.fingerprint = "deadly";
  watch.RecordBreak(broken);
  BOOST_TEST(WaitUntil(kReportTime, [&] {
    const std::lock_guard lock(mutex);
    return !suspects.empty();
  }));
  const std::lock_guard lock(mutex);
  BOOST_TEST(suspects.size() == kReportLimit);
  BOOST_TEST(std::ranges::any_of(
    suspects, [](const wire::CrashSuspect& aSuspect) { return aSuspect.fingerprint == "deadly"; }));
  loops.Stop();
}
