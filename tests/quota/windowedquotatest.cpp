#define BOOST_TEST_MODULE windowedquota
#include "quota/windowedquota.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace mimosarun;

static Team
BucketOf(double aRate, double aBurst, const QuotaTolerance& aTolerance)
{
  return WindowedQuotas({ { "t", { .name = "t", .requestsPerSecond = aRate, .burst = aBurst } } }, aTolerance)
    .at("t");
}

// Guards against a bucket that lets more requests through in a window than quota and tolerance allow.
RC_BOOST_PROP(no_window_exceeds_the_quota_by_more_than_a_part_of_the_tolerance, ())
{
  const QuotaTolerance tolerance;
  const double rate = *rc::gen::inRange(1, 100000);
  const double burst = *rc::gen::inRange(0, 100000);
  const Team bucket = BucketOf(rate, burst, tolerance);
  const double window = std::chrono::duration<double>(tolerance.window).count();
  const double quota = rate * window + burst;
  const double allowance = tolerance.burstShare * quota + static_cast<double>(tolerance.slack);
  RC_ASSERT(bucket.requestsPerSecond * window + bucket.burst <= quota + 0.11 * allowance);
  RC_ASSERT(bucket.requestsPerSecond >= rate);
}

// Guards against refusals of a lasting demand above the rate that no window counts as beyond the quota.
BOOST_AUTO_TEST_CASE(a_lasting_demand_gets_most_of_the_burst_in_each_window)
{
  const Team bucket = BucketOf(100, 100, {});
  BOOST_TEST(bucket.requestsPerSecond > 115);
}

BOOST_AUTO_TEST_CASE(a_team_without_a_limit_has_none)
{
  BOOST_TEST(BucketOf(0, 50, {}).requestsPerSecond == 0);
}
