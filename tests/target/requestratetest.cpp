#define BOOST_TEST_MODULE requestrate
#include "target/requestrate.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <vector>

using namespace mimosarun;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const Deadline kStart{ std::chrono::hours(1) };

/** Asks for a token every millisecond and returns the times at which one was given. */
static std::vector<Deadline>
TakeAsOftenAsPossible(RequestRate& aRate, Deadline aFrom, seconds aTime)
{
  std::vector<Deadline> taken;
  for (Deadline now = aFrom; now < aFrom + aTime; now += milliseconds(1)) {
    if (aRate.TryTake(now)) {
      taken.push_back(now);
    }
  }
  return taken;
}

static long
LargestCountWithin(const std::vector<Deadline>& aTimes, seconds aWindow)
{
  long largest = 0;
  for (auto first = aTimes.begin(); first != aTimes.end(); ++first) {
    largest = std::max<long>(largest, std::lower_bound(first, aTimes.end(), *first + aWindow) - first);
  }
  return largest;
}

// Guards against: a target gets far more requests than the limit that it has named (docs/incidents/006).
RC_BOOST_PROP(a_saturated_rate_stays_within_the_limit_and_uses_it,
              (unsigned int aTenths, unsigned int aPause))
{
  const double perSecond = 0.5 + static_cast<double>(aTenths % 600) / 10;
  RequestRate rate;
  rate.SetLimit(perSecond, kStart);
  const Deadline from = kStart + milliseconds(aPause % 20000);
  const std::vector<Deadline> taken = TakeAsOftenAsPossible(rate, from, seconds(20));
  RC_ASSERT(static_cast<double>(LargestCountWithin(taken, seconds(4))) <= 1.5 * 4 * perSecond + 5);
  RC_ASSERT(static_cast<double>(taken.size()) >= 0.9 * 20 * perSecond - 1);
}

BOOST_AUTO_TEST_CASE(without_a_limit_every_request_is_allowed_at_once)
{
  RequestRate rate;
  BOOST_TEST(TakeAsOftenAsPossible(rate, kStart, seconds(1)).size() == 1000u);
  BOOST_TEST(rate.WaitBehind(100, kStart).count() == 0);
}

BOOST_AUTO_TEST_CASE(naming_the_same_limit_again_gives_no_tokens)
{
  RequestRate rate;
  long taken = 0;
  for (Deadline now = kStart; now < kStart + seconds(4); now += milliseconds(1)) {
    rate.SetLimit(5, now);
    taken += rate.TryTake(now) ? 1 : 0;
  }
  BOOST_TEST(taken <= 20);
  BOOST_TEST(taken >= 18);
}

BOOST_AUTO_TEST_CASE(the_expected_wait_grows_with_the_requests_ahead)
{
  RequestRate rate;
  rate.SetLimit(4, kStart);
  BOOST_TEST((rate.WaitBehind(0, kStart) == milliseconds(250)));
  BOOST_TEST((rate.WaitBehind(3, kStart) == seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_target_that_accepts_nothing_is_still_asked_now_and_then)
{
  RequestRate rate;
  rate.SetLimit(0, kStart);
  const size_t taken = TakeAsOftenAsPossible(rate, kStart, seconds(8)).size();
  BOOST_TEST(taken >= 3u);
  BOOST_TEST(taken <= 5u);
}
