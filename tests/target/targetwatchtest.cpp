#define BOOST_TEST_MODULE targetwatch
#include "target/targetwatch.h"
#include "target/targetfailuretracker.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kNow{ std::chrono::hours(1) };
/** Time after which an incarnation of the fixture counts as silent. */
static constexpr milliseconds kSilenceTime{ 500 };
static constexpr milliseconds kHeartbeat{ 333 };

static TargetReport
Report(const std::string& aName, int64_t aStartedAtMillis, int64_t aSequence, wire::TargetPhase::type aPhase)
{
  return { .state = { .name = aName, .service = "s", .address = {}, .slots = 6, .phase = aPhase },
           .startedAtMillis = aStartedAtMillis,
           .sequence = aSequence };
}

/** A TargetWatch whose listener records the states that it receives. */
struct Fixture
{
  bool Applies(const TargetReport& aReport, Deadline aNow)
  {
    return watch.ApplyReport(aReport, aNow) == ReportResult::Applied;
  }

  std::vector<TargetState> receivedStates;
  TargetWatch watch{ { .lease = milliseconds(1000), .listener = [this](const TargetState& aState) {
                        receivedStates.push_back(aState);
                      } } };
};

BOOST_FIXTURE_TEST_CASE(a_report_that_arrives_out_of_order_is_ignored, Fixture)
{
  BOOST_TEST(Applies(Report("a", 5, 2, wire::TargetPhase::Draining), kNow));
  BOOST_TEST(!Applies(Report("a", 5, 1, wire::TargetPhase::Ready), kNow));
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Draining));
}

// Guards against: a delayed report whose number is 0 puts a target back in use that has left
// (docs/incidents/024).
BOOST_FIXTURE_TEST_CASE(a_delayed_first_report_is_ignored_whatever_its_number, Fixture)
{
  for (const int64_t first : { int64_t{ -1 }, int64_t{ 0 }, int64_t{ 1 }, int64_t{ 9007199254740000 } }) {
    for (const bool cameInTime : { false, true }) {
      Fixture fixture;
      if (cameInTime) {
        BOOST_TEST(fixture.Applies(Report("a", 5, first, wire::TargetPhase::Ready), kNow));
      }
      BOOST_TEST(fixture.Applies(Report("a", 5, first + 1, wire::TargetPhase::Ready), kNow));
      BOOST_TEST(fixture.Applies(Report("a", 5, first + 2, wire::TargetPhase::Draining), kNow));
      BOOST_TEST(!fixture.Applies(Report("a", 5, first, wire::TargetPhase::Ready), kNow));
      BOOST_TEST((fixture.watch.State().phase == wire::TargetPhase::Draining));
    }
  }
}

// Guards against: a start of 0, which is a time as any other, is taken for one that isn't known.
BOOST_FIXTURE_TEST_CASE(a_start_may_be_zero, Fixture)
{
  BOOST_TEST(Applies(Report("a", 0, 3, wire::TargetPhase::Ready), kNow));
  // Another start claims the name; the target goes on reporting.
  BOOST_TEST(
    (watch.ApplyReport(Report("a", 7, 1, wire::TargetPhase::Draining), kNow) == ReportResult::Pending));
  watch.EndIncarnation("a", 0, kNow);
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Draining));
  // The start of the incarnation that ended is known, so a later one is no delayed report.
  BOOST_TEST(Applies(Report("a", 7, 2, wire::TargetPhase::Ready), kNow));
}

BOOST_FIXTURE_TEST_CASE(reports_without_numbers_follow_each_other, Fixture)
{
  for (const auto phase :
       { wire::TargetPhase::Ready, wire::TargetPhase::Draining, wire::TargetPhase::Ready }) {
    BOOST_TEST(Applies({ .state = { .name = "a", .service = "s", .phase = phase } }, kNow));
    BOOST_TEST((watch.State().phase == phase));
  }
}

