#define BOOST_TEST_MODULE nonidempotentcalls
#include "target/nonidempotentcalls.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::minutes;
using std::chrono::seconds;

/** Stands for a call of a gate. */
struct FakeCall
{};

using Calls = NonIdempotentCalls<FakeCall>;

static const Deadline kNow{ std::chrono::hours(1) };

static Calls::Arrival
AddCall(Calls& aCalls, const std::string& aId, Deadline aDeadline, Deadline aNow)
{
  return aCalls.Add(aId, std::make_shared<FakeCall>(), aDeadline, aNow);
}

// Guards against: a call that runs for longer than the gate remembers it runs again (docs/incidents/012).
BOOST_AUTO_TEST_CASE(a_call_is_known_for_as_long_as_it_runs)
{
  Calls calls;
  const Deadline deadline = kNow + minutes(10);
  BOOST_TEST(!AddCall(calls, "long", deadline, kNow).isRepeated);
  for (const Deadline now : { kNow + seconds(16), kNow + minutes(9), deadline + minutes(1) }) {
    const Calls::Arrival repetition = AddCall(calls, "long", deadline, now);
    BOOST_TEST(repetition.isRepeated);
    BOOST_TEST((repetition.earlierCall != nullptr));
  }
}

BOOST_AUTO_TEST_CASE(an_ended_call_is_known_until_no_copy_can_arrive)
{
  Calls calls;
  const Deadline deadline = kNow + minutes(1);
  AddCall(calls, "ended", deadline, kNow);
  calls.RecordEnd("ended", kNow + seconds(20));
  BOOST_TEST((AddCall(calls, "ended", deadline, kNow + seconds(34)).earlierCall != nullptr));
  // Its response is no longer kept, but it doesn't run again.
  const Calls::Arrival late = AddCall(calls, "ended", deadline, kNow + seconds(36));
  BOOST_TEST(late.isRepeated);
  BOOST_TEST((late.earlierCall == nullptr));
  BOOST_TEST(AddCall(calls, "ended", deadline, deadline + seconds(14)).isRepeated);
  BOOST_TEST(!AddCall(calls, "ended", deadline, deadline + seconds(16)).isRepeated);
}

BOOST_AUTO_TEST_CASE(an_ended_call_with_a_short_deadline_keeps_its_response)
{
  Calls calls;
  AddCall(calls, "short", kNow + seconds(1), kNow);
  calls.RecordEnd("short", kNow + seconds(1));
  BOOST_TEST((AddCall(calls, "short", kNow + seconds(1), kNow + seconds(15)).earlierCall != nullptr));
  BOOST_TEST(!AddCall(calls, "short", kNow + seconds(1), kNow + seconds(17)).isRepeated);
}

// Guards against: an identifier that is removed and added again is forgotten at the time of the first one.
BOOST_AUTO_TEST_CASE(an_identifier_that_is_added_again_is_kept_from_then_on)
{
  Calls calls;
  AddCall(calls, "again", kNow + seconds(2), kNow);
  calls.Remove("again");
  AddCall(calls, "again", kNow + seconds(40), kNow + seconds(14));
  calls.RecordEnd("again", kNow + seconds(15));
  BOOST_TEST(AddCall(calls, "again", kNow + seconds(40), kNow + seconds(18)).isRepeated);
}
