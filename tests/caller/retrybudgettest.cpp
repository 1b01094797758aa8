#define BOOST_TEST_MODULE retrybudget
#include "caller/retrybudget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <deque>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kNow{ std::chrono::hours(1) };

BOOST_AUTO_TEST_CASE(retries_are_a_share_of_the_requests_of_the_same_service)
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

BOOST_AUTO_TEST_CASE(nodes_share_the_base_retries)
{
  RetryBudget budget({ .retriesPerRequest = 0, .baseRetries = 16 });
  budget.SetNodeCount(8);
  BOOST_TEST(budget.TrySpend("a", kNow));
  BOOST_TEST(budget.TrySpend("a", kNow));
  BOOST_TEST(!budget.TrySpend("a", kNow));
}

BOOST_AUTO_TEST_CASE(a_retry_that_reached_no_target_can_be_refunded)
{
  RetryBudget budget({ .retriesPerRequest = 0, .baseRetries = 1 });
  BOOST_TEST(budget.TrySpend("a", kNow));
  budget.Refund("a", kNow);
  BOOST_TEST(budget.TrySpend("a", kNow));
}

/** Simulates a failure that all calls see at once: each call requests a retry, at any pattern of arrivals. */
RC_BOOST_PROP(no_window_has_more_retries_than_its_share, (std::vector<uint8_t> aGaps))
{
  RetryBudget budget({ .retriesPerRequest = 0.2, .baseRetries = 3, .window = milliseconds(1000) });
  Deadline now = kNow;
  std::deque<Deadline> requests;
  std::deque<Deadline> retries;
  for (const uint8_t gap : aGaps) {
    now += milliseconds(gap % 90);
    budget.RecordRequest("a", now);
    requests.push_back(now);
    if (budget.TrySpend("a", now)) {
      retries.push_back(now);
    }
    const auto isOutsideWindow = [&](Deadline aTime) { return aTime <= now - milliseconds(1000); };
    std::erase_if(requests, isOutsideWindow);
    std::erase_if(retries, isOutsideWindow);
    // The window moves in steps, so the oldest one may allow a retry for requests that have just left it.
    RC_ASSERT(static_cast<double>(retries.size()) <= 0.2 * static_cast<double>(requests.size()) + 3 + 1);
  }
}