// Guards against: a target that a health check has found keeps the number of the one before it.
BOOST_FIXTURE_TEST_CASE(an_observed_target_has_no_number_yet, Fixture)
{
  BOOST_TEST(Applies(Report("a", 5, 70, wire::TargetPhase::Ready), kNow));
  watch.MarkLost("a", kNow);
  watch.Observe({ .name = "b", .service = "s", .phase = wire::TargetPhase::Ready }, kNow);
  BOOST_TEST(Applies(Report("b", 4, 1, wire::TargetPhase::Ready), kNow));
}

BOOST_FIXTURE_TEST_CASE(a_report_of_a_former_incarnation_is_ignored, Fixture)
{
  BOOST_TEST(Applies(Report("b", 9, 1, wire::TargetPhase::Ready), kNow));
  BOOST_TEST(!Applies(Report("a", 5, 70, wire::TargetPhase::Draining), kNow));
  BOOST_TEST(watch.State().name == "b");
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
}

BOOST_FIXTURE_TEST_CASE(a_later_incarnation_with_the_same_name_restarts_the_sequence, Fixture)
{
  BOOST_TEST(Applies(Report("a", 5, 70, wire::TargetPhase::Ready), kNow));
  BOOST_TEST(Applies(Report("a", 9, 1, wire::TargetPhase::Ready), kNow + kSilenceTime));
  BOOST_TEST(!Applies(Report("a", 5, 71, wire::TargetPhase::Ready), kNow + kSilenceTime));
}

// Guards against: one report of another writer takes the target out of use, and its own reports are ignored.
BOOST_FIXTURE_TEST_CASE(a_report_does_not_displace_an_incarnation_that_goes_on_reporting, Fixture)
{
  const int64_t inTenYears = 10LL * 365 * 24 * 3600 * 1000;
  int64_t sequence = 0;
  Deadline now = kNow;
  BOOST_TEST(Applies(Report("a", 5, ++sequence, wire::TargetPhase::Ready), now));
  for (const char* const name : { "b", "a" }) {
    for (const auto phase : { wire::TargetPhase::Ready, wire::TargetPhase::Draining }) {
      const auto other = Report(name, inTenYears, ++sequence, phase);
      BOOST_TEST((watch.ApplyReport(other, now) == ReportResult::Pending));
      now += kHeartbeat;
      BOOST_TEST(Applies(Report("a", 5, ++sequence, wire::TargetPhase::Ready), now));
      BOOST_TEST(watch.State().name == "a");
      BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
    }
  }
}

// Guards against: the target stays out of use, as the other writer's report came while it was silent.
BOOST_FIXTURE_TEST_CASE(an_incarnation_that_reports_on_returns_after_another_writer_was_believed, Fixture)
{
  for (const char* const name : { "b", "a" }) {
    Fixture fixture;
    BOOST_TEST(fixture.Applies(Report("a", 5, 1, wire::TargetPhase::Ready), kNow));
    const Deadline late = kNow + kSilenceTime;
    BOOST_TEST(fixture.Applies(Report(name, 99, 1, wire::TargetPhase::Draining), late));
    Deadline now = late;
    for (int64_t sequence = 2; sequence < 6; ++sequence) {
      now += kHeartbeat;
      fixture.watch.CheckLease(now);
      fixture.watch.ApplyReport(Report("a", 5, sequence, wire::TargetPhase::Ready), now);
    }
    BOOST_TEST(fixture.watch.State().name == "a");
    BOOST_TEST((fixture.watch.State().phase == wire::TargetPhase::Ready));
  }
}

// Guards against: a delayed report revives an incarnation that another one has followed.
BOOST_FIXTURE_TEST_CASE(a_single_report_of_a_former_incarnation_does_not_revive_it, Fixture)
{
  watch.ApplyReport(Report("b", 9, 1, wire::TargetPhase::Ready), kNow);
  const Deadline later = kNow + 3 * kSilenceTime;
  watch.CheckLease(later);
  BOOST_TEST(!Applies(Report("a", 5, 70, wire::TargetPhase::Ready), later));
  BOOST_TEST(!Applies(Report("b", 5, 70, wire::TargetPhase::Ready), later));
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Absent));
}

