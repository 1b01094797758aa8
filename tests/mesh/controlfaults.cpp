#define BOOST_TEST_MODULE controlfaults
#include "harness/running.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

using namespace mimosarun;

static constexpr const char* kGroup = "configuration";
static constexpr PathFault kDropAll{ .dropAll = true };
static constexpr PathFault kNoFault{};

static int64_t
LastNumber(const Answer& aAnswer)
{
  const std::string line = aAnswer.message.substr(0, aAnswer.message.find('\n'));
  const size_t start = line.find_last_of(' ');
  return start == std::string::npos ? 0 : std::atoll(line.c_str() + start);
}

static int64_t
ProposeDocument(const Mesh& aMesh,
                int64_t aBase,
                const std::string& aMarker,
                const std::string& aProcess = "")
{
  const Answer answer =
    aMesh.Command("propose based on " + std::to_string(aBase), aProcess, aMesh.Document(aMarker));
  BOOST_REQUIRE_MESSAGE(answer.code == AnswerCode::Done, answer.message);
  return LastNumber(answer);
}

static int64_t
AcceptedVersion(const Mesh& aMesh, const std::string& aProcess = "")
{
  return LastNumber(aMesh.Command("show in-force", aProcess));
}

static std::string
StateOf(const Mesh& aMesh,
        const std::string& aGroup,
        const std::string& aReplica,
        const std::string& aProcess)
{
  const Answer answer =
    aMesh.Command("show control where group = " + aGroup + " and replica = " + aReplica, aProcess);
  return answer.rows.empty() ? "" : answer.rows[0][4] + " " + answer.rows[0][5];
}

static std::string
AnyFollower(const Mesh& aMesh, const std::string& aLeader)
{
  for (const std::string& replica : aMesh.Replicas()) {
    if (replica != aLeader) {
      return replica;
    }
  }
  return {};
}

BOOST_AUTO_TEST_CASE(a_leader_killed_around_the_commit_leaves_one_version_and_one_answer)
{
  RunningMesh mesh(SmallMesh("leaderkill"));
  for (int round = 0; round < 6; ++round) {
    const int64_t versionBefore = AcceptedVersion(mesh);
    const int64_t proposal = ProposeDocument(mesh, versionBefore, "round-" + std::to_string(round));
    const std::string leader = mesh.LeaderOf(kGroup);
    const std::string requestId = "accept-" + std::to_string(round);
    auto firstCommand = std::async(std::launch::async, [&] {
      return mesh.Command(
        "accept " + std::to_string(proposal), leader, "", requestId, std::chrono::seconds(2));
    });
    // Each round kills the leader a little later, from before the append to after the answer.
    std::this_thread::sleep_for(std::chrono::microseconds(400 * round));
    mesh.ProcessOf(leader).process.Kill();
    const Answer firstAnswer = firstCommand.get();
    const Answer repeatedAnswer =
      mesh.Command("accept " + std::to_string(proposal), "", "", requestId, kRecoveryLimit);
    BOOST_REQUIRE_MESSAGE(repeatedAnswer.code == AnswerCode::Done, repeatedAnswer.message);
    BOOST_TEST(LastNumber(repeatedAnswer) == versionBefore + 1);
    if (firstAnswer.code == AnswerCode::Done) {
      BOOST_TEST(firstAnswer.message == repeatedAnswer.message);
    }
    BOOST_TEST(AcceptedVersion(mesh) == versionBefore + 1);
    mesh.StartProcess(leader);
    BOOST_REQUIRE(mesh.WaitInForce(versionBefore + 1, kInForceLimit));
  }
}

