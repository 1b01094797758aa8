#define BOOST_TEST_MODULE distribution
#include "harness/running.h"

#include <algorithm>
#include <csignal>
#include <fstream>

using namespace mimosarun;

/** The users' platform allows this time between the acknowledgement of a change and its effect. */
static constexpr std::chrono::milliseconds kPlatformInForceLimit{ 2500 };

static constexpr PathFault kDropAll{ .dropAll = true };
static constexpr PathFault kNoFault{};

static bool
AllServe(Mesh& aMesh, const std::vector<std::string>& aNodes)
{
  return WaitUntil(kRecoveryLimit, [&] {
    for (const std::string& node : aNodes) {
      if (Send(aMesh.ProcessOf(node).callerAddress, { .path = "/books/item" }).status != 200) {
        return false;
      }
    }
    return true;
  });
}

BOOST_AUTO_TEST_CASE(many_nodes_that_restart_during_a_change_get_the_new_version)
{
  RunningMesh mesh(SmallMesh("herd"));
  for (const std::string& domain : { std::string("west-1"), std::string("") }) {
    const std::vector<std::string> restartedNodes = mesh.Nodes(domain);
    for (const std::string& node : restartedNodes) {
      mesh.ProcessOf(node).process.Kill();
    }
    const int64_t version = mesh.Install(mesh.Document("herd" + domain));
    BOOST_REQUIRE(version > 0);
    for (const std::string& node : restartedNodes) {
      mesh.StartProcess(node);
    }
    BOOST_TEST(mesh.WaitInForce(version, kInForceLimit));
    BOOST_TEST(AllServe(mesh, mesh.Nodes()));
  }
}

BOOST_AUTO_TEST_CASE(a_suspended_node_and_a_restarted_one_catch_up_after_hundreds_of_changes)
{
  RunningMesh mesh(SmallMesh("frozen"));
  const std::vector<std::string> nodes = mesh.Nodes("west-1");
  mesh.ProcessOf(nodes[0]).process.Signal(SIGSTOP);
  mesh.ProcessOf(nodes[1]).process.Kill();
  int64_t version = 0;
  for (int i = 0; i < 300; ++i) {
    const Answer answer = mesh.Command((i % 2 == 0 ? "drain " : "undrain ") + std::string("target-none"));
    BOOST_REQUIRE_MESSAGE(answer.code == AnswerCode::Done, answer.message);
    version = std::atoll(answer.message.substr(answer.message.find(' ')).c_str());
  }
  const uint64_t bytesBefore = mesh.Proxy().LinkBytes("regions");
  mesh.ProcessOf(nodes[0]).process.Signal(SIGCONT);
  mesh.StartProcess(nodes[1]);
  BOOST_TEST(mesh.WaitInForce(version, kInForceLimit));
  BOOST_TEST_MESSAGE("link bytes while catching up: " << mesh.Proxy().LinkBytes("regions") - bytesBefore);
}

/** Whether a node is a relay, according to the last record about it in its log. */
static bool
LogsThatItIsRelay(Mesh& aMesh, const std::string& aNode)
{
  std::ifstream log(aMesh.ProcessOf(aNode).logFile);
  std::string line;
  bool isRelay = false;
  while (std::getline(log, line)) {
    if (line.find("\"relay-changed\"") != std::string::npos) {
      isRelay = line.find("\"relay\":\"yes\"") != std::string::npos;
    }
  }
  return isRelay;
}

// A change that was acknowledged wasn't in force in time on nodes whose relays had just stopped responding.
BOOST_AUTO_TEST_CASE(a_node_gets_a_change_while_the_relays_and_most_nodes_of_its_domain_are_suspended)
{
  MeshOptions options = SmallMesh("norelays");
  options.targetsPerDomain = 4;
  RunningMesh mesh(options);
  const std::vector<std::string> nodes = mesh.Nodes("west-1");
  const auto survivor = std::find_if(
    nodes.begin(), nodes.end(), [&](const std::string& aNode) { return !LogsThatItIsRelay(mesh, aNode); });
  BOOST_REQUIRE((survivor != nodes.end()));
  for (const std::string& node : nodes) {
    if (node != *survivor) {
      mesh.ProcessOf(node).process.Signal(SIGSTOP);
    }
  }
  const int64_t version = mesh.Install(mesh.Document("norelays"));
  BOOST_REQUIRE(version > 0);
  BOOST_TEST(mesh.WaitInForce(version, kPlatformInForceLimit, { *survivor }));
  for (const std::string& node : nodes) {
    mesh.ProcessOf(node).process.Signal(SIGCONT);
  }
  BOOST_TEST(mesh.WaitInForce(version, kInForceLimit));
}

