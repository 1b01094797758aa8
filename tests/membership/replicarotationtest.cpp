#define BOOST_TEST_MODULE replicarotation
#include "node/replicarotation.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace mimosarun;

static const Deadline kNow{ std::chrono::hours(1) };

static ReplicaSettings
Replica(const std::string& aName, const std::string& aDomain = "north")
{
  return {
    .name = aName, .region = "east", .failureDomain = aDomain, .address = ParseAddress(aName).value()
  };
}

static wire::Replica
Discovered(const std::string& aAddress)
{
  wire::Replica replica;
  replica.name = aAddress;
  replica.address = aAddress;
  return replica;
}

static ReplicaRotation
Rotation(std::vector<ReplicaSettings> aSeeds)
{
  return { { .region = "east", .failureDomain = "north", .isDiscovering = true }, std::move(aSeeds) };
}

static std::set<std::string>
Names(const ReplicaRotation& aRotation)
{
  std::set<std::string> names;
  for (const ReplicaSettings& replica : aRotation.Replicas()) {
    names.insert(replica.name);
  }
  return names;
}

// Guards against: a node ends at its start, as its settings name no replica.
BOOST_AUTO_TEST_CASE(a_node_without_replicas_has_none_to_turn_to)
{
  ReplicaRotation rotation = Rotation({});
  BOOST_TEST(!rotation.UseSeedsIfEmpty());
  BOOST_TEST((rotation.Current(kNow) == nullptr));
  BOOST_TEST(rotation.CurrentName().empty());
  BOOST_TEST(!rotation.MayReachControl());
  rotation.RecordFailure(kNow);
  rotation.TurnToNext();
  BOOST_TEST(rotation.Replicas().empty());
  rotation.SetSeeds({ Replica("127.0.0.1:1") });
  BOOST_TEST(rotation.UseSeedsIfEmpty());
  BOOST_TEST(rotation.CurrentName() == "127.0.0.1:1");
}

// Guards against: a node ends when its settings are changed to name no replica while none answers.
BOOST_AUTO_TEST_CASE(an_empty_list_of_seeds_leaves_the_former_replicas)
{
  ReplicaRotation rotation = Rotation({ Replica("127.0.0.1:1"), Replica("127.0.0.1:2") });
  rotation.SetSeeds({});
  const std::set<std::string> expected{ "127.0.0.1:1", "127.0.0.1:2" };
  for (int failure = 0; failure < 6; ++failure) {
    rotation.RecordFailure(kNow);
    BOOST_TEST((rotation.Current(kNow) != nullptr));
    BOOST_TEST((Names(rotation) == expected));
  }
  BOOST_TEST(!rotation.MayReachControl());
  rotation.RecordAnswer();
  BOOST_TEST(rotation.MayReachControl());
}

// Guards against: a node forgets the replicas that it knows for a list in which none can be used.
BOOST_AUTO_TEST_CASE(a_list_without_a_usable_address_is_not_taken_over)
{
  ReplicaRotation rotation = Rotation({ Replica("127.0.0.1:1") });
  rotation.Adopt({});
  rotation.Adopt({ Discovered(""), Discovered("nowhere") });
  BOOST_TEST((Names(rotation) == std::set<std::string>{ "127.0.0.1:1" }));
  rotation.Adopt({ Discovered("127.0.0.1:7"), Discovered("nowhere") });
  BOOST_TEST((Names(rotation) == std::set<std::string>{ "127.0.0.1:7" }));
}

BOOST_AUTO_TEST_CASE(a_node_without_replicas_takes_over_those_of_another_node)
{
  ReplicaRotation rotation = Rotation({});
  rotation.Adopt({ Discovered("127.0.0.1:7") });
  BOOST_TEST(rotation.CurrentName() == "127.0.0.1:7");
}

BOOST_AUTO_TEST_CASE(the_seeds_follow_once_no_known_replica_has_answered)
{
  ReplicaRotation rotation = Rotation({ Replica("127.0.0.1:1") });
  rotation.Adopt({ Discovered("127.0.0.1:7"), Discovered("127.0.0.1:8") });
  rotation.SetSeeds({ Replica("127.0.0.1:2") });
  rotation.RecordFailure(kNow);
  BOOST_TEST(Names(rotation).size() == 2u);
  rotation.RecordFailure(kNow);
  BOOST_TEST((Names(rotation) == std::set<std::string>{ "127.0.0.1:2" }));
}

BOOST_AUTO_TEST_CASE(the_nearest_replica_is_tried_again_after_a_while)
{
  ReplicaRotation rotation = Rotation({ Replica("127.0.0.1:1", "south"), Replica("127.0.0.1:2", "north") });
  BOOST_TEST(rotation.CurrentName() == "127.0.0.1:2");
  rotation.RecordFailure(kNow);
  rotation.Current(kNow + std::chrono::seconds(9));
  BOOST_TEST(rotation.CurrentName() == "127.0.0.1:1");
  rotation.Current(kNow + std::chrono::seconds(10));
  BOOST_TEST(rotation.CurrentName() == "127.0.0.1:2");
}
