#define BOOST_TEST_MODULE rolloutview
#include "rollout/rolloutview.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace mimosarun;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const Deadline kNow{ std::chrono::hours(1) };
static const std::string kService = "books";

static wire::RolloutRecord
Record(const std::string& aCandidateVersion,
       wire::RolloutState::type aState,
       int64_t aRevision,
       int aPermille = 40)
{
  wire::RolloutRecord record;
  record.serviceName = kService;
  record.candidateVersion = aCandidateVersion;
  record.state = aState;
  record.revision = aRevision;
  record.candidatePermille = aPermille;
  return record;
}

static wire::RolloutSet
SetOf(const wire::RolloutRecord& aRecord)
{
  wire::RolloutSet set;
  set.revision = aRecord.revision;
  set.rollouts = { aRecord };
  return set;
}

static ServiceVersions
Targets(const std::map<std::string, int>& aReadyTargets)
{
  ServiceVersions targets;
  for (const auto& [version, count] : aReadyTargets) {
    targets[kService][version].ready = count;
  }
  return targets;
}

static bool
IsAllowed(const RolloutView& aView, const std::string& aVersion)
{
  return aView.StandingOf(kService, aVersion) == VersionStanding::Allowed;
}

static bool
IsForbidden(const RolloutView& aView, const std::string& aVersion)
{
  return aView.StandingOf(kService, aVersion) == VersionStanding::Forbidden;
}

/** A node that has known three targets of v1 for a while and hears control. */
struct SettledNode
{
  SettledNode()
  {
    view.RecordContact(kNow);
    view.SetTargets(Targets({ { "v1", 3 } }), kNow);
  }

  RolloutView view;
  const Deadline later = kNow + seconds(10);
};

// Guards against calls to a version that wasn't ordered before control is heard.
BOOST_AUTO_TEST_CASE(only_the_version_of_most_targets_is_allowed_before_control_is_heard)
{
  RolloutView view;
  view.SetTargets(Targets({ { "v1", 3 }, { "v2", 2 } }), kNow);
  BOOST_TEST(IsAllowed(view, "v1"));
  BOOST_TEST(IsForbidden(view, "v2"));
  view.SetTargets(Targets({ { "v1", 1 }, { "v2", 2 } }), kNow);
  BOOST_TEST(IsForbidden(view, "v1"));
  BOOST_TEST(IsAllowed(view, "v2"));
}

BOOST_AUTO_TEST_CASE(the_smaller_version_is_in_force_if_as_many_targets_have_each)
{
  RolloutView view;
  view.SetTargets(Targets({ { "v10", 3 }, { "v9", 3 } }), kNow);
  BOOST_TEST(IsAllowed(view, "v9"));
  BOOST_TEST(IsForbidden(view, "v10"));
}

// Guards against calls to new targets that are started before the order, when old ones happen to be fewer.
BOOST_FIXTURE_TEST_CASE(a_version_that_was_not_ordered_gets_nothing_even_from_most_targets, SettledNode)
{
  view.SetTargets(Targets({ { "v1", 2 }, { "v2", 3 } }), later);
  BOOST_TEST(IsAllowed(view, "v1"));
  BOOST_TEST(IsForbidden(view, "v2"));
}

// Guards against a service without gates after its targets were replaced without an order.
BOOST_FIXTURE_TEST_CASE(a_version_whose_targets_are_gone_for_long_is_replaced, SettledNode)
{
  view.SetTargets(Targets({ { "v2", 3 } }), later);
  BOOST_TEST(IsForbidden(view, "v2"));
  const uint64_t state = view.StateAt(later);
  BOOST_TEST(view.StateAt(later + seconds(31)) != state);
  view.SetTargets(Targets({ { "v2", 3 } }), later + seconds(31));
  BOOST_TEST(IsAllowed(view, "v2"));
}

