#define BOOST_TEST_MODULE admission
#include "target/admission.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kNow{ std::chrono::hours(1) };

static AdmissionRequest
Request(uint64_t aCall, CallClass aClass, int aDeadlineMs = 1000)
{
  return { .callNumber = aCall,
           .callClass = aClass,
           .deadline = kNow + milliseconds(aDeadlineMs),
           .expectedCost = milliseconds(10) };
}

BOOST_AUTO_TEST_CASE(long_calls_leave_slots_for_short_calls)
{
  Admission admission({ .slots = 6 });
  int admitted = 0;
  for (uint64_t call = 1; call <= 6; ++call) {
    admitted +=
      admission.RequestSlot(Request(call, CallClass::Long), kNow) == AdmissionDecision::Admitted ? 1 : 0;
  }
  BOOST_TEST(admitted == 4);
  BOOST_TEST((admission.RequestSlot(Request(7, CallClass::Short), kNow) == AdmissionDecision::Admitted));
  BOOST_TEST((admission.RequestSlot(Request(8, CallClass::Short), kNow) == AdmissionDecision::Admitted));
  BOOST_TEST((admission.RequestSlot(Request(9, CallClass::Short), kNow) == AdmissionDecision::Queued));
}

BOOST_AUTO_TEST_CASE(a_call_that_cant_meet_its_deadline_is_rejected_at_once)
{
  Admission admission({ .slots = 1 });
  BOOST_TEST((admission.RequestSlot(Request(1, CallClass::Short), kNow) == AdmissionDecision::Admitted));
  BOOST_TEST((admission.RequestSlot(Request(2, CallClass::Short, 15), kNow) == AdmissionDecision::Queued));
  BOOST_TEST((admission.RequestSlot(Request(3, CallClass::Short, 15), kNow) ==
              AdmissionDecision::DeadlineUnreachable));
  BOOST_TEST(
    (admission.RequestSlot(Request(4, CallClass::Short, 0), kNow) == AdmissionDecision::DeadlineUnreachable));
}

BOOST_AUTO_TEST_CASE(waiting_calls_are_admitted_by_deadline)
{
  Admission admission({ .slots = 1 });
  admission.RequestSlot(Request(1, CallClass::Short), kNow);
  admission.RequestSlot(Request(2, CallClass::Short, 900), kNow);
  admission.RequestSlot(Request(3, CallClass::Short, 500), kNow);
  admission.Release(CallClass::Short, milliseconds(10));
  BOOST_TEST((admission.AdmitWaiting(kNow) == std::vector<uint64_t>{ 3 }));
}

BOOST_AUTO_TEST_CASE(a_few_very_long_calls_hardly_change_the_expected_wait)
{
  Admission admission({ .slots = 2 });
  const auto run = [&](uint64_t aCall, milliseconds aSlotTime) {
    BOOST_REQUIRE(
      (admission.RequestSlot(Request(aCall, CallClass::Short), kNow) == AdmissionDecision::Admitted));
    admission.Release(CallClass::Short, aSlotTime);
  };
  for (uint64_t call = 1; call <= 20; ++call) {
    run(call, milliseconds(10));
  }
  for (uint64_t call = 21; call <= 26; ++call) {
    run(call, milliseconds(5000));
  }
  admission.RequestSlot(Request(30, CallClass::Short), kNow);
  admission.RequestSlot(Request(31, CallClass::Short), kNow);
  BOOST_TEST((admission.RequestSlot(Request(32, CallClass::Short, 100), kNow) == AdmissionDecision::Queued));
}

BOOST_AUTO_TEST_CASE(a_call_that_waited_too_long_is_returned)
{
  Admission admission({ .slots = 1 });
  admission.RequestSlot(Request(1, CallClass::Short), kNow);
  AdmissionRequest waiting = Request(2, CallClass::Short);
  waiting.returnAt = kNow + milliseconds(300);
  admission.RequestSlot(waiting, kNow);
  BOOST_TEST(admission.RemoveExpired(kNow + milliseconds(299)).empty());
  BOOST_TEST((admission.RemoveExpired(kNow + milliseconds(300)) == std::vector<uint64_t>{ 2 }));
}

