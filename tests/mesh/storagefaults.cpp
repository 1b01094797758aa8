#define BOOST_TEST_MODULE storagefaults
#include "harness/running.h"

#include <filesystem>
#include <fstream>

using namespace mimosarun;

static constexpr const char* kGroup = "configuration";

/** A deployment whose replicas' disks can be made to fail by creating a file. */
static MeshOptions
FaultyDisks(const std::string& aName)
{
  MeshOptions options = SmallMesh(aName);
  const std::string folder = std::filesystem::absolute(options.folder).string();
  for (int i = 1; i <= 3; ++i) {
    const std::string replica = "control-" + std::to_string(i);
    options.environment[replica] = { "LD_PRELOAD=" + BuildFolder() + "/tests/libfailingsync.so",
                                     "STANDIN_FAIL_SYNC=" + folder + "/" + replica + ".failsync",
                                     "STANDIN_FULL_DISK=" + folder + "/" + replica + ".full" };
  }
  return options;
}

static void
Touch(const std::string& aPath)
{
  std::ofstream(aPath) << "on\n";
}

static std::string
StateOf(const Mesh& aMesh, const std::string& aReplica, const std::string& aAt)
{
  const Answer answer =
    aMesh.Command("show control where group = " + std::string(kGroup) + " and replica = " + aReplica, aAt);
  return answer.rows.empty() ? "" : answer.rows[0][5];
}

static std::string
OtherThan(const Mesh& aMesh, const std::string& aReplica)
{
  const std::vector<std::string> replicas = aMesh.Replicas();
  return replicas[0] == aReplica ? replicas[1] : replicas[0];
}

BOOST_AUTO_TEST_CASE(a_leader_with_a_full_disk_gives_way_and_comes_back_when_there_is_space)
{
  RunningMesh mesh(FaultyDisks("fulldisk"));
  const int64_t version = mesh.InstallWithRetries(mesh.Document("before"));
  const std::string leader = mesh.LeaderOf(kGroup);
  const std::string full = mesh.Options().folder + "/" + leader + ".full";
  Touch(full);
  const int64_t next = mesh.InstallWithRetries(mesh.Document("while-full"));
  BOOST_TEST(next > version);
  BOOST_TEST(mesh.WaitInForce(next, kInForceLimit));
  const std::string other = OtherThan(mesh, leader);
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "storage-failed"; }));
  std::filesystem::remove(full);
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "follower"; }));
  BOOST_TEST(mesh.InstallWithRetries(mesh.Document("after")) > next);
}

BOOST_AUTO_TEST_CASE(a_failed_sync_keeps_the_replica_out_and_loses_nothing)
{
  RunningMesh mesh(FaultyDisks("failsync"));
  const std::string leader = mesh.LeaderOf(kGroup);
  Touch(mesh.Options().folder + "/" + leader + ".failsync");
  const int64_t version = mesh.InstallWithRetries(mesh.Document("while-failing"));
  const std::string other = OtherThan(mesh, leader);
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "storage-failed"; }));
  BOOST_TEST(mesh.WaitInForce(version, kInForceLimit));
  // The remedy: another disk, which is empty.
  mesh.ProcessOf(leader).process.Kill();
  std::filesystem::remove(mesh.Options().folder + "/" + leader + ".failsync");
  std::filesystem::remove_all(mesh.ProcessOf(leader).dataFolder);
  mesh.StartProcess(leader);
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "follower"; }));
}

BOOST_AUTO_TEST_CASE(with_all_disks_full_changes_are_refused_and_calls_are_served)
{
  RunningMesh mesh(FaultyDisks("allfull"));
  for (const std::string& replica : mesh.Replicas()) {
    Touch(mesh.Options().folder + "/" + replica + ".full");
  }
  const Answer refused = mesh.Command("drain target-x", "", "", "", std::chrono::seconds(9));
  BOOST_TEST((refused.code == AnswerCode::NotRun || refused.code == AnswerCode::Unknown), refused.message);
  for (const std::string& node : mesh.Nodes()) {
    BOOST_TEST(Send(mesh.ProcessOf(node).callerAddress, { .path = "/books/item" }).status == 200);
  }
  for (const std::string& replica : mesh.Replicas()) {
    std::filesystem::remove(mesh.Options().folder + "/" + replica + ".full");
  }
  BOOST_TEST(mesh.InstallWithRetries(mesh.Document("after")) > 0);
}
