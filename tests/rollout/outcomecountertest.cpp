#define BOOST_TEST_MODULE outcomecounter
#include "rollout/outcomecounter.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kNow{ std::chrono::hours(1) };

static TargetCallResult
Result(TargetCallEnd aEnd, milliseconds aTime)
{
  return { .service = "books",
           .version = "v2",
           .route = "read",
           .end = aEnd,
           .time = aTime,
           .timeLimit = milliseconds(1000),
           .usualTime = milliseconds(20) };
}

struct Fixture
{
  Fixture() { counter.CountUntil(kNow + milliseconds(1000)); }

  void Record(TargetCallEnd aEnd, milliseconds aTime) { counter.Record(Result(aEnd, aTime), kNow); }

  int64_t Responses() const { return counter.All().empty() ? 0 : counter.All().front().responses; }
  int64_t Failures() const { return counter.All().empty() ? 0 : counter.All().front().failures; }

  OutcomeCounter counter;
};

BOOST_FIXTURE_TEST_CASE(responses_and_failures_are_counted_with_their_times, Fixture)
{
  Record(TargetCallEnd::Succeeded, milliseconds(20));
  Record(TargetCallEnd::Failed, milliseconds(5));
  BOOST_TEST(Responses() == 2);
  BOOST_TEST(Failures() == 1);
  const std::vector<int32_t> counts = counter.All().front().latencyCounts;
  BOOST_TEST(counts.size() == LatencyBuckets::kCount);
  BOOST_TEST(std::accumulate(counts.begin(), counts.end(), 0) == 2);
  BOOST_TEST(counts[LatencyBuckets::BucketOf(milliseconds(20))] == 1);
  BOOST_TEST(counter.Total() == 2u);
}

BOOST_FIXTURE_TEST_CASE(versions_and_routes_are_counted_apart, Fixture)
{
  TargetCallResult result = Result(TargetCallEnd::Succeeded, milliseconds(20));
  counter.Record(result, kNow);
  result.route = "book";
  counter.Record(result, kNow);
  result.version = "v1";
  counter.Record(result, kNow);
  BOOST_TEST(counter.All().size() == 3u);
}

// Guards against a version that is blamed for calls that reached it with little time left.
BOOST_FIXTURE_TEST_CASE(a_timeout_counts_only_if_the_target_had_most_of_the_time, Fixture)
{
  Record(TargetCallEnd::TimedOut, milliseconds(100));
  BOOST_TEST(Responses() == 0);
  Record(TargetCallEnd::TimedOut, milliseconds(900));
  BOOST_TEST(Failures() == 1);
}

// Guards against both a version that is blamed for callers who leave, and a slow one that is hidden by them.
BOOST_FIXTURE_TEST_CASE(an_abandoned_call_counts_as_slow_or_not_at_all, Fixture)
{
  Record(TargetCallEnd::Abandoned, milliseconds(10));
  BOOST_TEST(Responses() == 0);
  Record(TargetCallEnd::Abandoned, milliseconds(200));
  BOOST_TEST(Responses() == 1);
  BOOST_TEST(Failures() == 0);
  Record(TargetCallEnd::Abandoned, milliseconds(950));
  BOOST_TEST(Failures() == 1);
}

BOOST_FIXTURE_TEST_CASE(nothing_is_counted_while_no_rollout_needs_it, Fixture)
{
  counter.Record(Result(TargetCallEnd::Failed, milliseconds(5)), kNow + milliseconds(1000));
  BOOST_TEST(Responses() == 0);
}
