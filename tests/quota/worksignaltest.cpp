#define BOOST_TEST_MODULE worksignal
#include "quota/worksignal.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;

static constexpr milliseconds kNotBefore{ 200 };
static constexpr milliseconds kRegularWork{ 3000 };

/** A thread that waits for work, and when it got some. */
struct Fixture
{
  Fixture() { workAt = start + kRegularWork; }

  void Begin()
  {
    waiter = std::thread([this] {
      hasWork = signal.WaitForWork(start + kNotBefore, [this](Deadline) {
        ++questions;
        return std::optional<Deadline>(workAt.load());
      });
      endedAt = SteadyClock::now();
    });
    while (questions == 0) {
      std::this_thread::yield();
    }
  }

  const Deadline start = SteadyClock::now();
  std::atomic<Deadline> workAt;
  std::atomic<int> questions{ 0 };
  WorkSignal signal;
  std::thread waiter;
  bool hasWork = false;
  Deadline endedAt{};
};

// Guards against requests that wait for a grant until they are refused, as nobody reports them: they arrived
// right after a report, when the next one wasn't allowed yet, and their notification was dropped.
BOOST_FIXTURE_TEST_CASE(work_that_comes_before_the_earliest_time_is_done_at_that_time, Fixture)
{
  Begin();
  workAt = SteadyClock::now();
  signal.Notify();
  waiter.join();
  BOOST_TEST(hasWork);
  BOOST_TEST((endedAt >= start + kNotBefore));
  BOOST_TEST((endedAt < start + kRegularWork / 2));
}

// Guards against a thread that isn't woken by work after the earliest time.
BOOST_FIXTURE_TEST_CASE(work_that_comes_later_is_done_at_once, Fixture)
{
  Begin();
  std::this_thread::sleep_until(start + 2 * kNotBefore);
  workAt = SteadyClock::now();
  signal.Notify();
  waiter.join();
  BOOST_TEST(hasWork);
  BOOST_TEST((endedAt < start + kRegularWork / 2));
}

// Guards against a thread that goes on while its process ends.
BOOST_FIXTURE_TEST_CASE(a_stop_ends_the_wait, Fixture)
{
  Begin();
  signal.Stop();
  waiter.join();
  BOOST_TEST(!hasWork);
  BOOST_TEST((endedAt < start + kRegularWork / 2));
}
