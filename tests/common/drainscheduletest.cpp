#define BOOST_TEST_MODULE drainschedule
#include "common/drainschedule.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

static constexpr Deadline kStart{ std::chrono::seconds(100) };

/** A node that takes calls for 2.9 s after the signal and ends after 5.5 s. */
static DrainSchedule
StoppingNode()
{
  return DrainSchedule({ .acceptUntil = kStart + milliseconds(2900), .endsAt = kStart + milliseconds(5500) });
}

BOOST_AUTO_TEST_CASE(a_short_call_is_taken_until_callers_have_switched_over)
{
  BOOST_TEST(StoppingNode().Accepts(kStart, milliseconds(200)));
  BOOST_TEST(StoppingNode().Accepts(kStart + milliseconds(2899), milliseconds(200)));
  BOOST_TEST(!StoppingNode().Accepts(kStart + milliseconds(3020), milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(a_call_that_would_be_cut_off_is_not_taken)
{
  BOOST_TEST(!StoppingNode().Accepts(kStart + milliseconds(2600), milliseconds(3000)));
  BOOST_TEST(StoppingNode().Accepts(kStart + milliseconds(2400), milliseconds(3000)));
  BOOST_TEST(!StoppingNode().Accepts(kStart, milliseconds(6000)));
}

// Guards against: callers without another node are refused although their calls would end in time.
BOOST_AUTO_TEST_CASE(a_late_call_is_taken_if_its_deadline_is_before_the_end)
{
  BOOST_TEST(StoppingNode().AcceptsUntilDeadline(kStart + milliseconds(5300)));
  BOOST_TEST(!StoppingNode().AcceptsUntilDeadline(kStart + milliseconds(5301)));
}

BOOST_AUTO_TEST_CASE(no_call_is_taken_after_the_end)
{
  BOOST_TEST(!StoppingNode().Accepts(kStart + milliseconds(5600), milliseconds(0)));
}
