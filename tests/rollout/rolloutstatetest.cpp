#define BOOST_TEST_MODULE rolloutstate
#include "control/configurationstate.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace mimosarun;

static constexpr int64_t kMicrosPerSecond = 1000000;

static wire::CommandResult
Order(ConfigurationState& aState, const std::string& aVersion, int64_t aDurationMillis, int64_t aAtSeconds)
{
  wire::LogEntry entry;
  entry.command.kind = wire::CommandKind::StartRollout;
  entry.command.atMicros = aAtSeconds * kMicrosPerSecond;
  wire::RolloutRecord order;
  order.serviceName = "books";
  order.candidateVersion = aVersion;
  order.durationMillis = aDurationMillis;
  entry.command.__set_rollout(order);
  return aState.Apply(entry);
}

static wire::CommandResult
Advance(ConfigurationState& aState, int64_t aRevision, int aPermille, wire::RolloutState::type aNext)
{
  wire::LogEntry entry;
  entry.command.kind = wire::CommandKind::AdvanceRollout;
  entry.command.basedOn = aRevision;
  wire::RolloutRecord change;
  change.serviceName = "books";
  change.candidatePermille = aPermille;
  change.state = aNext;
  change.stage = "canary";
  change.elapsedMillis = 2000;
  entry.command.__set_rollout(change);
  return aState.Apply(entry);
}

BOOST_AUTO_TEST_CASE(the_same_order_succeeds_again_and_another_one_is_rejected_while_it_runs)
{
  // Guards against refusing an operator whose first answer was lost, and against a second roll-out beside
  // one.
  ConfigurationState state;
  BOOST_TEST((Order(state, "v2", 12000, 100).code == wire::ResultCode::Done));
  BOOST_TEST(state.RolloutRevision() == 1);
  BOOST_TEST((Order(state, "v2", 12000, 101).code == wire::ResultCode::Done));
  BOOST_TEST(state.RolloutRevision() == 1);
  BOOST_TEST((Order(state, "v3", 12000, 101).code == wire::ResultCode::Taken));
  BOOST_TEST((Order(state, "v2", 13000, 101).code == wire::ResultCode::Taken));
  BOOST_TEST(state.FindRollout("books")->record.candidateVersion == "v2");
}

BOOST_AUTO_TEST_CASE(an_order_that_is_repeated_soon_after_the_end_starts_nothing)
{
  // Guards against a second roll-out of a version because an acknowledgement was late.
  ConfigurationState state;
  Order(state, "v2", 12000, 100);
  Advance(state, 1, 0, wire::RolloutState::RolledBack);
  BOOST_TEST((Order(state, "v2", 12000, 110).code == wire::ResultCode::Done));
  BOOST_TEST((state.FindRollout("books")->record.state == wire::RolloutState::RolledBack));
  BOOST_TEST((Order(state, "v2", 12000, 130).code == wire::ResultCode::Done));
  BOOST_TEST((state.FindRollout("books")->record.state == wire::RolloutState::Running));
}

BOOST_AUTO_TEST_CASE(only_a_change_of_the_current_revision_of_a_running_rollout_is_accepted)
{
  // Guards against a former leader's share that would replace a rollback.
  ConfigurationState state;
  Order(state, "v2", 12000, 100);
  BOOST_TEST((Advance(state, 1, 40, wire::RolloutState::Running).code == wire::ResultCode::Done));
  BOOST_TEST((Advance(state, 1, 500, wire::RolloutState::Running).code == wire::ResultCode::StaleBase));
  BOOST_TEST((Advance(state, 2, 300, wire::RolloutState::RolledBack).code == wire::ResultCode::Done));
  BOOST_TEST(state.FindRollout("books")->record.candidatePermille == 0);
  BOOST_TEST((Advance(state, 3, 500, wire::RolloutState::Running).code == wire::ResultCode::StaleBase));
}

BOOST_AUTO_TEST_CASE(rejected_versions_stay_known_until_they_are_ordered_again)
{
  // Guards against requests for a version that was rolled back before the last roll-out.
  ConfigurationState state;
  Order(state, "v2", 12000, 100);
  Advance(state, 1, 0, wire::RolloutState::RolledBack);
  Order(state, "v3", 12000, 200);
  BOOST_TEST((state.FindRollout("books")->record.rejectedVersions == std::vector<std::string>{ "v2" }));
  Advance(state, 3, 1000, wire::RolloutState::Completed);
  Order(state, "v2", 12000, 300);
  BOOST_TEST(state.FindRollout("books")->record.rejectedVersions.empty());
}

BOOST_AUTO_TEST_CASE(an_order_without_version_or_duration_is_invalid)
{
  ConfigurationState state;
  BOOST_TEST((Order(state, "", 12000, 100).code == wire::ResultCode::Invalid));
  BOOST_TEST((Order(state, "v2", 0, 100).code == wire::ResultCode::Invalid));
  BOOST_TEST(state.Rollouts().rollouts.empty());
}

BOOST_AUTO_TEST_CASE(rollouts_survive_a_snapshot)
{
  // Guards against an accepted order that is lost when the log is compacted.
  ConfigurationState state;
  Order(state, "v2", 12000, 100);
  Advance(state, 1, 40, wire::RolloutState::Running);
  ConfigurationState restored;
  BOOST_REQUIRE(restored.Restore(state.Image()));
  BOOST_TEST(restored.RolloutRevision() == 2);
  BOOST_TEST((restored.FindRollout("books")->record == state.FindRollout("books")->record));
}

BOOST_AUTO_TEST_CASE(a_change_of_a_rollout_wakes_waiters)
{
  // Guards against nodes that learn of a rollback only when their poll ends.
  ConfigurationState state;
  std::thread changer([&] { Order(state, "v2", 12000, 100); });
  const Deadline deadline = SteadyClock::now() + std::chrono::seconds(5);
  state.WaitForNewer(0, deadline, [&] { return state.RolloutRevision() > 0; });
  BOOST_TEST((SteadyClock::now() < deadline));
  changer.join();
}

BOOST_AUTO_TEST_CASE(the_elapsed_time_continues_from_the_record_and_after_a_restart_from_the_wall_clock)
{
  // Guards against a new leader that gives a roll-out its whole duration again.
  using namespace std::chrono_literals;
  AppliedRollout rollout;
  rollout.record.elapsedMillis = 3000;
  rollout.record.orderedAtMicros = 0;
  rollout.orderAppliedAt = Deadline(1h);
  rollout.appliedAt = Deadline(1h) + 1s;
  BOOST_TEST((rollout.Elapsed(Deadline(1h) + 2s, WallTime(60s)) == 4s));
  rollout.record.elapsedMillis = 500;
  BOOST_TEST((rollout.Elapsed(Deadline(1h) + 2s, WallTime(60s)) == 2s));
  rollout.isReplayed = true;
  BOOST_TEST((rollout.Elapsed(Deadline(1h) + 2s, WallTime(60s)) == 60s));
}