BOOST_FIXTURE_TEST_CASE(a_claim_is_applied_once_the_target_names_it, Fixture)
{
  BOOST_TEST(Applies(Report("a", 5, 1, wire::TargetPhase::Ready), kNow));
  BOOST_TEST(!Applies(Report("b", 9, 1, wire::TargetPhase::Ready), kNow));
  watch.Confirm("a", kNow);
  watch.Confirm("c", kNow);
  BOOST_TEST(watch.State().name == "a");
  watch.Confirm("b", kNow);
  BOOST_TEST(watch.State().name == "b");
  // The reports of the one that it has followed are late.
  BOOST_TEST(!Applies(Report("a", 5, 2, wire::TargetPhase::Ready), kNow));
  BOOST_TEST(Applies(Report("b", 9, 2, wire::TargetPhase::Ready), kNow));
}

BOOST_FIXTURE_TEST_CASE(a_claim_is_applied_when_the_current_incarnation_is_lost, Fixture)
{
  BOOST_TEST(Applies(Report("a", 5, 1, wire::TargetPhase::Ready), kNow));
  BOOST_TEST(!Applies(Report("b", 9, 1, wire::TargetPhase::Ready), kNow));
  watch.MarkLost("a", kNow);
  BOOST_TEST(watch.State().name == "b");
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
}

// Guards against: another writer's deregistrations make a gate forget that its target has ended.
BOOST_FIXTURE_TEST_CASE(an_ended_incarnation_is_remembered_beside_others, Fixture)
{
  watch.ApplyReport(Report("a", 5, 1, wire::TargetPhase::Ready), kNow);
  watch.EndIncarnation("a", std::nullopt, kNow);
  watch.EndIncarnation("another", std::nullopt, kNow);
  BOOST_TEST(!Applies(Report("a", 5, 2, wire::TargetPhase::Ready), kNow));
}

BOOST_FIXTURE_TEST_CASE(an_incarnation_does_not_change_its_service, Fixture)
{
  BOOST_TEST(Applies(Report("a", 5, 1, wire::TargetPhase::Ready), kNow));
  TargetReport other = Report("a", 5, 2, wire::TargetPhase::Ready);
  other.state.service = "t";
  BOOST_TEST(!Applies(other, kNow));
  BOOST_TEST(watch.State().service == "s");
  // Where targets don't report their start, another one may have the same name.
  watch.CheckLease(kNow + 3 * kSilenceTime);
  BOOST_TEST(Applies(other, kNow + 3 * kSilenceTime));
}

BOOST_FIXTURE_TEST_CASE(an_incarnation_that_has_ended_stays_ended, Fixture)
{
  watch.ApplyReport(Report("a", 5, 1, wire::TargetPhase::Ready), kNow);
  watch.EndIncarnation("a", std::nullopt, kNow);
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Draining));
  BOOST_TEST(!Applies(Report("a", 5, 2, wire::TargetPhase::Ready), kNow));
  watch.Observe({ .name = "a", .phase = wire::TargetPhase::Ready }, kNow);
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Draining));
  BOOST_TEST(Applies(Report("a", 6, 1, wire::TargetPhase::Ready), kNow));
}

BOOST_FIXTURE_TEST_CASE(a_delayed_report_does_not_revive_a_target_whose_start_was_unknown_when_it_left,
                        Fixture)
{
  const int64_t wallMillis = std::chrono::duration_cast<milliseconds>(WallNow().time_since_epoch()).count();
  // After a restart the gate knows the target only from a health check, and the deregistration has no start.
  watch.Observe({ .name = "a", .phase = wire::TargetPhase::Ready }, kNow);
  watch.EndIncarnation("a", std::nullopt, kNow);
  BOOST_TEST(!Applies(Report("a", wallMillis - 5000, 9, wire::TargetPhase::Ready), kNow));
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Draining));
  // A target that starts again under its identifier is a new incarnation.
  BOOST_TEST(Applies(Report("a", wallMillis + 5000, 1, wire::TargetPhase::Ready), kNow));
}

