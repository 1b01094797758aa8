#define BOOST_TEST_MODULE controlfaults
#include "harness/running.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

using namespace mimosarun;

static constexpr const char* kGroup = "configuration";
static constexpr PathFault kSilent{ .dropAll = true };
static constexpr PathFault kHealed{};

static int64_t
NumberAtEnd(const Answer& aAnswer)
{
  const std::string line = aAnswer.message.substr(0, aAnswer.message.find('\n'));
  const size_t start = line.find_last_of(' ');
  return start == std::string::npos ? 0 : std::atoll(line.c_str() + start);
}

static int64_t
ProposeDocument(const Mesh& aMesh, int64_t aBase, const std::string& aMarker, const std::string& aAt = "")
{
  const Answer answer =
    aMesh.Command("propose based on " + std::to_string(aBase), aAt, aMesh.Document(aMarker));
  BOOST_REQUIRE_MESSAGE(answer.code == AnswerCode::Done, answer.message);
  return NumberAtEnd(answer);
}

static int64_t
AcceptedVersion(const Mesh& aMesh, const std::string& aAt = "")
{
  return NumberAtEnd(aMesh.Command("show in-force", aAt));
}

static std::string
StateOf(const Mesh& aMesh, const std::string& aGroup, const std::string& aReplica, const std::string& aAt)
{
  const Answer answer =
    aMesh.Command("show control where group = " + aGroup + " and replica = " + aReplica, aAt);
  return answer.rows.empty() ? "" : answer.rows[0][4] + " " + answer.rows[0][5];
}

static std::string
SomeFollower(const Mesh& aMesh, const std::string& aLeader)
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
    const int64_t before = AcceptedVersion(mesh);
    const int64_t proposal = ProposeDocument(mesh, before, "round-" + std::to_string(round));
    const std::string leader = mesh.LeaderOf(kGroup);
    const std::string request = "accept-" + std::to_string(round);
    auto first = std::async(std::launch::async, [&] {
      return mesh.Command("accept " + std::to_string(proposal), leader, "", request, std::chrono::seconds(2));
    });
    // Each round kills a little later, from before the append to after the answer.
    std::this_thread::sleep_for(std::chrono::microseconds(400 * round));
    mesh.ProcessOf(leader).process.Kill();
    const Answer lost = first.get();
    const Answer again = mesh.Command("accept " + std::to_string(proposal), "", "", request, kRecoveryLimit);
    BOOST_REQUIRE_MESSAGE(again.code == AnswerCode::Done, again.message);
    BOOST_TEST(NumberAtEnd(again) == before + 1);
    if (lost.code == AnswerCode::Done) {
      BOOST_TEST(lost.message == again.message);
    }
    BOOST_TEST(AcceptedVersion(mesh) == before + 1);
    mesh.StartProcess(leader);
    BOOST_REQUIRE(mesh.WaitInForce(before + 1, kInForceLimit));
  }
}

BOOST_AUTO_TEST_CASE(operators_on_two_sides_of_a_cut_one_wins_and_nothing_reverts)
{
  RunningMesh mesh(SmallMesh("operatorcut"));
  const int64_t before = AcceptedVersion(mesh);
  const int64_t east = ProposeDocument(mesh, before, "east");
  const int64_t west = ProposeDocument(mesh, before, "west");
  mesh.SetRegionFault("east", "west", kSilent);
  // East has two of three replicas, so only east can go on.
  auto minority = std::async(std::launch::async, [&] {
    return mesh.Command("accept " + std::to_string(west), "control-3", "", "west", std::chrono::seconds(12));
  });
  Answer won;
  const bool accepted = WaitUntil(kRecoveryLimit, [&] {
    won = mesh.Command("accept " + std::to_string(east), "control-1", "", "east");
    return won.code == AnswerCode::Done;
  });
  BOOST_REQUIRE_MESSAGE(accepted, won.message);
  BOOST_REQUIRE(mesh.WaitInForce(before + 1, kInForceLimit, mesh.Nodes("east-1")));
  const Answer refused = minority.get();
  BOOST_TEST((refused.code == AnswerCode::NotRun || refused.code == AnswerCode::Unknown), refused.message);
  mesh.SetRegionFault("east", "west", kHealed);
  BOOST_REQUIRE(mesh.WaitInForce(before + 1, kRecoveryLimit));
  const Answer late = mesh.Command("accept " + std::to_string(west), "control-3", "", "west-2");
  BOOST_TEST((late.code == AnswerCode::Refused));
  BOOST_TEST(late.message.find("tester") != std::string::npos, late.message);
  BOOST_TEST(AcceptedVersion(mesh, "control-3") == before + 1);
  for (const std::string& node : mesh.Nodes()) {
    BOOST_TEST(mesh.VersionOf(node) == before + 1);
  }
}