BOOST_AUTO_TEST_CASE(of_two_operators_on_two_sides_of_a_partition_one_succeeds_and_nothing_is_reverted)
{
  RunningMesh mesh(SmallMesh("operatorcut"));
  const int64_t versionBefore = AcceptedVersion(mesh);
  const int64_t eastProposal = ProposeDocument(mesh, versionBefore, "east");
  const int64_t westProposal = ProposeDocument(mesh, versionBefore, "west");
  mesh.SetRegionFault("east", "west", kDropAll);
  // East has two of the three replicas, so only east can accept changes.
  auto westCommand = std::async(std::launch::async, [&] {
    return mesh.Command(
      "accept " + std::to_string(westProposal), "control-3", "", "west", std::chrono::seconds(12));
  });
  Answer eastAnswer;
  const bool isAccepted = WaitUntil(kRecoveryLimit, [&] {
    eastAnswer = mesh.Command("accept " + std::to_string(eastProposal), "control-1", "", "east");
    return eastAnswer.code == AnswerCode::Done;
  });
  BOOST_REQUIRE_MESSAGE(isAccepted, eastAnswer.message);
  BOOST_REQUIRE(mesh.WaitInForce(versionBefore + 1, kInForceLimit, mesh.Nodes("east-1")));
  const Answer westAnswer = westCommand.get();
  BOOST_TEST((westAnswer.code == AnswerCode::NotRun || westAnswer.code == AnswerCode::Unknown),
             westAnswer.message);
  mesh.SetRegionFault("east", "west", kNoFault);
  BOOST_REQUIRE(mesh.WaitInForce(versionBefore + 1, kRecoveryLimit));
  const Answer lateAnswer = mesh.Command("accept " + std::to_string(westProposal), "control-3", "", "west-2");
  BOOST_TEST((lateAnswer.code == AnswerCode::Refused));
  BOOST_TEST(lateAnswer.message.find("tester") != std::string::npos, lateAnswer.message);
  BOOST_TEST(AcceptedVersion(mesh, "control-3") == versionBefore + 1);
  for (const std::string& node : mesh.Nodes()) {
    BOOST_TEST(mesh.VersionOf(node) == versionBefore + 1);
  }
}

BOOST_AUTO_TEST_CASE(a_region_without_a_quorum_answers_not_run_and_continues_to_serve_calls)
{
  RunningMesh mesh(SmallMesh("minority"));
  mesh.SetRegionFault("east", "west", kDropAll);
  // A leader that has just been cut off doesn't know that yet; it steps down within its election timeout.
  BOOST_REQUIRE(
    WaitUntil(std::chrono::seconds(3), [&] { return mesh.LeaderOf(kGroup, "control-3").empty(); }));
  const Answer answer = mesh.Command("drain target-x", "control-3", "", "", std::chrono::seconds(12));
  BOOST_TEST((answer.code == AnswerCode::NotRun), answer.message);
  for (const std::string& node : mesh.Nodes("west-1")) {
    BOOST_TEST(Send(mesh.ProcessOf(node).callerAddress, { .path = "/books/item" }).status == 200);
  }
  mesh.SetRegionFault("east", "west", kNoFault);
}

static void
DamageLog(const std::string& aLog, bool aTruncate)
{
  const auto size = std::filesystem::file_size(aLog);
  if (aTruncate) {
    std::filesystem::resize_file(aLog, size - 5);
    return;
  }
  std::fstream file(aLog, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(20);
  const char byte = static_cast<char>(file.get());
  file.seekp(20);
  file.put(static_cast<char>(byte ^ 0x55));
}

BOOST_AUTO_TEST_CASE(a_replica_truncates_an_incomplete_log_and_refuses_to_start_with_a_damaged_one)
{
  RunningMesh mesh(SmallMesh("tornlog"));
  const std::string leader = mesh.LeaderOf(kGroup);
  const std::string replica = AnyFollower(mesh, leader);
  const std::string log = mesh.ProcessOf(replica).dataFolder + "/configuration/log";
  mesh.ProcessOf(replica).process.Kill();
  DamageLog(log, true);
  mesh.StartProcess(replica);
  BOOST_REQUIRE(
    WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, kGroup, replica, leader) == "voter follower"; }));
  const int64_t version = mesh.Install(mesh.Document("after-torn"));
  BOOST_REQUIRE(version > 0);
  BOOST_REQUIRE(WaitUntil(kInForceLimit, [&] { return AcceptedVersion(mesh, replica) == version; }));
  mesh.ProcessOf(replica).process.Kill();
  DamageLog(log, false);
  mesh.StartProcess(replica);
  int status = 0;
  BOOST_REQUIRE(mesh.ProcessOf(replica).process.WaitForEnd(kRecoveryLimit, status));
  BOOST_TEST(status == 1);
  // The remedy in the error message: with an empty data folder it rejoins as a learner and is promoted.
  std::filesystem::remove_all(mesh.ProcessOf(replica).dataFolder);
  mesh.StartProcess(replica);
  BOOST_REQUIRE(
    WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, kGroup, replica, leader) == "voter follower"; }));
}

