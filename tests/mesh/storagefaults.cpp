#define BOOST_TEST_MODULE storagefaults
#include "harness/running.h"

#include <filesystem>
#include <fstream>

using namespace mimosarun;

static constexpr const char* kGroup = "configuration";
static constexpr std::chrono::milliseconds kDiskFullTime{ 3000 };
/** The users' platform allows this time for the acknowledgement of a change. */
static constexpr std::chrono::milliseconds kAcknowledgementLimit{ 4000 };

/** Returns options of a deployment in which the creation of a file makes a replica's disk fail. */
static MeshOptions
MeshWithFaultyDisks(const std::string& aName)
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
CreateFile(const std::string& aPath)
{
  std::ofstream(aPath) << "on\n";
}

static std::string
StateOf(const Mesh& aMesh, const std::string& aReplica, const std::string& aProcess)
{
  const Answer answer = aMesh.Command(
    "show control where group = " + std::string(kGroup) + " and replica = " + aReplica, aProcess);
  return answer.rows.empty() ? "" : answer.rows[0][5];
}

static std::string
AnotherReplica(const Mesh& aMesh, const std::string& aReplica)
{
  const std::vector<std::string> replicas = aMesh.Replicas();
  return replicas[0] == aReplica ? replicas[1] : replicas[0];
}

BOOST_AUTO_TEST_CASE(a_leader_with_a_full_disk_steps_down_and_returns_when_there_is_space)
{
  RunningMesh mesh(MeshWithFaultyDisks("fulldisk"));
  const int64_t version = mesh.InstallWithRetries(mesh.Document("before"));
  const std::string leader = mesh.LeaderOf(kGroup);
  const std::string fullDiskFile = mesh.Options().folder + "/" + leader + ".full";
  CreateFile(fullDiskFile);
  const int64_t versionWhileFull = mesh.InstallWithRetries(mesh.Document("while-full"));
  BOOST_TEST(versionWhileFull > version);
  BOOST_TEST(mesh.WaitInForce(versionWhileFull, kInForceLimit));
  const std::string other = AnotherReplica(mesh, leader);
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "storage-failed"; }));
  std::filesystem::remove(fullDiskFile);
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "follower"; }));
  BOOST_TEST(mesh.InstallWithRetries(mesh.Document("after")) > versionWhileFull);
}

// After the disks had been full one after another, changes were refused or stayed unanswered.
BOOST_AUTO_TEST_CASE(changes_are_accepted_after_the_disks_were_full_one_after_another)
{
  RunningMesh mesh(MeshWithFaultyDisks("fullinturn"));
  for (int round = 0; round < 2; ++round) {
    for (const std::string& replica : mesh.Replicas()) {
      const std::string fullDiskFile = mesh.Options().folder + "/" + replica + ".full";
      CreateFile(fullDiskFile);
      const Deadline end = SteadyClock::now() + kDiskFullTime;
      for (int change = 0; SteadyClock::now() < end; ++change) {
        mesh.Install(mesh.Document(replica + "-" + std::to_string(round) + "-" + std::to_string(change)));
      }
      std::filesystem::remove(fullDiskFile);
    }
  }
  int64_t version = 0;
  BOOST_TEST(WaitUntil(kAcknowledgementLimit, [&] {
    version = mesh.Install(mesh.Document("after"));
    return version > 0;
  }));
  BOOST_TEST(mesh.WaitInForce(version, kInForceLimit));
  for (const std::string& replica : mesh.Replicas()) {
    BOOST_TEST(WaitUntil(kRecoveryLimit, [&] {
      const std::string state = StateOf(mesh, replica, AnotherReplica(mesh, replica));
      return state == "follower" || state == "leader";
    }));
  }
}

BOOST_AUTO_TEST_CASE(a_failed_sync_takes_the_replica_out_of_service_without_data_loss)
{
  RunningMesh mesh(MeshWithFaultyDisks("failsync"));
  const std::string leader = mesh.LeaderOf(kGroup);
  CreateFile(mesh.Options().folder + "/" + leader + ".failsync");
  const int64_t version = mesh.InstallWithRetries(mesh.Document("while-failing"));
  const std::string other = AnotherReplica(mesh, leader);
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "storage-failed"; }));
  BOOST_TEST(mesh.WaitInForce(version, kInForceLimit));
  // The remedy is to replace the disk by an empty one.
  mesh.ProcessOf(leader).process.Kill();
  std::filesystem::remove(mesh.Options().folder + "/" + leader + ".failsync");
  std::filesystem::remove_all(mesh.ProcessOf(leader).dataFolder);
  mesh.StartProcess(leader);
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "follower"; }));
}

// Guards against: a replica of which a sync failed once stays out until its process is started again, and the
// group has no quorum after a second one.
BOOST_AUTO_TEST_CASE(a_replica_returns_by_itself_when_its_disk_takes_syncs_again)
{
  RunningMesh mesh(MeshWithFaultyDisks("syncagain"));
  for (int round = 0; round < 2; ++round) {
    const std::string leader = mesh.LeaderOf(kGroup);
    const std::string other = AnotherReplica(mesh, leader);
    const std::string failsync = mesh.Options().folder + "/" + leader + ".failsync";
    CreateFile(failsync);
    BOOST_TEST(mesh.InstallWithRetries(mesh.Document("while-failing-" + std::to_string(round))) > 0);
    BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "storage-failed"; }));
    std::filesystem::remove(failsync);
    BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, leader, other) == "follower"; }));
  }
  BOOST_TEST(mesh.InstallWithRetries(mesh.Document("after")) > 0);
}

BOOST_AUTO_TEST_CASE(while_all_disks_are_full_changes_are_refused_and_calls_are_served)
{
  RunningMesh mesh(MeshWithFaultyDisks("allfull"));
  for (const std::string& replica : mesh.Replicas()) {
    CreateFile(mesh.Options().folder + "/" + replica + ".full");
  }
  const Answer answer = mesh.Command("drain target-x", "", "", "", std::chrono::seconds(9));
  BOOST_TEST((answer.code == AnswerCode::NotRun || answer.code == AnswerCode::Unknown), answer.message);
  for (const std::string& node : mesh.Nodes()) {
    BOOST_TEST(Send(mesh.ProcessOf(node).callerAddress, { .path = "/books/item" }).status == 200);
  }
  for (const std::string& replica : mesh.Replicas()) {
    std::filesystem::remove(mesh.Options().folder + "/" + replica + ".full");
  }
  BOOST_TEST(mesh.InstallWithRetries(mesh.Document("after")) > 0);
}
