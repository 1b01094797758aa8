#define BOOST_TEST_MODULE targetwatch
#include "target/targetwatch.h"
#include "target/targetfailuretracker.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kNow{ std::chrono::hours(1) };

static TargetReport
Report(const std::string& aName, int64_t aBorn, int64_t aSequence, wire::TargetPhase::type aPhase)
{
  return { .state = { .name = aName, .service = "s", .address = {}, .slots = 6, .phase = aPhase },
           .startedAtMillis = aBorn,
           .sequence = aSequence };
}

/** A watch that keeps what its listener heard. */
struct Fixture
{
  std::vector<TargetState> heard;
  TargetWatch watch{ { .lease = milliseconds(1000),
                       .listener = [this](const TargetState& aState) { heard.push_back(aState); } } };
};

BOOST_FIXTURE_TEST_CASE(a_statement_that_was_overtaken_changes_nothing, Fixture)
{
  BOOST_TEST(watch.ApplyReport(Report("a", 5, 2, wire::TargetPhase::Draining), kNow));
  BOOST_TEST(!watch.ApplyReport(Report("a", 5, 1, wire::TargetPhase::Ready), kNow));
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Draining));
}

BOOST_FIXTURE_TEST_CASE(a_former_life_says_nothing_of_the_present_one, Fixture)
{
  BOOST_TEST(watch.ApplyReport(Report("b", 9, 1, wire::TargetPhase::Ready), kNow));
  BOOST_TEST(!watch.ApplyReport(Report("a", 5, 70, wire::TargetPhase::Draining), kNow));
  BOOST_TEST(watch.State().name == "b");
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
}

BOOST_FIXTURE_TEST_CASE(a_life_under_the_same_name_counts_anew, Fixture)
{
  BOOST_TEST(watch.ApplyReport(Report("a", 5, 70, wire::TargetPhase::Ready), kNow));
  BOOST_TEST(watch.ApplyReport(Report("a", 9, 1, wire::TargetPhase::Ready), kNow));
}

BOOST_FIXTURE_TEST_CASE(a_life_that_has_ended_stays_ended, Fixture)
{
  watch.ApplyReport(Report("a", 5, 1, wire::TargetPhase::Ready), kNow);
  watch.EndIncarnation("a", 0, kNow);
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Draining));
  BOOST_TEST(!watch.ApplyReport(Report("a", 5, 2, wire::TargetPhase::Ready), kNow));
  watch.Observe({ .name = "a", .phase = wire::TargetPhase::Ready }, kNow);
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Draining));
  BOOST_TEST(watch.ApplyReport(Report("a", 6, 1, wire::TargetPhase::Ready), kNow));
}

BOOST_FIXTURE_TEST_CASE(the_end_of_a_former_life_leaves_the_present_one, Fixture)
{
  watch.ApplyReport(Report("b", 9, 1, wire::TargetPhase::Ready), kNow);
  watch.EndIncarnation("a", 5, kNow);
  watch.EndIncarnation("b", 8, kNow);
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
}

BOOST_FIXTURE_TEST_CASE(silence_past_the_lease_makes_a_target_absent, Fixture)
{
  watch.ApplyReport(Report("a", 5, 1, wire::TargetPhase::Ready), kNow);
  watch.CheckLease(kNow + milliseconds(1000));
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
  watch.CheckLease(kNow + milliseconds(1001));
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Absent));
  BOOST_TEST(heard.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_shows_another_life_loses_only_the_known_one, Fixture)
{
  watch.ApplyReport(Report("a", 5, 1, wire::TargetPhase::Ready), kNow);
  watch.MarkLost("z");
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Ready));
  watch.MarkLost("a");
  BOOST_TEST((watch.State().phase == wire::TargetPhase::Absent));
  BOOST_TEST(watch.ApplyReport(Report("a", 5, 2, wire::TargetPhase::Ready), kNow));
}

BOOST_AUTO_TEST_CASE(a_target_that_fails_half_of_its_calls_is_doubted_but_tried_now_and_then)
{
  TargetFailureTracker trust;
  for (int call = 0; call < 60; ++call) {
    trust.RecordOutcome(
      call % 2 == 0 ? TargetFailureTracker::Outcome::Failed : TargetFailureTracker::Outcome::Succeeded, kNow);
  }
  BOOST_TEST(trust.FailurePenalty(kNow).count() > 300);
  int tried = 0;
  for (int step = 0; step < 100; ++step) {
    tried += trust.ShouldReject(milliseconds(100), kNow + milliseconds(10 * step)) ? 0 : 1;
  }
  BOOST_TEST(tried >= 3);
  BOOST_TEST(tried <= 10);
  BOOST_TEST(!trust.ShouldReject(milliseconds(5000), kNow));
}

BOOST_AUTO_TEST_CASE(a_failure_now_and_then_raises_no_doubt_and_doubts_end)
{
  TargetFailureTracker trust;
  for (int call = 0; call < 200; ++call) {
    trust.RecordOutcome(call % 50 == 0 ? TargetFailureTracker::Outcome::Failed
                                       : TargetFailureTracker::Outcome::Succeeded,
                        kNow);
    BOOST_TEST(trust.FailurePenalty(kNow).count() == 0);
  }
  for (int call = 0; call < 30; ++call) {
    trust.RecordOutcome(TargetFailureTracker::Outcome::Failed, kNow);
  }
  BOOST_TEST(trust.FailurePenalty(kNow).count() > 0);
  BOOST_TEST(trust.FailurePenalty(kNow + std::chrono::seconds(10)).count() == 0);
}
