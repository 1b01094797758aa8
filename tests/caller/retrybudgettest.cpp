#define BOOST_TEST_MODULE retrybudget
#include "caller/retrybudget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <deque>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kNow{ std::chrono::hours(1) };

BOOST_AUTO_TEST_CASE(repeats_are_a_share_of_the_requests_of_the_same_service)
{
  RetryBudget budget({ .retriesPerRequest = 0.1, .baseRetries = 0 });
  for (int i = 0; i < 50; ++i) {
    budget.RecordRequest("a", kNow);
  }
  int spent = 0;
  while (budget.TrySpend("a", kNow)) {
    ++spent;
  }
  BOOST_TEST(spent == 5);
  BOOST_TEST(!budget.TrySpend("b", kNow));
}

BOOST_AUTO_TEST_CASE(nodes_share_the_extra_repeats)
{
  RetryBudget budget({ .retriesPerRequest = 0, .baseRetries = 16 });
  budget.SetNodeCount(8);
  BOOST_TEST(budget.TrySpend("a", kNow));
  BOOST_TEST(budget.TrySpend("a", kNow));
  BOOST_TEST(!budget.TrySpend("a", kNow));
}

BOOST_AUTO_TEST_CASE(a_repeat_that_reached_no_target_is_given_back)
{
  RetryBudget budget({ .retriesPerRequest = 0, .baseRetries = 1 });
  BOOST_TEST(budget.TrySpend("a", kNow));
  budget.Refund("a", kNow);
  BOOST_TEST(budget.TrySpend("a", kNow));
}

/** A failure that all calls see at once: each asks for a repeat, whatever the pattern of arrivals. */
RC_BOOST_PROP(no_window_holds_more_repeats_than_its_share, (std::vector<uint8_t> aGaps))
{
  RetryBudget budget({ .retriesPerRequest = 0.2, .baseRetries = 3, .window = milliseconds(1000) });
  Deadline now = kNow;
  std::deque<Deadline> requests;
  std::deque<Deadline> repeats;
  for (const uint8_t gap : aGaps) {
    now += milliseconds(gap % 90);
    budget.RecordRequest("a", now);
    requests.push_back(now);
    if (budget.TrySpend("a", now)) {
      repeats.push_back(now);
    }
    const auto old = [&](Deadline aTime) { return aTime <= now - milliseconds(1000); };
    std::erase_if(requests, old);
    std::erase_if(repeats, old);
    // Windows move in steps, so the oldest step may count for a repeat whose requests have just left.
    RC_ASSERT(static_cast<double>(repeats.size()) <= 0.2 * static_cast<double>(requests.size()) + 3 + 1);
  }
}