BOOST_AUTO_TEST_CASE(lost_disks_of_one_replica_after_another_are_repaired_without_data_loss)
{
  RunningMesh mesh(SmallMesh("lostdisk"));
  const int64_t version = mesh.Install(mesh.Document("kept"));
  BOOST_REQUIRE(version > 0);
  for (const std::string& replica :
       { std::string("control-2"), std::string("control-3"), std::string("control-1") }) {
    mesh.ProcessOf(replica).process.Kill();
    std::filesystem::remove_all(mesh.ProcessOf(replica).dataFolder);
    mesh.StartProcess(replica);
    for (const std::string group : { "configuration", "claims-east", "claims-west" }) {
      const bool isRepaired = WaitUntil(kRecoveryLimit, [&] {
        const std::string state = StateOf(mesh, group, replica, replica);
        return state == "voter follower" || state == "voter leader";
      });
      BOOST_REQUIRE_MESSAGE(isRepaired, group << " at " << replica);
    }
  }
  // Each disk was lost once, one after the other; the accepted version still exists.
  BOOST_TEST(AcceptedVersion(mesh) == version);
  BOOST_TEST(mesh.Install(mesh.Document("next")) == version + 1);
}

BOOST_AUTO_TEST_CASE(a_replica_cut_off_in_one_direction_is_reported_and_its_return_changes_no_leader)
{
  MeshOptions options = SmallMesh("oneway");
  options.regions = { { "east", { "east-1", "east-2" } }, { "west", { "west-1" } } };
  options.targetsPerDomain = 1;
  options.replicaDomains = { "east-1", "east-2", "west-1" };
  RunningMesh mesh(options);
  const std::string leader = mesh.LeaderOf(kGroup);
  const std::string cutReplica = leader == "control-3" ? "control-2" : "control-3";
  const std::string cutDomain = mesh.ProcessOf(cutReplica).failureDomain;
  for (const auto& [region, domains] : options.regions) {
    for (const std::string& other : domains) {
      if (other != cutDomain) {
        // The replica receives what others send, but nothing that it sends arrives.
        mesh.Proxy().SetFault(other, cutDomain, { .dropBackward = true });
        mesh.Proxy().SetFault(cutDomain, other, { .dropForward = true });
      }
    }
  }
  const bool isNoticed = WaitUntil(std::chrono::seconds(6), [&] {
    const Answer answer =
      mesh.Command("show control where group = configuration and replica = " + cutReplica, leader);
    return !answer.rows.empty() && std::atoll(answer.rows[0][8].c_str()) > 3000;
  });
  BOOST_TEST(isNoticed);
  const Answer answerBefore =
    mesh.Command("show control where group = configuration and replica = " + leader, leader);
  const int64_t version = mesh.Install(mesh.Document("meanwhile"));
  BOOST_TEST(version > 0);
  for (const auto& [region, domains] : options.regions) {
    for (const std::string& other : domains) {
      if (other != cutDomain) {
        mesh.SetFault(other, cutDomain, kNoFault);
      }
    }
  }
  BOOST_REQUIRE(WaitUntil(kRecoveryLimit, [&] { return AcceptedVersion(mesh, cutReplica) == version; }));
  const Answer answerAfter =
    mesh.Command("show control where group = configuration and replica = " + leader, leader);
  BOOST_TEST(answerAfter.rows[0][5] == "leader");
  BOOST_TEST(answerAfter.rows[0][6] == answerBefore.rows[0][6], "the term changed");
}