BOOST_FIXTURE_TEST_CASE(a_target_that_ends_before_the_gate_knows_it_stays_ended, Fixture)
{
  const int64_t wallMillis = std::chrono::duration_cast<milliseconds>(WallNow().time_since_epoch()).count();
  watch.EndIncarnation("a", std::nullopt, kNow);
  BOOST_TEST(!Applies(Report("a", wallMillis - 5000, 9, wire::TargetPhase::Ready), kNow));
  // Clocks differ, so an incarnation isn't ignored for good.
  BOOST_TEST(
    Applies(Report("a", wallMillis - 5000, 40, wire::TargetPhase::Ready), kNow + std::chrono::seconds(61)));
}

BOOST_FIXTURE_TEST_CASE(the_end_of_a_former_incarnation_leaves_the_current_one_ready, Fixture)
{
  watch.ApplyReport(Report("b", 9, 1, wire::TargetPhase::Ready), kNow);
  watch.EndIncarnation("a", 5, kNow);
  watch.EndIncarnation("b", 8, kNow);
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
}

BOOST_FIXTURE_TEST_CASE(a_target_is_absent_after_its_lease_expires, Fixture)
{
  watch.ApplyReport(Report("a", 5, 1, wire::TargetPhase::Ready), kNow);
  watch.CheckLease(kNow + milliseconds(1000));
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
  watch.CheckLease(kNow + milliseconds(1001));
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Absent));
  BOOST_TEST(receivedStates.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(only_the_current_incarnation_can_be_marked_lost, Fixture)
{
  watch.ApplyReport(Report("a", 5, 1, wire::TargetPhase::Ready), kNow);
  watch.MarkLost("z", kNow);
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
  watch.MarkLost("a", kNow);
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Absent));
  BOOST_TEST(Applies(Report("a", 5, 2, wire::TargetPhase::Ready), kNow));
}

BOOST_AUTO_TEST_CASE(a_target_that_fails_half_of_its_calls_gets_only_trial_calls)
{
  TargetFailureTracker tracker;
  for (int call = 0; call < 60; ++call) {
    tracker.RecordOutcome(
      call % 2 == 0 ? TargetFailureTracker::Outcome::Failed : TargetFailureTracker::Outcome::Succeeded, kNow);
  }
  BOOST_TEST(tracker.FailurePenalty(kNow).count() > 300);
  int accepted = 0;
  for (int step = 0; step < 100; ++step) {
    accepted += tracker.ShouldReject(milliseconds(100), kNow + milliseconds(10 * step)) ? 0 : 1;
  }
  BOOST_TEST(accepted >= 3);
  BOOST_TEST(accepted <= 10);
  BOOST_TEST(!tracker.ShouldReject(milliseconds(5000), kNow));
}

BOOST_AUTO_TEST_CASE(rare_failures_cause_no_penalty_and_penalties_expire)
{
  TargetFailureTracker tracker;
  for (int call = 0; call < 200; ++call) {
    tracker.RecordOutcome(call % 50 == 0 ? TargetFailureTracker::Outcome::Failed
                                         : TargetFailureTracker::Outcome::Succeeded,
                          kNow);
    BOOST_TEST(tracker.FailurePenalty(kNow).count() == 0);
  }
  for (int call = 0; call < 30; ++call) {
    tracker.RecordOutcome(TargetFailureTracker::Outcome::Failed, kNow);
  }
  BOOST_TEST(tracker.FailurePenalty(kNow).count() > 0);
  BOOST_TEST(tracker.FailurePenalty(kNow + std::chrono::seconds(10)).count() == 0);
}
