#define BOOST_TEST_MODULE completedruns
#include "target/completedruns.h"
#include "quarantine/suspectlist.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kStart{ std::chrono::hours(1) };

static Deadline
At(int aMillis)
{
  return kStart + milliseconds(aMillis);
}

BOOST_AUTO_TEST_CASE(a_request_is_proven_since_the_third_last_of_its_ends)
{
  CompletedRuns runs;
  runs.SetTarget("s", "v1", kStart);
  for (const int millis : { 1, 2 }) {
    runs.Record("request", At(millis));
    BOOST_TEST(!runs.ProvenSince("request").has_value());
  }
  for (const int millis : { 3, 4, 5, 6 }) {
    runs.Record("request", At(millis));
    BOOST_TEST((runs.ProvenSince("request") == At(millis - 2)));
  }
  BOOST_TEST(!runs.ProvenSince("another").has_value());
}

// Guards against: what ran at a former version, or at another service, clears a request.
BOOST_AUTO_TEST_CASE(another_version_or_service_proves_nothing)
{
  for (const auto& [service, version] : { std::pair("s", "v2"), std::pair("t", "v1") }) {
    CompletedRuns runs;
    runs.SetTarget("s", "v1", kStart);
    for (int run = 0; run < 3; ++run) {
      runs.Record("request", kStart);
    }
    runs.SetTarget("s", "v1", At(1));
    BOOST_TEST(runs.ProvenSince("request").has_value());
    runs.SetTarget(service, version, At(2));
    BOOST_TEST(!runs.ProvenSince("request").has_value());
    BOOST_TEST(runs.IsNew(At(3)));
    BOOST_TEST(!runs.IsNew(At(10000)));
  }
}

// Guards against: requests that come once push out those that come again and again.
BOOST_AUTO_TEST_CASE(memory_is_bounded_and_keeps_what_comes_often)
{
  CompletedRuns runs;
  runs.SetTarget("s", "v1", kStart);
  for (int run = 0; run < 20000; ++run) {
    runs.Record("once-" + std::to_string(run), At(run));
    if (run % 100 == 0) {
      runs.Record("often", At(run));
    }
  }
  BOOST_TEST(runs.ProvenSince("often").has_value());
}

BOOST_AUTO_TEST_CASE(a_proof_is_wanted_only_of_what_ran_since_the_listing)
{
  SuspectList suspects;
  BOOST_TEST(suspects.IsEmpty());
  BOOST_TEST(!suspects.TakeProofIfDue("request", At(1), At(2)));
  suspects.Set({ "request" }, At(100));
  BOOST_TEST(!suspects.IsEmpty());
  BOOST_TEST(!suspects.TakeProofIfDue("another", At(150), At(160)));
  BOOST_TEST(!suspects.TakeProofIfDue("request", At(50), At(160)));
  BOOST_TEST(suspects.TakeProofIfDue("request", At(150), At(200)));
  BOOST_TEST(!suspects.TakeProofIfDue("request", At(160), At(210)));
  // A list with the same request is no new listing.
  suspects.Set({ "request", "another" }, At(300));
  BOOST_TEST(suspects.TakeProofIfDue("request", At(401), At(450)));
  suspects.Set({}, At(500));
  BOOST_TEST(suspects.IsEmpty());
  // A replica that lists a request may not be heard any more.
  suspects.Set({ "request" }, At(600));
  BOOST_TEST(suspects.TakeActivityReportIfDue(At(700)));
  BOOST_TEST(!suspects.TakeActivityReportIfDue(At(701)));
  BOOST_TEST(!suspects.TakeActivityReportIfDue(At(70000)));
  BOOST_TEST(suspects.IsEmpty());
}
