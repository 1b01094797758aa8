#define BOOST_TEST_MODULE revocation
#include "team/revocationworld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <random>

using namespace mimosarun;
using std::chrono::milliseconds;

/** Times of one way between node and replica, and of a confirmation by the quorum. */
static constexpr milliseconds kOneWay{ 20 };
static constexpr milliseconds kConfirmTime{ 60 };
/** A node without contact honours keys at least for this time, 0.6 of the bound. */
static constexpr milliseconds kEntitledTime{ 3000 };

static void
Connect(RevocationWorld& aWorld)
{
  aWorld.ConfirmPeriodically(kConfirmTime);
  aWorld.PollPeriodically(kOneWay, kOneWay);
}

/** Runs until a time and fails if the bound is broken at any moment. */
static void
RunWithinBound(RevocationWorld& aWorld, milliseconds aUntil)
{
  while (aWorld.Now() < aUntil) {
    aWorld.RunUntil(aWorld.Now() + milliseconds(10));
    BOOST_REQUIRE_MESSAGE(!aWorld.BreaksBound(), "at " << aWorld.Now().count() << " ms");
  }
}

/** Removes the key of a node that has just lost contact, and checks until when the node honours it. */
static void
CheckLeaseAfterLoss(RevocationWorld& aWorld)
{
  const milliseconds lostAt = aWorld.Now();
  aWorld.AcknowledgeVersion();
  RunWithinBound(aWorld, lostAt + kEntitledTime);
  BOOST_TEST((aWorld.CheckKey(1) == CredentialVerdict::Accepted));
  RunWithinBound(aWorld, lostAt + milliseconds(5001));
  BOOST_TEST((aWorld.CheckKey(1) == CredentialVerdict::NoValidity));
}

BOOST_AUTO_TEST_CASE(a_connected_node_honours_the_key_of_the_newest_version)
{
  RevocationWorld world;
  Connect(world);
  world.RunUntil(milliseconds(2000));
  for (int step = 0; step < 200; ++step) {
    world.RunUntil(world.Now() + milliseconds(50));
    BOOST_TEST((world.CheckKey(1) == CredentialVerdict::Accepted));
  }
  world.AcknowledgeVersion();
  world.RunUntil(world.Now() + milliseconds(2000));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::UnknownKey));
  BOOST_TEST((world.CheckKey(2) == CredentialVerdict::Accepted));
}

// Guards against: a node that is cut off refuses calls while its lease should last, or honours a removed key.
BOOST_AUTO_TEST_CASE(a_node_that_is_cut_off_both_ways_honours_keys_only_until_its_lease_ends)
{
  RevocationWorld world;
  Connect(world);
  world.RunUntil(milliseconds(4000));
  world.pollsArrive = false;
  world.repliesArrive = false;
  CheckLeaseAfterLoss(world);
  BOOST_TEST((world.CheckKey(2) == CredentialVerdict::NoValidity));
}

// Guards against: polls that arrive renew a lease although their replies don't.
BOOST_AUTO_TEST_CASE(a_node_whose_replies_are_lost_gets_no_lease)
{
  RevocationWorld world;
  Connect(world);
  world.RunUntil(milliseconds(4000));
  world.repliesArrive = false;
  CheckLeaseAfterLoss(world);
}

// Guards against: requests that waited while the node was suspended run with a key that is long removed, or a
// reply that waited too renews the lease.
BOOST_AUTO_TEST_CASE(a_suspended_node_refuses_what_waited_for_it)
{
  RevocationWorld world;
  Connect(world);
  world.RunUntil(milliseconds(4000));
  BOOST_TEST(world.MaySend(1));
  world.Suspend();
  world.AcknowledgeVersion();
  world.RunUntil(milliseconds(4000) + milliseconds(7000));
  world.Resume();
  BOOST_TEST(!world.BreaksBound());
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::NoValidity));
  BOOST_TEST(!world.MaySend(1));
  RunWithinBound(world, milliseconds(14000));
  BOOST_TEST((world.CheckKey(2) == CredentialVerdict::Accepted));
}