BOOST_FIXTURE_TEST_CASE(the_version_of_a_running_rollout_is_a_candidate, SettledNode)
{
  view.SetTargets(Targets({ { "v1", 3 }, { "v2", 3 } }), later);
  view.Apply(SetOf(Record("v2", wire::RolloutState::Running, 5)));
  BOOST_TEST((view.StandingOf(kService, "v2") == VersionStanding::Candidate));
  BOOST_TEST(IsAllowed(view, "v1"));
  BOOST_TEST(IsForbidden(view, "v3"));
  view.RecordContact(later);
  BOOST_REQUIRE(view.ShareOf(kService, later).has_value());
  BOOST_TEST(view.ShareOf(kService, later)->permille == 40);
  BOOST_TEST(!view.ShareOf("desk", later).has_value());
}

BOOST_FIXTURE_TEST_CASE(rejected_versions_are_forbidden, SettledNode)
{
  view.SetTargets(Targets({ { "v1", 3 }, { "v2", 3 }, { "v3", 3 } }), later);
  wire::RolloutRecord record = Record("v3", wire::RolloutState::RolledBack, 7);
  record.rejectedVersions = { "v2" };
  view.Apply(SetOf(record));
  BOOST_TEST(IsAllowed(view, "v1"));
  BOOST_TEST(IsForbidden(view, "v2"));
  BOOST_TEST(IsForbidden(view, "v3"));
  // Even if no other target is left.
  view.SetTargets(Targets({ { "v2", 3 }, { "v3", 3 } }), later);
  BOOST_TEST(IsForbidden(view, "v2"));
  BOOST_TEST(IsForbidden(view, "v3"));
}

BOOST_FIXTURE_TEST_CASE(after_completion_only_the_new_version_is_allowed, SettledNode)
{
  view.SetTargets(Targets({ { "v1", 3 }, { "v2", 1 } }), later);
  view.Apply(SetOf(Record("v2", wire::RolloutState::Completed, 5)));
  BOOST_TEST(IsForbidden(view, "v1"));
  BOOST_TEST(IsAllowed(view, "v2"));
  // A third version stays forbidden until it is ordered, and then v2 is the one that keeps its calls.
  view.SetTargets(Targets({ { "v2", 3 }, { "v3", 5 } }), later);
  BOOST_TEST(IsForbidden(view, "v3"));
  view.Apply(SetOf(Record("v3", wire::RolloutState::Running, 6)));
  BOOST_TEST(IsAllowed(view, "v2"));
  BOOST_TEST((view.StandingOf(kService, "v3") == VersionStanding::Candidate));
}

// Guards against a node that was cut off during a further roll-out and then has no gate to send to.
BOOST_FIXTURE_TEST_CASE(outdated_knowledge_of_a_completed_rollout_leaves_a_gate, SettledNode)
{
  view.SetTargets(Targets({ { "v1", 3 }, { "v2", 3 } }), later);
  view.Apply(SetOf(Record("v2", wire::RolloutState::Completed, 5)));
  view.SetTargets(Targets({ { "v3", 3 } }), later);
  BOOST_TEST(IsAllowed(view, "v3"));
}

// Guards against the same after several roll-outs, the newest of which runs.
BOOST_FIXTURE_TEST_CASE(a_node_that_missed_a_rollout_sends_to_the_version_that_it_brought, SettledNode)
{
  view.SetTargets(Targets({ { "v2", 3 }, { "v3", 4 } }), later);
  view.Apply(SetOf(Record("v3", wire::RolloutState::Running, 9)));
  BOOST_TEST(IsAllowed(view, "v2"));
  BOOST_TEST((view.StandingOf(kService, "v3") == VersionStanding::Candidate));
}

BOOST_FIXTURE_TEST_CASE(an_older_revision_replaces_nothing, SettledNode)
{
  view.SetTargets(Targets({ { "v1", 3 }, { "v2", 3 } }), later);
  BOOST_TEST(view.Apply(SetOf(Record("v2", wire::RolloutState::RolledBack, 8))));
  BOOST_TEST(!view.Apply(SetOf(Record("v2", wire::RolloutState::Running, 7))));
  BOOST_TEST(!view.Apply(SetOf(Record("v2", wire::RolloutState::Running, 8))));
  BOOST_TEST(view.Revision() == 8);
  BOOST_TEST(IsForbidden(view, "v2"));
}