RC_BOOST_PROP(slots_are_never_overbooked_and_no_call_is_lost, (std::vector<uint16_t> aSteps))
{
  const int slots = *rc::gen::inRange(1, 9);
  Admission admission({ .slots = slots });
  std::map<uint64_t, CallClass> running;
  std::map<uint64_t, CallClass> waiting;
  uint64_t next = 0;
  Deadline now = kNow;
  const auto admit = [&](uint64_t aCall, CallClass aClass) {
    running[aCall] = aClass;
    RC_ASSERT(static_cast<int>(running.size()) <= slots);
  };
  for (const uint16_t step : aSteps) {
    now += milliseconds(step % 7);
    const CallClass callClass = step % 3 == 0 ? CallClass::Long : CallClass::Short;
    if (step % 2 == 0) {
      const uint64_t call = ++next;
      const auto decision = admission.RequestSlot({ .callNumber = call,
                                                    .callClass = callClass,
                                                    .deadline = now + milliseconds(step % 200),
                                                    .expectedCost = milliseconds(5) },
                                                  now);
      if (decision == AdmissionDecision::Admitted) {
        admit(call, callClass);
      } else if (decision == AdmissionDecision::Queued) {
        waiting[call] = callClass;
      }
    } else if (!running.empty()) {
      admission.Release(running.begin()->second, milliseconds(step % 30));
      running.erase(running.begin());
    } else if (!waiting.empty()) {
      RC_ASSERT(admission.Withdraw(waiting.begin()->first));
      waiting.erase(waiting.begin());
    }
    for (const uint64_t call : admission.RemoveExpired(now)) {
      RC_ASSERT(waiting.erase(call) == 1u);
    }
    for (const uint64_t call : admission.AdmitWaiting(now)) {
      RC_ASSERT(waiting.contains(call));
      admit(call, waiting[call]);
      waiting.erase(call);
    }
    RC_ASSERT(admission.WaitingCalls() == static_cast<int>(waiting.size()));
    RC_ASSERT(admission.SlotsInUse() == static_cast<int>(running.size()));
    const auto longCalls = std::count_if(
      running.begin(), running.end(), [](const auto& aCall) { return aCall.second == CallClass::Long; });
    RC_ASSERT(slots == 1 || longCalls < slots);
  }
}

/** Calls that were rejected at a load peak are retried with little time left. */
BOOST_AUTO_TEST_CASE(calls_that_miss_their_objective_are_admitted_last)
{
  Admission admission({ .slots = 1 });
  admission.RequestSlot(Request(1, CallClass::Short), kNow);
  AdmissionRequest late = Request(2, CallClass::Short, 400);
  late.objective = kNow - milliseconds(100);
  AdmissionRequest onTime = Request(3, CallClass::Short, 900);
  onTime.objective = kNow + milliseconds(500);
  BOOST_TEST((admission.RequestSlot(late, kNow) == AdmissionDecision::Queued));
  BOOST_TEST((admission.RequestSlot(onTime, kNow) == AdmissionDecision::Queued));
  admission.Release(CallClass::Short, milliseconds(10));
  BOOST_TEST((admission.AdmitWaiting(kNow) == std::vector<uint64_t>{ 3 }));
  admission.Release(CallClass::Short, milliseconds(10));
  BOOST_TEST((admission.AdmitWaiting(kNow) == std::vector<uint64_t>{ 2 }));
}

BOOST_AUTO_TEST_CASE(urgent_calls_are_admitted_first_even_if_late)
{
  Admission admission({ .slots = 1 });
  admission.RequestSlot(Request(1, CallClass::Short), kNow);
  AdmissionRequest urgent = Request(2, CallClass::Short);
  urgent.priority = 1;
  urgent.objective = kNow;
  AdmissionRequest other = Request(3, CallClass::Short);
  other.priority = 2;
  other.objective = kNow + milliseconds(500);
  admission.RequestSlot(other, kNow);
  admission.RequestSlot(urgent, kNow);
  admission.Release(CallClass::Short, milliseconds(10));
  BOOST_TEST((admission.AdmitWaiting(kNow) == std::vector<uint64_t>{ 2 }));
}

