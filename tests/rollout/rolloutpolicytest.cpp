#define BOOST_TEST_MODULE rolloutpolicy
#include "rollout/rolloutsimulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cmath>

using namespace mimosarun;

using std::chrono::milliseconds;

static const RolloutLimits kLimits;
/** Time from the 50th bad response until the rollback; nodes apply it within the rest of the limit. */
static constexpr milliseconds kRollbackTime{ 3000 };
static constexpr milliseconds kElectionTime{ 2000 };
static constexpr int kFewestTargets = 6;

/** Returns a rate from 5 to 10,000 requests a second, each order of magnitude equally often. */
static double
ArbitraryRate()
{
  return 5 * std::pow(2000.0, *rc::gen::inRange(0, 1001) / 1000.0);
}

static RolloutSimulation::Options
ArbitraryOptions(Badness aBadness)
{
  RolloutSimulation::Options options;
  options.badness = aBadness;
  options.requestsPerSecond = ArbitraryRate();
  // Simulating more than half a million requests takes too long for a test.
  const int longest = std::clamp(static_cast<int>(300000 / options.requestsPerSecond), 4, 120);
  options.duration = milliseconds(*rc::gen::inRange(4000, 1000 * longest + 1));
  options.targets = *rc::gen::inRange(2, 31);
  options.seed = *rc::gen::inRange<uint64_t>(1, 1000000);
  return options;
}

static double
ExposureLimit(const RolloutSimulation::Outcome& aOutcome)
{
  return kLimits.exposureShare * static_cast<double>(aOutcome.requests) +
         static_cast<double>(kLimits.exposureSlack);
}

/** Checks that a bad version gets few requests, and is rolled back soon after its 50th bad response. */
static void
CheckBad(const RolloutSimulation::Options& aOptions)
{
  const RolloutSimulation::Outcome outcome = RolloutSimulation(aOptions).Run();
  const std::string text = ToText(outcome);
  RC_LOG() << text << " rate " << aOptions.requestsPerSecond << " duration " << aOptions.duration.count()
           << " targets " << aOptions.targets << " seed " << aOptions.seed;
  RC_ASSERT(static_cast<double>(outcome.candidateRequests) <= ExposureLimit(outcome));
  if (outcome.badAt) {
    const milliseconds allowed = kRollbackTime + (aOptions.leaderLostAt ? kElectionTime : milliseconds(0));
    RC_ASSERT(outcome.state == wire::RolloutState::RolledBack);
    RC_ASSERT(outcome.endedAt <= *outcome.badAt + allowed);
  }
}

RC_BOOST_PROP(a_version_that_fails_at_once_is_rolled_back, ())
{
  CheckBad(ArbitraryOptions(Badness::AtOnce));
}

RC_BOOST_PROP(a_version_that_fails_after_half_of_the_time_is_rolled_back, ())
{
  CheckBad(ArbitraryOptions(Badness::AfterHalf));
}

RC_BOOST_PROP(a_version_that_fails_under_load_is_rolled_back, ())
{
  CheckBad(ArbitraryOptions(Badness::UnderLoad));
}

RC_BOOST_PROP(a_version_that_fails_on_one_route_is_rolled_back, ())
{
  RolloutSimulation::Options options = ArbitraryOptions(Badness::OneRoute);
  options.badShare = 0.6;
  CheckBad(options);
}

RC_BOOST_PROP(a_slow_version_is_rolled_back, ())
{
  // Two slow targets on fast machines can't be told from two good ones on slow machines.
  RolloutSimulation::Options options = ArbitraryOptions(Badness::Slow);
  options.targets = std::max(options.targets, kFewestTargets);
  CheckBad(options);
}

RC_BOOST_PROP(a_version_with_some_slow_responses_is_rolled_back, ())
{
  CheckBad(ArbitraryOptions(Badness::PartlySlow));
}

RC_BOOST_PROP(a_bad_version_is_rolled_back_although_the_leader_is_lost, ())
{
  RolloutSimulation::Options options = ArbitraryOptions(Badness::AtOnce);
  options.leaderLostAt = milliseconds(*rc::gen::inRange<int64_t>(0, options.duration.count()));
  CheckBad(options);
}

RC_BOOST_PROP(a_good_version_is_completed_in_time_beside_common_failures, ())
{
  RolloutSimulation::Options options = ArbitraryOptions(Badness::None);
  options.commonFailures = *rc::gen::inRange(0, 11) / 100.0;
  options.commonFaultPeak = *rc::gen::elementOf(std::vector<double>{ options.commonFailures, 0.3 });
  const RolloutSimulation::Outcome outcome = RolloutSimulation(options).Run();
  RC_LOG() << ToText(outcome) << " rate " << options.requestsPerSecond << " duration "
           << options.duration.count() << " targets " << options.targets << " seed " << options.seed
           << " common " << options.commonFailures << " peak " << options.commonFaultPeak;
  RC_ASSERT(outcome.state == wire::RolloutState::Completed);
  RC_ASSERT(outcome.endedAt <= options.duration);
  RC_ASSERT(outcome.cutCalls == 0);
}

RC_BOOST_PROP(a_good_version_is_not_rolled_back_because_the_leader_is_lost, ())
{
  RolloutSimulation::Options options = ArbitraryOptions(Badness::None);
  options.leaderLostAt = milliseconds(*rc::gen::inRange<int64_t>(0, options.duration.count()));
  const RolloutSimulation::Outcome outcome = RolloutSimulation(options).Run();
  RC_LOG() << ToText(outcome);
  RC_ASSERT(outcome.state == wire::RolloutState::Completed);
}
