#define BOOST_TEST_MODULE membership
#include "control/membership.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace mimosarun;
using std::chrono::milliseconds;

static wire::Replica
MakeMember(const std::string& aName, bool aVoter)
{
  wire::Replica replica;
  replica.name = aName;
  replica.incarnation = 1;
  replica.voter = aVoter;
  return replica;
}

static int
VoterCount(const std::vector<wire::Replica>& aMembers)
{
  return static_cast<int>(
    std::count_if(aMembers.begin(), aMembers.end(), [](const auto& aMember) { return aMember.voter; }));
}

static bool
AllCaughtUp(const std::string& /*aName*/)
{
  return true;
}

BOOST_AUTO_TEST_CASE(a_learner_beyond_the_desired_voters_stays_a_learner)
{
  const std::vector<wire::Replica> members{
    MakeMember("a", true), MakeMember("b", true), MakeMember("c", true), MakeMember("d", false)
  };
  BOOST_TEST(!NextMembers(members, { .voterCount = 3, .leader = "a" }, {}, AllCaughtUp).has_value());
  const auto all = NextMembers(members, { .voterCount = 0, .leader = "a" }, {}, AllCaughtUp);
  BOOST_REQUIRE(all.has_value());
  BOOST_TEST(VoterCount(*all) == 4);
}

BOOST_AUTO_TEST_CASE(a_silent_voter_is_replaced_by_a_learner_in_two_steps)
{
  std::vector<wire::Replica> members{
    MakeMember("a", true), MakeMember("b", true), MakeMember("c", true), MakeMember("d", false)
  };
  const MembershipGoal goal{ .voterCount = 3, .leader = "a" };
  const SilenceDurations silences{ { "b", milliseconds(5000) } };
  members = NextMembers(members, goal, silences, AllCaughtUp).value();
  BOOST_TEST(VoterCount(members) == 4);
  members = NextMembers(members, goal, silences, AllCaughtUp).value();
  BOOST_TEST(VoterCount(members) == 3);
  const auto silent =
    std::find_if(members.begin(), members.end(), [](const auto& aMember) { return aMember.name == "b"; });
  BOOST_TEST(!silent->voter);
  BOOST_TEST(!NextMembers(members, goal, silences, AllCaughtUp).has_value());
}

BOOST_AUTO_TEST_CASE(a_learner_that_is_silent_or_behind_replaces_no_voter)
{
  const std::vector<wire::Replica> members{
    MakeMember("a", true), MakeMember("b", true), MakeMember("c", true), MakeMember("d", false)
  };
  const MembershipGoal goal{ .voterCount = 3, .leader = "a" };
  const SilenceDurations both{ { "b", milliseconds(5000) }, { "d", milliseconds(5000) } };
  BOOST_TEST(!NextMembers(members, goal, both, AllCaughtUp).has_value());
  const auto behind = [](const std::string&) { return false; };
  BOOST_TEST(!NextMembers(members, goal, { { "b", milliseconds(5000) } }, behind).has_value());
}

BOOST_AUTO_TEST_CASE(a_learner_that_stays_silent_is_removed)
{
  const std::vector<wire::Replica> members{
    MakeMember("a", true), MakeMember("b", true), MakeMember("c", true), MakeMember("d", false)
  };
  const auto next = NextMembers(
    members, { .voterCount = 3, .leader = "a" }, { { "d", std::chrono::minutes(2) } }, AllCaughtUp);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->size() == 3u);
}

BOOST_AUTO_TEST_CASE(a_voter_with_an_updated_description_stays_a_voter)
{
  const std::vector<wire::Replica> members{ MakeMember("a", true), MakeMember("b", true) };
  wire::Replica self = MakeMember("b", false);
  self.region = "east";
  self.address = "127.0.0.1:1";
  BOOST_TEST(!HasMemberAsDescribed(members, self));
  const std::vector<wire::Replica> described = MembersWithDescription(members, self);
  BOOST_TEST(HasMemberAsDescribed(described, self));
  BOOST_TEST(VoterCount(described) == 2);
}

/** Whichever members are silent, each step changes at most one vote and the leader stays a voter. */
RC_BOOST_PROP(each_step_changes_at_most_one_voter, (std::vector<uint8_t> aStates))
{
  std::vector<wire::Replica> members{ MakeMember("self", true) };
  SilenceDurations silences;
  for (size_t i = 0; i < aStates.size() && i < 7; ++i) {
    members.push_back(MakeMember("m" + std::to_string(i), aStates[i] % 2 == 0));
    silences[members.back().name] = milliseconds(aStates[i] * 400);
  }
  for (int step = 0; step < 20; ++step) {
    const auto next = NextMembers(members, { .voterCount = 3, .leader = "self" }, silences, AllCaughtUp);
    if (!next) {
      return;
    }
    RC_ASSERT(std::abs(VoterCount(*next) - VoterCount(members)) <= 1);
    RC_ASSERT(HasMember(*next, "self", 1));
    RC_ASSERT(VoterCount(*next) >= std::min(VoterCount(members), 3));
    members = *next;
  }
  RC_FAIL("the membership changes don't end");
}