BOOST_AUTO_TEST_CASE(a_call_with_too_long_an_expected_wait_is_rejected)
{
  Admission admission({ .slots = 1 });
  admission.RequestSlot(Request(1, CallClass::Short), kNow);
  admission.Release(CallClass::Short, milliseconds(200));
  admission.RequestSlot(Request(2, CallClass::Short), kNow);
  AdmissionRequest shortWait = Request(3, CallClass::Short);
  shortWait.longestWait = milliseconds(50);
  BOOST_TEST((admission.RequestSlot(shortWait, kNow) == AdmissionDecision::WaitTooLong));
  BOOST_TEST(admission.WaitingCalls() == 0);
}

/** At twice the capacity, the admitted calls meet their objective and the slots stay busy. */
BOOST_AUTO_TEST_CASE(most_calls_meet_their_objective_at_twice_the_capacity)
{
  const milliseconds cost{ 100 };
  Admission admission({ .slots = 6 });
  std::map<uint64_t, Deadline> ends;
  std::map<uint64_t, Deadline> objectives;
  int inTime = 0;
  int served = 0;
  uint64_t number = 0;
  const auto start = [&](uint64_t aCall, Deadline aNow) { ends[aCall] = aNow + cost; };
  for (int step = 0; step < 1000; ++step) {
    const Deadline now = kNow + milliseconds(10 * step);
    for (auto end = ends.begin(); end != ends.end();) {
      if (end->second > now) {
        ++end;
        continue;
      }
      ++served;
      inTime += end->second <= objectives[end->first] ? 1 : 0;
      admission.Release(CallClass::Short, cost, "r");
      end = ends.erase(end);
    }
    // 120 calls arrive each second, a third of them retries of rejected calls; 60 can be served.
    for (int arrival = 0; arrival < (step % 5 == 0 ? 2 : 1); ++arrival) {
      const uint64_t call = ++number;
      const bool isRetry = call % 3 == 0;
      objectives[call] = now + milliseconds(isRetry ? -100 : 400);
      AdmissionRequest request{ .callNumber = call,
                                .costGroup = "r",
                                .deadline = now + milliseconds(isRetry ? 500 : 1000),
                                .objective = objectives[call],
                                .expectedCost = cost,
                                .returnAt = now + milliseconds(300),
                                .longestWait = milliseconds(isRetry ? 60 : 220) };
      if (admission.RequestSlot(request, now) == AdmissionDecision::Admitted) {
        start(call, now);
      }
    }
    admission.RemoveExpired(now);
    for (const uint64_t call : admission.AdmitWaiting(now)) {
      start(call, now);
    }
  }
  BOOST_TEST(served > 550);
  BOOST_TEST(inTime > served * 9 / 10, inTime << " of " << served);
}

// Guards against: a target gets far more requests than the limit that it has named (docs/incidents/006).
BOOST_AUTO_TEST_CASE(calls_beyond_the_rate_of_the_target_wait_although_slots_are_free)
{
  Admission admission({ .slots = 6 });
  admission.SetRateLimit(5, kNow);
  const Deadline later = kNow + milliseconds(200);
  BOOST_TEST((admission.RequestSlot(Request(1, CallClass::Short), later) == AdmissionDecision::Admitted));
  BOOST_TEST((admission.RequestSlot(Request(2, CallClass::Short), later) == AdmissionDecision::Queued));
  BOOST_TEST((admission.ExpectedWait(Request(3, CallClass::Short), later) == milliseconds(400)));
  AdmissionRequest impatient = Request(3, CallClass::Short);
  impatient.longestWait = milliseconds(100);
  BOOST_TEST((admission.RequestSlot(impatient, later) == AdmissionDecision::WaitTooLong));
  BOOST_TEST(admission.AdmitWaiting(later + milliseconds(100)).empty());
  BOOST_TEST((admission.AdmitWaiting(later + milliseconds(200)) == std::vector<uint64_t>{ 2 }));
  admission.SetRateLimit(std::nullopt, later);
  BOOST_TEST((admission.RequestSlot(Request(4, CallClass::Short), later) == AdmissionDecision::Admitted));
}