BOOST_AUTO_TEST_CASE(a_region_without_quorum_says_not_run_and_goes_on_serving)
{
  RunningMesh mesh(SmallMesh("minority"));
  mesh.SetRegionFault("east", "west", kSilent);
  // A leader that was just cut off can't know it yet; it steps down within its election timeout.
  BOOST_REQUIRE(
    WaitUntil(std::chrono::seconds(3), [&] { return mesh.LeaderOf(kGroup, "control-3").empty(); }));
  const Answer refused = mesh.Command("drain target-x", "control-3", "", "", std::chrono::seconds(12));
  BOOST_TEST((refused.code == AnswerCode::NotRun), refused.message);
  for (const std::string& node : mesh.Nodes("west-1")) {
    BOOST_TEST(Send(mesh.ProcessOf(node).callerAddress, { .path = "/books/item" }).status == 200);
  }
  mesh.SetRegionFault("east", "west", kHealed);
}

static void
DamageLog(const std::string& aLog, bool aTorn)
{
  const auto size = std::filesystem::file_size(aLog);
  if (aTorn) {
    std::filesystem::resize_file(aLog, size - 5);
    return;
  }
  std::fstream file(aLog, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(20);
  const char byte = static_cast<char>(file.get());
  file.seekp(20);
  file.put(static_cast<char>(byte ^ 0x55));
}

BOOST_AUTO_TEST_CASE(a_torn_log_is_cut_and_a_damaged_one_keeps_the_replica_out)
{
  RunningMesh mesh(SmallMesh("tornlog"));
  const std::string leader = mesh.LeaderOf(kGroup);
  const std::string replica = SomeFollower(mesh, leader);
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
  // The remedy that it names: an empty folder, then back through learner and promotion.
  std::filesystem::remove_all(mesh.ProcessOf(replica).dataFolder);
  mesh.StartProcess(replica);
  BOOST_REQUIRE(
    WaitUntil(kRecoveryLimit, [&] { return StateOf(mesh, kGroup, replica, leader) == "voter follower"; }));
}

BOOST_AUTO_TEST_CASE(a_lost_disk_is_repaired_and_a_second_loss_right_after_loses_nothing)
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
      const bool repaired = WaitUntil(kRecoveryLimit, [&] {
        const std::string state = StateOf(mesh, group, replica, replica);
        return state == "voter follower" || state == "voter leader";
      });
      BOOST_REQUIRE_MESSAGE(repaired, group << " at " << replica);
    }
  }
  // Every disk was lost once, one after the other; what was accepted is still there.
  BOOST_TEST(AcceptedVersion(mesh) == version);
  BOOST_TEST(mesh.Install(mesh.Document("next")) == version + 1);
}

BOOST_AUTO_TEST_CASE(a_replica_cut_off_one_way_is_noticed_and_its_return_changes_no_leader)
{
  MeshOptions options = SmallMesh("oneway");
  options.regions = { { "east", { "east-1", "east-2" } }, { "west", { "west-1" } } };
  options.targetsPerDomain = 1;
  options.replicaDomains = { "east-1", "east-2", "west-1" };
  RunningMesh mesh(options);
  const std::string leader = mesh.LeaderOf(kGroup);
  const std::string cut = leader == "control-3" ? "control-2" : "control-3";
  const std::string domain = mesh.ProcessOf(cut).failureDomain;
  for (const auto& [region, domains] : options.regions) {
    for (const std::string& other : domains) {
      if (other != domain) {
        // What others send it arrives; what it sends back is lost.
        mesh.Proxy().SetFault(other, domain, { .dropBackward = true });
        mesh.Proxy().SetFault(domain, other, { .dropForward = true });
      }
    }
  }
  const bool noticed = WaitUntil(std::chrono::seconds(6), [&] {
    const Answer answer =
      mesh.Command("show control where group = configuration and replica = " + cut, leader);
    return !answer.rows.empty() && std::atoll(answer.rows[0][8].c_str()) > 3000;
  });
  BOOST_TEST(noticed);
  const Answer before =
    mesh.Command("show control where group = configuration and replica = " + leader, leader);
  const int64_t version = mesh.Install(mesh.Document("meanwhile"));
  BOOST_TEST(version > 0);
  for (const auto& [region, domains] : options.regions) {
    for (const std::string& other : domains) {
      if (other != domain) {
        mesh.SetFault(other, domain, kHealed);
      }
    }
  }
  BOOST_REQUIRE(WaitUntil(kRecoveryLimit, [&] { return AcceptedVersion(mesh, cut) == version; }));
  const Answer after =
    mesh.Command("show control where group = configuration and replica = " + leader, leader);
  BOOST_TEST(after.rows[0][5] == "leader");
  BOOST_TEST(after.rows[0][6] == before.rows[0][6], "the term changed");
}
