#define BOOST_TEST_MODULE versiongates
#include "node/versiongates.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;

static const Deadline kNow{ std::chrono::hours(1) };

static wire::Member
MemberWith(const std::string& aName, const std::string& aVersion, wire::TargetPhase::type aPhase)
{
  wire::Member member;
  member.name = aName;
  member.serviceName = "books";
  member.phase = aPhase;
  member.__set_softwareVersion(aVersion);
  return member;
}

static GateDirectory
DirectoryOf(const std::vector<wire::Member>& aMembers)
{
  GateDirectory directory;
  for (const wire::Member& member : aMembers) {
    directory.gates[member.serviceName].push_back({ .node = member.name, .version = member.softwareVersion });
  }
  return directory;
}

static wire::RolloutSet
Rollout(wire::RolloutState::type aState)
{
  wire::RolloutRecord record;
  record.serviceName = "books";
  record.candidateVersion = "v2";
  record.state = aState;
  record.candidatePermille = 40;
  record.canaryTargets = 1;
  record.revision = 3;
  wire::RolloutSet set;
  set.revision = 3;
  set.rollouts = { record };
  return set;
}

struct Fixture
{
  std::vector<wire::Member> members{ MemberWith("a", "v1", wire::TargetPhase::Ready),
                                     MemberWith("b", "v1", wire::TargetPhase::Ready),
                                     MemberWith("c", "v2", wire::TargetPhase::Ready),
                                     MemberWith("d", "v2", wire::TargetPhase::Ready) };
  RolloutView view;
};

BOOST_FIXTURE_TEST_CASE(only_ready_and_starting_targets_are_counted, Fixture)
{
  members.push_back(MemberWith("e", "v3", wire::TargetPhase::Starting));
  members.push_back(MemberWith("f", "v3", wire::TargetPhase::Draining));
  members.push_back(MemberWith("g", "v3", wire::TargetPhase::Ready));
  members.back().state = wire::MemberState::Leaving;
  ServiceVersions versions = CountVersions(members);
  BOOST_TEST(versions["books"]["v1"].ready == 2);
  BOOST_TEST(versions["books"]["v3"].ready == 0);
  BOOST_TEST(versions["books"]["v3"].starting == 1);
}

BOOST_FIXTURE_TEST_CASE(gates_of_a_running_rollout_become_candidates, Fixture)
{
  view.SetTargets(CountVersions(members), kNow);
  view.Apply(Rollout(wire::RolloutState::Running));
  view.RecordContact(kNow);
  GateDirectory directory = DirectoryOf(members);
  SeparateVersions(directory, view, 10, kNow);
  BOOST_TEST(directory.gates["books"].size() == 2u);
  BOOST_TEST(directory.gates["books"].front().node == "a");
  BOOST_TEST(directory.candidates["books"].gates.size() == 2u);
  BOOST_TEST(directory.candidates["books"].canaries.size() == 1u);
  BOOST_TEST(directory.candidates["books"].others.size() == 1u);
  BOOST_TEST(directory.candidates["books"].turnsPerSecond == 0.15);
  BOOST_TEST(directory.candidates["books"].permille == 40);
}

BOOST_FIXTURE_TEST_CASE(gates_of_a_rejected_version_are_removed, Fixture)
{
  view.SetTargets(CountVersions(members), kNow);
  view.Apply(Rollout(wire::RolloutState::RolledBack));
  GateDirectory directory = DirectoryOf(members);
  SeparateVersions(directory, view, 10, kNow);
  BOOST_TEST(directory.gates["books"].size() == 2u);
  BOOST_TEST(directory.candidates.empty());
}

// Guards against changes where targets name no versions.
BOOST_AUTO_TEST_CASE(gates_without_versions_all_stay)
{
  std::vector<wire::Member> members{ MemberWith("a", "", wire::TargetPhase::Ready),
                                     MemberWith("b", "", wire::TargetPhase::Ready) };
  RolloutView view;
  view.SetTargets(CountVersions(members), kNow);
  GateDirectory directory = DirectoryOf(members);
  SeparateVersions(directory, view, 10, kNow);
  BOOST_TEST(directory.gates["books"].size() == 2u);
}