// Guards against bad responses from a candidate whose rejection this node can't learn of.
BOOST_FIXTURE_TEST_CASE(a_node_without_contact_sends_a_candidate_nothing, SettledNode)
{
  view.Apply(SetOf(Record("v2", wire::RolloutState::Running, 5)));
  view.RecordContact(later);
  BOOST_TEST(view.ShareOf(kService, later + milliseconds(2900))->permille == 40);
  const uint64_t state = view.StateAt(later + milliseconds(2900));
  BOOST_TEST(view.ShareOf(kService, later + milliseconds(3000))->permille == 0);
  BOOST_TEST(view.StateAt(later + milliseconds(3000)) != state);
  view.Apply(SetOf(Record("v2", wire::RolloutState::Running, 6, 1000)));
  BOOST_TEST(view.ShareOf(kService, later + milliseconds(9000))->permille == 1000);
}

// Guards against a pause for a target whose node was restarted and which hasn't named its version again.
BOOST_FIXTURE_TEST_CASE(a_target_without_a_version_counts_as_one_of_the_only_version, SettledNode)
{
  view.SetTargets(Targets({ { "", 3 }, { "v1", 1 } }), later);
  BOOST_TEST(IsAllowed(view, ""));
  BOOST_TEST(IsAllowed(view, "v1"));
  view.SetTargets(Targets({ { "", 1 }, { "v1", 1 }, { "v2", 1 } }), later);
  BOOST_TEST(IsForbidden(view, ""));
  view.Apply(SetOf(Record("v2", wire::RolloutState::Running, 5)));
  view.SetTargets(Targets({ { "", 1 }, { "v1", 1 } }), later);
  BOOST_TEST(IsForbidden(view, ""));
  view.Apply(SetOf(Record("v2", wire::RolloutState::Completed, 6)));
  view.SetTargets(Targets({ { "", 1 }, { "v2", 1 } }), later);
  BOOST_TEST(IsAllowed(view, ""));
}

BOOST_AUTO_TEST_CASE(targets_without_versions_are_all_allowed)
{
  RolloutView view;
  view.SetTargets(Targets({ { "", 3 } }), kNow);
  BOOST_TEST(IsAllowed(view, ""));
  BOOST_TEST(!view.HasVersions());
  BOOST_TEST(!view.IsForbidden(kService, ""));
}

// Guards against refused calls when an order names the version that all targets have.
BOOST_FIXTURE_TEST_CASE(an_order_of_the_version_in_force_changes_nothing, SettledNode)
{
  view.Apply(SetOf(Record("v1", wire::RolloutState::Running, 5)));
  BOOST_TEST(IsAllowed(view, "v1"));
}

// Guards against canaries that differ between nodes, or that move when other targets come and go.
BOOST_AUTO_TEST_CASE(canaries_depend_only_on_the_names)
{
  const std::vector<std::string> names{ "a", "b", "c", "d", "e" };
  const std::vector<std::string> reversed{ names.rbegin(), names.rend() };
  const auto canaries = RolloutView::ChooseCanaries("v2", names, 2);
  BOOST_TEST(canaries.size() == 2u);
  BOOST_TEST(canaries == RolloutView::ChooseCanaries("v2", reversed, 2));
  std::vector<std::string> fewer = names;
  for (const std::string& name : names) {
    if (std::find(canaries.begin(), canaries.end(), name) == canaries.end()) {
      std::erase(fewer, name);
    }
  }
  BOOST_TEST(canaries == RolloutView::ChooseCanaries("v2", fewer, 2));
  BOOST_TEST(RolloutView::ChooseCanaries("v2", names, 0).empty());
  BOOST_TEST(RolloutView::ChooseCanaries("v2", names, 9).size() == 5u);
}