// Guards against: an election as long as those of a killed leader interrupts the service of connected nodes.
BOOST_AUTO_TEST_CASE(a_leader_lost_at_the_moment_of_the_revocation_interrupts_nobody)
{
  RevocationWorld world;
  Connect(world);
  world.RunUntil(milliseconds(4000));
  world.AcknowledgeVersion();
  world.quorumAnswers = false;
  RunWithinBound(world, milliseconds(6000));
  BOOST_TEST((world.CheckKey(1) != CredentialVerdict::NoValidity));
  world.quorumAnswers = true;
  RunWithinBound(world, milliseconds(8000));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::UnknownKey));
  BOOST_TEST((world.CheckKey(2) == CredentialVerdict::Accepted));
}

// Guards against: replicas without a quorum keep the leases of their nodes alive with an old confirmation.
BOOST_AUTO_TEST_CASE(leases_end_while_control_has_no_majority)
{
  RevocationWorld world;
  Connect(world);
  world.RunUntil(milliseconds(4000));
  world.quorumAnswers = false;
  RunWithinBound(world, milliseconds(9100));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::NoValidity));
}

// Guards against: a reply that was on its way for long gives a lease of full length.
BOOST_AUTO_TEST_CASE(a_delayed_reply_gives_a_shorter_lease)
{
  RevocationWorld world;
  world.AskQuorum(milliseconds(10));
  world.RunUntil(milliseconds(20));
  world.SendPoll(milliseconds(10), milliseconds(100), milliseconds(4000));
  world.AcknowledgeVersion();
  RunWithinBound(world, milliseconds(4200));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::Accepted));
  RunWithinBound(world, milliseconds(5050));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::NoValidity));
}

BOOST_AUTO_TEST_CASE(a_reply_that_is_overtaken_does_not_shorten_the_lease)
{
  RevocationWorld world;
  world.AskQuorum(milliseconds(10));
  world.RunUntil(milliseconds(20));
  world.SendPoll(milliseconds(10), milliseconds(0), milliseconds(1500));
  world.RunUntil(milliseconds(1000));
  world.AskQuorum(milliseconds(10));
  world.RunUntil(milliseconds(1020));
  world.SendPoll(milliseconds(10), milliseconds(0), milliseconds(10));
  RunWithinBound(world, milliseconds(5500));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::Accepted));
}

// Guards against: a lease that is measured with a slow clock lasts longer than the bound.
BOOST_AUTO_TEST_CASE(a_lease_measured_with_a_slow_clock_ends_in_time)
{
  RevocationWorld world(RevocationWorld::Options{ .nodeRate = 0.985 });
  world.AskQuorum(milliseconds(0));
  world.RunUntil(milliseconds(0));
  world.AcknowledgeVersion();
  world.SendPoll(milliseconds(0), milliseconds(0), milliseconds(0));
  RunWithinBound(world, milliseconds(4800));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::Accepted));
  RunWithinBound(world, milliseconds(6000));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::NoValidity));
}

BOOST_AUTO_TEST_CASE(a_node_restarted_while_cut_off_has_no_lease)
{
  RevocationWorld world;
  Connect(world);
  world.RunUntil(milliseconds(4000));
  world.pollsArrive = false;
  world.repliesArrive = false;
  world.RestartNode();
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::NoValidity));
  RunWithinBound(world, milliseconds(10000));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::NoValidity));
}

// Guards against: a request that was accepted under a version with the key is sent because a later version,
// which lacks the key, has been confirmed since.
BOOST_AUTO_TEST_CASE(the_lease_of_a_later_version_does_not_cover_an_earlier_one)
{
  RevocationWorld world;
  Connect(world);
  world.RunUntil(milliseconds(4000));
  world.AcknowledgeVersion();
  world.RunUntil(milliseconds(6000));
  BOOST_TEST((world.CheckKey(2) == CredentialVerdict::Accepted));
  RunWithinBound(world, milliseconds(9001));
  BOOST_TEST(!world.MaySend(1));
  BOOST_TEST(world.MaySend(2));
}

