#define BOOST_TEST_MODULE quotaservice
#include "control/quotaservice.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;

/** The group of a replica as a test sets it. */
struct FakeGroup
{
  wire::GroupStatus Status()
  {
    const std::lock_guard lock(mutex);
    return status;
  }

  wire::ReadIndex Confirm(Deadline /*aDeadline*/)
  {
    ++confirmations;
    wire::ReadIndex index;
    index.confirmed = hasQuorum;
    return index;
  }

  void SetLeader(const std::string& aLeader, int64_t aTerm)
  {
    const std::lock_guard lock(mutex);
    status.leader = aLeader;
    status.term = aTerm;
  }

  std::mutex mutex;
  wire::GroupStatus status;
  std::atomic<bool> hasQuorum{ true };
  std::atomic<int> confirmations{ 0 };
};

struct Fixture
{
  Fixture()
  {
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->version = 7;
    snapshot->configuration.teams["team"] = { .name = "team", .requestsPerSecond = 100, .burst = 100 };
    configuration = snapshot;
    group.SetLeader("self", 3);
    service.Start();
  }

  wire::QuotaReply Ask()
  {
    wire::QuotaRequest request;
    request.node = "node";
    request.incarnation = 1;
    request.sequence = ++sequence;
    request.version = 7;
    wire::QuotaUsage usage;
    usage.waiting = 1;
    request.usages.push_back(usage);
    return service.Handle(request);
  }

  FakeGroup group;
  SnapshotPointer configuration;
  int64_t sequence = 0;
  QuotaService service{ { .name = "self",
                          .tolerance = {},
                          .status = [this] { return group.Status(); },
                          .confirm = [this](Deadline aDeadline) { return group.Confirm(aDeadline); },
                          .configuration = [this] { return configuration; } } };
};

// Guards against the first request of a team that is refused as nobody asked for a confirmation yet.
BOOST_FIXTURE_TEST_CASE(the_leader_grants_from_the_first_request_on, Fixture)
{
  const wire::QuotaReply reply = Ask();
  BOOST_TEST(reply.granted);
  BOOST_REQUIRE(reply.grants.size() == 1);
  BOOST_TEST(reply.grants.front().allowedTotal >= 1);
}

// Guards against a leader that was replaced and grants the same tokens as the new one.
BOOST_FIXTURE_TEST_CASE(a_leader_without_a_quorum_grants_nothing, Fixture)
{
  BOOST_TEST(Ask().granted);
  group.hasQuorum = false;
  std::this_thread::sleep_for(milliseconds(800));
  const wire::QuotaReply reply = Ask();
  BOOST_TEST(!reply.granted);
  BOOST_TEST(reply.leader.empty());
  group.hasQuorum = true;
  std::this_thread::sleep_for(milliseconds(300));
  BOOST_TEST(Ask().granted);
}

// Guards against a node that can't find the leader.
BOOST_FIXTURE_TEST_CASE(another_replica_names_the_leader, Fixture)
{
  group.SetLeader("other", 4);
  const wire::QuotaReply reply = Ask();
  BOOST_TEST(!reply.granted);
  BOOST_TEST(reply.leader == "other");
  BOOST_TEST(!service.States().has_value());
}

// Guards against a ledger that goes on with its level although another replica led in between.
BOOST_FIXTURE_TEST_CASE(a_new_term_begins_with_an_empty_ledger, Fixture)
{
  Ask();
  group.SetLeader("self", 5);
  Ask();
  const auto states = service.States();
  BOOST_REQUIRE(states.has_value());
  BOOST_TEST((states->front().mode == QuotaMode::Learning));
  BOOST_TEST(states->front().level <= 0);
}

// Guards against confirmations, which cost messages between regions, while no node uses quotas.
BOOST_FIXTURE_TEST_CASE(nothing_is_confirmed_without_requests, Fixture)
{
  std::this_thread::sleep_for(milliseconds(600));
  BOOST_TEST(group.confirmations == 0);
}
