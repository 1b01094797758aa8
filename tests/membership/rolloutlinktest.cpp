#define BOOST_TEST_MODULE rolloutlink
#include "node/rolloutlink.h"
#include "node/versiongates.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

static const Deadline kNow{ std::chrono::hours(1) };

static wire::Member
Self()
{
  wire::Member self;
  self.name = "node-1";
  self.incarnation = 7;
  return self;
}

static wire::WatchReply
ReplyWith(const std::string& aService, wire::RolloutState::type aState, int64_t aRevision)
{
  wire::RolloutRecord record;
  record.serviceName = aService;
  record.candidateVersion = "v2";
  record.state = aState;
  record.revision = aRevision;
  wire::RolloutSet set;
  set.revision = aRevision;
  set.rollouts = { record };
  wire::WatchReply reply;
  reply.__set_rollouts(set);
  return reply;
}

/** The link of a node whose target serves "books". */
struct Fixture
{
  Fixture() { SetVersion("v1"); }

  void SetVersion(const std::string& aVersion)
  {
    table.UpdateSelf(kNow, [&](wire::Member& aSelf) {
      aSelf.serviceName = "books";
      aSelf.phase = wire::TargetPhase::Ready;
      aSelf.__set_softwareVersion(aVersion);
    });
    view.SetTargets(CountVersions({ table.Self() }), kNow);
  }

  wire::WatchRequest PollAt(Deadline aNow)
  {
    wire::WatchRequest request;
    request.waitMillis = 800;
    link.Prepare(request, aNow);
    return request;
  }

  void Receive(const wire::WatchReply& aReply, Deadline aNow) { link.Apply(PollAt(aNow), aReply, aNow); }

  void CountOne(Deadline aNow)
  {
    outcomes.Record({ .service = "books", .version = "v1", .route = "read", .end = TargetCallEnd::Failed },
                    aNow);
  }

  MemberTable table{ Self(), {} };
  RolloutView view;
  OutcomeCounter outcomes;
  int openCalls = 0;
  int changes = 0;
  RolloutLink link{ { .table = &table,
                      .view = &view,
                      .outcomes = &outcomes,
                      .openCalls = [this] { return openCalls; },
                      .onChange = [this] { ++changes; } } };
};

// Guards against other polls in deployments whose targets name no versions.
BOOST_FIXTURE_TEST_CASE(a_poll_stays_as_it_was_where_no_target_names_a_version, Fixture)
{
  RolloutView unused;
  RolloutLink other({ .table = &table, .view = &unused, .outcomes = &outcomes });
  wire::WatchRequest request;
  request.waitMillis = 800;
  const wire::WatchRequest before = request;
  other.Prepare(request, kNow);
  BOOST_TEST((request == before));
}

BOOST_FIXTURE_TEST_CASE(without_a_rollout_a_poll_only_names_the_revision, Fixture)
{
  const wire::WatchRequest request = PollAt(kNow);
  BOOST_TEST(request.__isset.rolloutRevision);
  BOOST_TEST(request.rolloutRevision == 0);
  BOOST_TEST(!request.__isset.outcomes);
  BOOST_TEST(request.waitMillis == 800);
}

BOOST_FIXTURE_TEST_CASE(a_rollout_of_the_own_service_is_reported_every_250_ms, Fixture)
{
  Receive(ReplyWith("books", wire::RolloutState::Running, 4), kNow);
  BOOST_TEST(changes == 1);
  const wire::WatchRequest first = PollAt(kNow);
  BOOST_REQUIRE(first.__isset.outcomes);
  BOOST_TEST(first.rolloutRevision == 4);
  BOOST_TEST(first.outcomes.appliedRevision == 4);
  BOOST_TEST(first.outcomes.serviceName == "books");
  BOOST_TEST(first.outcomes.version == "v1");
  BOOST_TEST(first.outcomes.incarnation == 7);
  BOOST_TEST(first.waitMillis == 250);
  CountOne(kNow);
  const wire::WatchRequest early = PollAt(kNow + milliseconds(100));
  BOOST_TEST(!early.__isset.outcomes);
  BOOST_TEST(early.waitMillis == 150);
  const wire::WatchRequest second = PollAt(kNow + milliseconds(250));
  BOOST_REQUIRE(second.__isset.outcomes);
  BOOST_TEST(second.outcomes.sequence > first.outcomes.sequence);
  BOOST_REQUIRE(second.outcomes.outcomes.size() == 1u);
  BOOST_TEST(second.outcomes.outcomes.front().failures == 1);
}

BOOST_FIXTURE_TEST_CASE(a_report_without_changes_is_repeated_once_a_second, Fixture)
{
  Receive(ReplyWith("books", wire::RolloutState::Running, 4), kNow);
  BOOST_TEST(PollAt(kNow).__isset.outcomes);
  BOOST_TEST(!PollAt(kNow + milliseconds(500)).__isset.outcomes);
  BOOST_TEST(PollAt(kNow + milliseconds(500)).waitMillis == 250);
  BOOST_TEST(PollAt(kNow + milliseconds(1000)).__isset.outcomes);
  openCalls = 3;
  BOOST_TEST(PollAt(kNow + milliseconds(1250)).outcomes.openCalls == 3);
}

BOOST_FIXTURE_TEST_CASE(reports_end_some_time_after_the_rollout, Fixture)
{
  Receive(ReplyWith("books", wire::RolloutState::Running, 4), kNow);
  PollAt(kNow);
  Receive(ReplyWith("books", wire::RolloutState::RolledBack, 5), kNow);
  BOOST_TEST(PollAt(kNow + milliseconds(9000)).__isset.outcomes);
  BOOST_TEST(!PollAt(kNow + milliseconds(10100)).__isset.outcomes);
  BOOST_TEST(PollAt(kNow + milliseconds(10100)).rolloutRevision == 5);
}

// Guards against a node that takes the silence of a replica without a leader for the absence of roll-outs.
BOOST_FIXTURE_TEST_CASE(a_replica_that_tells_nothing_of_rollouts_is_no_contact, Fixture)
{
  const uint64_t before = view.StateAt(kNow);
  Receive({}, kNow);
  BOOST_TEST(view.StateAt(kNow) == before);
  wire::WatchReply reply;
  reply.__set_rollouts({});
  Receive(reply, kNow);
  BOOST_TEST(view.StateAt(kNow) != before);
}

// Guards against traffic of nodes that a roll-out doesn't concern.
BOOST_FIXTURE_TEST_CASE(a_node_without_a_target_of_the_service_only_names_the_revision, Fixture)
{
  Receive(ReplyWith("desk", wire::RolloutState::Running, 4), kNow);
  const wire::WatchRequest request = PollAt(kNow);
  BOOST_TEST(!request.__isset.outcomes);
  BOOST_TEST(request.rolloutRevision == 4);
  BOOST_TEST(request.waitMillis == 800);
}