BOOST_AUTO_TEST_CASE(without_strict_revocation_no_lease_is_needed)
{
  RevocationWorld world(RevocationWorld::Options{ .limits = { .isStrict = false } });
  world.RunUntil(milliseconds(60000));
  BOOST_TEST((world.CheckKey(1) == CredentialVerdict::Accepted));
}

/** Draws delays, faults and clocks of a schedule. */
class Schedule
{
public:
  explicit Schedule(uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  bool Happens(double aProbability) { return std::bernoulli_distribution(aProbability)(m_engine); }
  milliseconds Delay(int64_t aLongest)
  {
    return milliseconds(std::uniform_int_distribution<int64_t>(0, aLongest)(m_engine));
  }
  /** Rates whose difference stays within the margin of the lease. */
  double Rate() { return std::uniform_real_distribution<double>(0.992, 1.008)(m_engine); }

private:
  std::mt19937_64 m_engine;
};

RC_BOOST_PROP(no_schedule_honours_a_key_later_than_the_bound, (uint64_t aSeed))
{
  Schedule schedule(aSeed);
  RevocationWorld world(
    RevocationWorld::Options{ .nodeRate = schedule.Rate(), .replicaRate = schedule.Rate() });
  const bool isSlow = schedule.Happens(0.5);
  const int64_t longestDelay = isSlow ? 6000 : 100;
  bool isSuspended = false;
  for (int step = 0; step < 3000; ++step) {
    world.RunUntil(world.Now() + milliseconds(10));
    if (schedule.Happens(0.005)) {
      world.AcknowledgeVersion();
    }
    if (schedule.Happens(0.04)) {
      world.AskQuorum(schedule.Delay(longestDelay));
    }
    if (schedule.Happens(0.02)) {
      world.SendPoll(schedule.Delay(longestDelay), schedule.Delay(800), schedule.Delay(longestDelay));
    }
    if (schedule.Happens(0.005)) {
      isSuspended = !isSuspended;
      if (isSuspended) {
        world.Suspend();
      } else {
        world.Resume();
      }
    }
    world.quorumAnswers = schedule.Happens(0.01) ? !world.quorumAnswers : world.quorumAnswers;
    world.pollsArrive = schedule.Happens(0.01) ? !world.pollsArrive : world.pollsArrive;
    world.repliesArrive = schedule.Happens(0.01) ? !world.repliesArrive : world.repliesArrive;
    if (schedule.Happens(0.001)) {
      world.RestartNode();
    }
    if (schedule.Happens(0.005)) {
      // Another node brings the newest version.
      world.heldVersion = world.NewestVersion();
    }
    RC_ASSERT(!world.BreaksBound());
  }
}

RC_BOOST_PROP(a_node_without_contact_honours_keys_for_the_time_that_callers_are_entitled_to, (uint64_t aSeed))
{
  Schedule schedule(aSeed);
  RevocationWorld world(
    RevocationWorld::Options{ .nodeRate = schedule.Rate(), .replicaRate = schedule.Rate() });
  world.ConfirmPeriodically(schedule.Delay(150));
  world.PollPeriodically(schedule.Delay(50), schedule.Delay(50));
  const milliseconds cutAt = milliseconds(2000) + schedule.Delay(3000);
  world.RunUntil(cutAt);
  world.pollsArrive = !schedule.Happens(0.5);
  world.repliesArrive = false;
  while (world.Now() < cutAt + kEntitledTime) {
    RC_ASSERT(world.CheckKey(1) == CredentialVerdict::Accepted);
    world.RunUntil(world.Now() + milliseconds(10));
  }
}
