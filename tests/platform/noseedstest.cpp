#define BOOST_TEST_MODULE noseeds
#include "platform/platformmesh.h"

#include "control/groupclient.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <string>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;

/** Longer than a node takes to see that no replica answers and to turn to its seeds. */
static constexpr milliseconds kDarkTime{ 3500 };
static constexpr milliseconds kRecoveryTime{ 15000 };

/** Returns whether the routes of a configuration whose route "/book/" has gone are in force at a node. */
static bool
HasLostBookings(PlatformMesh& aMesh, size_t aNode)
{
  return aMesh.Call(aNode, "/book/1", "after-" + std::to_string(aNode)).starts_with("HTTP/1.1 404");
}

static std::string
DocumentWithoutBookings(int aVersion)
{
  return "{\"version\":\"r" + std::to_string(aVersion) +
         "\",\"routes\":[{\"name\":\"read\",\"host\":\"x\",\"pathPrefix\":\"/read/\",\"kind\":\"safe\","
         "\"timeout\":\"2s\",\"targetLatency\":\"1s\",\"priority\":2,\"service\":\"books\","
         "\"maxAttempts\":2}],\"services\":[{\"name\":\"books\",\"healthPath\":\"/healthz\","
         "\"maxConnections\":20}]}";
}

// Guards against: nodes end, and end again at each start, as settings that were written while no replica
// served name none (docs/incidents/022).
BOOST_AUTO_TEST_CASE(nodes_serve_on_and_follow_later_changes_though_their_settings_name_no_replica)
{
  PlatformMesh mesh("noseeds");
  BOOST_REQUIRE(mesh.Start());
  for (Process& replica : mesh.replicas) {
    replica.Kill();
  }
  mesh.SetReplicasListed(false);
  for (size_t node = 0; node < mesh.nodes.size(); ++node) {
    mesh.WriteNodeSettings(node);
    mesh.nodes[node].Signal(SIGHUP);
  }
  // The targets' leases have to be kept up meanwhile.
  for (const Deadline end = SteadyClock::now() + kDarkTime; SteadyClock::now() < end;) {
    for (const auto& target : mesh.targets) {
      target->SendHeartbeat("ready");
    }
    std::this_thread::sleep_for(milliseconds(500));
  }
  for (size_t node = 0; node < mesh.nodes.size(); ++node) {
    BOOST_TEST(mesh.nodes[node].Running());
    BOOST_TEST(mesh.Call(node, "/read/1", "dark-" + std::to_string(node)).starts_with("HTTP/1.1 200"));
  }
  mesh.SetReplicasListed(true);
  for (size_t replica = 0; replica < mesh.replicas.size(); ++replica) {
    mesh.StartReplica(replica);
  }
  BOOST_TEST(WaitUntil(kRecoveryTime,
                       [&] { return mesh.ReplaceConfiguration("r3", DocumentWithoutBookings(8)) == 200; }));
  for (size_t node = 0; node < mesh.nodes.size(); ++node) {
    BOOST_TEST(WaitUntil(kRecoveryTime, [&] { return HasLostBookings(mesh, node); }));
  }
}

// Guards against: a node that is started without a replica in its settings ends, or never finds one.
BOOST_AUTO_TEST_CASE(a_node_that_starts_without_replicas_finds_them_through_its_peers)
{
  PlatformMesh mesh("noseedspeer");
  BOOST_REQUIRE(mesh.Start());
  mesh.SetReplicasListed(false);
  mesh.nodes[0].Kill();
  mesh.StartNode(0);
  BOOST_TEST(WaitUntil(kRecoveryTime, [&] { return mesh.IsReady(0); }));
  BOOST_TEST(mesh.ReplaceConfiguration("r3", DocumentWithoutBookings(8)) == 200);
  BOOST_TEST(WaitUntil(kRecoveryTime, [&] { return HasLostBookings(mesh, 0); }));
  BOOST_TEST(mesh.nodes[0].Running());
}

// Guards against: a node that knows nobody ends, or doesn't read the settings that name replicas.
BOOST_AUTO_TEST_CASE(a_node_follows_as_soon_as_its_settings_name_replicas)
{
  PlatformMesh mesh("noseedsyet");
  BOOST_REQUIRE(mesh.Start());
  mesh.SetReplicasListed(false);
  for (Process& node : mesh.nodes) {
    node.Kill();
  }
  for (size_t node = 0; node < mesh.nodes.size(); ++node) {
    mesh.StartNode(node);
  }
  std::this_thread::sleep_for(milliseconds(2000));
  mesh.SetReplicasListed(true);
  for (size_t node = 0; node < mesh.nodes.size(); ++node) {
    BOOST_TEST(mesh.nodes[node].Running());
    mesh.WriteNodeSettings(node);
    mesh.nodes[node].Signal(SIGHUP);
  }
  BOOST_TEST(WaitUntil(kRecoveryTime, [&] { return mesh.IsReady(0) && mesh.IsReady(1); }));
}

// Guards against: an order of an operator ends a replica whose settings name no replica.
BOOST_AUTO_TEST_CASE(a_command_without_any_replica_is_refused)
{
  GroupClient client({});
  const wire::CommandResult result =
    client.Submit("configuration", wire::Command{}, SteadyClock::now() + milliseconds(200));
  BOOST_TEST((result.code == wire::ResultCode::Unavailable));
}