BOOST_AUTO_TEST_CASE(open_connections_that_stall_are_replaced)
{
  RunningMesh mesh(SmallMesh("silence"));
  for (int round = 0; round < 3; ++round) {
    mesh.Proxy().DropBytesOfOpenConnections("east-1", "west-1");
    mesh.Proxy().DropBytesOfOpenConnections("west-1", "east-1");
    const int64_t version = mesh.Install(mesh.Document("silence-" + std::to_string(round)));
    BOOST_REQUIRE(version > 0);
    BOOST_TEST(mesh.WaitInForce(version, kInForceLimit));
  }
}

BOOST_AUTO_TEST_CASE(calls_over_reused_connections_that_stall_are_answered)
{
  MeshOptions options = SmallMesh("silentcalls");
  options.regions = { { "east", { "east-1", "east-2" } } };
  options.targetsPerDomain = 1;
  options.replicaDomains = { "east-1", "east-1", "east-2" };
  RunningMesh mesh(options);
  // With its own target drained, east-1 must call east-2 through the proxy.
  const Answer drained = mesh.Command("drain target-east-1-books-1");
  BOOST_REQUIRE((drained.code == AnswerCode::Done));
  BOOST_REQUIRE(
    mesh.WaitInForce(std::atoll(drained.message.substr(drained.message.find(' ')).c_str()), kInForceLimit));
  const auto countCompleteCalls = [&] {
    int complete = 0;
    for (int call = 0; call < 40; ++call) {
      for (const std::string& node : mesh.Nodes()) {
        complete += Send(mesh.ProcessOf(node).callerAddress, { .path = "/books/item" }).status == 200 ? 1 : 0;
      }
    }
    return complete;
  };
  const int calls = 40 * static_cast<int>(mesh.Nodes().size());
  BOOST_TEST(countCompleteCalls() == calls);
  mesh.Proxy().DropBytesOfOpenConnections("east-1", "east-2");
  mesh.Proxy().DropBytesOfOpenConnections("east-2", "east-1");
  BOOST_TEST(countCompleteCalls() == calls);
}

BOOST_AUTO_TEST_CASE(a_region_gets_the_new_version_after_a_long_partition)
{
  RunningMesh mesh(SmallMesh("longcut"));
  mesh.SetRegionFault("east", "west", kDropAll);
  int64_t version = 0;
  BOOST_REQUIRE(WaitUntil(kRecoveryLimit, [&] {
    version = mesh.Install(mesh.Document("cut"));
    return version > 0;
  }));
  BOOST_TEST(mesh.WaitInForce(version, kInForceLimit, mesh.Nodes("east-1")));
  for (const std::string& node : mesh.Nodes("west-1")) {
    BOOST_TEST(mesh.VersionOf(node) < version);
  }
  BOOST_TEST(AllServe(mesh, mesh.Nodes()));
  mesh.SetRegionFault("east", "west", kNoFault);
  BOOST_TEST(mesh.WaitInForce(version, kInForceLimit));
}

BOOST_AUTO_TEST_CASE(no_node_ever_returns_to_an_older_version)
{
  RunningMesh mesh(SmallMesh("monotone"));
  std::map<std::string, int64_t> newestVersions;
  for (int round = 0; round < 8; ++round) {
    mesh.InstallWithRetries(mesh.Document("round-" + std::to_string(round)));
    if (round == 3) {
      const std::string leader = mesh.LeaderOf("configuration");
      mesh.ProcessOf(leader).process.Kill();
      mesh.StartProcess(leader);
    }
    if (round == 5) {
      mesh.SetRegionFault("east", "west", kDropAll);
      mesh.SetRegionFault("east", "west", kNoFault);
    }
    for (int poll = 0; poll < 20; ++poll) {
      for (const std::string& node : mesh.Nodes()) {
        const int64_t version = mesh.VersionOf(node);
        if (version >= 0) {
          BOOST_REQUIRE(version >= newestVersions[node]);
          newestVersions[node] = version;
        }
      }
    }
  }
}
