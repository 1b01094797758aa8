#define BOOST_TEST_MODULE lostreplicas
#include "platform/platformmesh.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <string>
#include <thread>

using namespace mimosarun;

/** After a successor has had this time, the next replica may be lost (catchUp of the users' deployments). */
static constexpr std::chrono::milliseconds kCatchUpTime{ 4000 };
/** Time after the losses by which the configuration must be readable (recovery of the users' deployments). */
static constexpr std::chrono::milliseconds kRecoveryTime{ 15000 };
static constexpr std::chrono::milliseconds kStartLimit{ 15000 };
static constexpr size_t kSpare = 3;
static constexpr size_t kSuccessor = 4;

static bool
AnyReplicaLogged(const PlatformMesh& aMesh, const std::string& aText)
{
  for (size_t i = 0; i < aMesh.replicas.size(); ++i) {
    if (aMesh.ReplicaOutput(i).find(aText) != std::string::npos) {
      return true;
    }
  }
  return false;
}

static bool
AnyReplicaReads(PlatformMesh& aMesh, const std::string& aDocument, size_t aExcept)
{
  for (size_t i = 0; i < aMesh.replicas.size(); ++i) {
    const bool isAsked = i != aExcept && aMesh.replicas[i].Running();
    if (isAsked && aMesh.ReadConfiguration(i).find(aDocument) != std::string::npos) {
      return true;
    }
  }
  return false;
}

// Guards against: a lost replica still counts in the quorum when the next one is lost, and the configuration
// can be neither read nor changed any more (docs/incidents/010).
BOOST_DATA_TEST_CASE(the_configuration_outlives_two_losses_in_turn,
                     boost::unit_test::data::make({ true, false }),
                     hasSpare)
{
  PlatformMesh mesh(std::string("lostreplicas") + (hasSpare ? "spare" : ""));
  BOOST_REQUIRE(mesh.Start());
  if (hasSpare) {
    mesh.StartReplica(kSpare);
    BOOST_REQUIRE(WaitUntil(kStartLimit, [&] { return AnyReplicaLogged(mesh, "(learner)"); }));
  }
  const std::string acknowledged = PlatformMesh::Document(8);
  BOOST_REQUIRE(mesh.ReplaceConfiguration("r3", acknowledged) == 200);
  const size_t leader = mesh.FindLeader().value();
  // A VM that is gone refuses no connections.
  mesh.replicas[leader].Signal(SIGSTOP);
  mesh.StartReplica(kSuccessor);
  std::this_thread::sleep_for(kCatchUpTime);
  const size_t second = leader == 0 ? 1 : 0;
  mesh.replicas[second].Kill();
  std::filesystem::remove_all(mesh.DataFolder(second));
  mesh.StartReplica(second);
  BOOST_TEST(WaitUntil(kRecoveryTime, [&] { return AnyReplicaReads(mesh, acknowledged, leader); }));
  BOOST_TEST(WaitUntil(kRecoveryTime, [&] {
    return mesh.ReplaceConfiguration("r8", PlatformMesh::Document(9), kSuccessor) == 200;
  }));
}

// Guards against: a replica that gets SIGTERM closes the connection of an order that it has read without an
// answer.
BOOST_AUTO_TEST_CASE(an_operator_gets_an_answer_from_a_replica_that_leaves)
{
  PlatformMesh mesh("leavingreplica");
  BOOST_REQUIRE(mesh.Start());
  // Without the others the order can't be accepted, and its answer takes as long as the replica waits for
  // them.
  mesh.replicas[1].Signal(SIGSTOP);
  mesh.replicas[2].Signal(SIGSTOP);
  std::thread leaving([&mesh] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    mesh.replicas[0].Signal(SIGTERM);
  });
  BOOST_TEST(mesh.ReplaceConfiguration("r3", PlatformMesh::Document(8)) == 503);
  leaving.join();
  int status = -1;
  BOOST_TEST(mesh.replicas[0].WaitForEnd(std::chrono::seconds(2), status));
  BOOST_TEST(status == 0);
}
