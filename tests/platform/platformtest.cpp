#define BOOST_TEST_MODULE platformpath
#include "platform/platformmesh.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace mimosarun;

static constexpr std::chrono::seconds kLimit{ 15 };

/** One deployment for all cases; each leaves it serving. */
static PlatformMesh&
SharedMesh()
{
  static PlatformMesh mesh("platform");
  static const bool started = mesh.Start();
  BOOST_REQUIRE(started);
  return mesh;
}

BOOST_AUTO_TEST_CASE(a_request_goes_to_the_target_of_its_route_and_back)
{
  PlatformMesh& mesh = SharedMesh();
  const std::string answer = mesh.Call(0, "/book/2f", "req-1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
  BOOST_TEST(answer.find("Request-Id: req-1") != std::string::npos);
  BOOST_TEST(answer.find("Response-Signature: signed") != std::string::npos);
  BOOST_TEST(answer.find("M-A") == std::string::npos);
  BOOST_TEST(mesh.targets[1]->RunCounts()["req-1"] == 1);
  BOOST_TEST(mesh.targets[0]->InvalidRequestCount() + mesh.targets[1]->InvalidRequestCount() == 0);
  BOOST_TEST(mesh.Call(0, "/none/", "req-2").starts_with("HTTP/1.1 404"));
}

BOOST_AUTO_TEST_CASE(operators_replace_by_version_and_read_what_is_certain)
{
  PlatformMesh& mesh = SharedMesh();
  const std::string next = PlatformMesh::Document(8);
  BOOST_TEST(mesh.ReplaceConfiguration("r3", next, 1) == 200);
  BOOST_TEST(mesh.ReplaceConfiguration("r3", next, 2) == 200);
  BOOST_TEST(mesh.ReplaceConfiguration("r3", PlatformMesh::Document(9), 0) == 412);
  BOOST_TEST(mesh.ReplaceConfiguration("r8", PlatformMesh::Document(8, "safe"), 0) == 409);
  BOOST_TEST(mesh.ReplaceConfiguration("r8", PlatformMesh::Document(9, "odd"), 0) == 400);
  BOOST_TEST(mesh.ReplaceConfiguration("r8", "{\"version\":\"r9\",\"routes\":[", 0) == 400);
  for (size_t replica = 0; replica < 3; ++replica) {
    BOOST_TEST(mesh.ReadConfiguration(replica).find(next) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(after_a_drain_is_acknowledged_nothing_more_reaches_the_target)
{
  PlatformMesh& mesh = SharedMesh();
  PlatformTarget& target = *mesh.targets[1];
  BOOST_TEST(target.SendHeartbeat("draining") == 200);
  const auto runs = target.RunCounts();
  for (int call = 0; call < 5; ++call) {
    BOOST_TEST(mesh.Call(0, "/book/1", "drained-" + std::to_string(call)).starts_with("HTTP/1.1 503"));
  }
  BOOST_TEST((target.RunCounts() == runs));
  BOOST_TEST(target.SendHeartbeat("ready") == 200);
  BOOST_TEST(WaitUntil(kLimit, [&] { return mesh.Call(0, "/book/1", "back").starts_with("HTTP/1.1 200"); }));
}

BOOST_AUTO_TEST_CASE(a_target_that_sheds_gives_a_refusal_with_a_time_to_come_back)
{
  PlatformMesh& mesh = SharedMesh();
  mesh.targets[1]->SetShedding(true);
  const std::string answer = mesh.Call(0, "/book/1", "shed");
  mesh.targets[1]->SetShedding(false);
  BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer);
  BOOST_TEST(answer.find("Retry-After: 0.") != std::string::npos);
  BOOST_TEST(mesh.targets[1]->RunCounts().count("shed") == 0u);
}

BOOST_AUTO_TEST_CASE(everything_killed_at_once_comes_back_with_what_was_acknowledged)
{
  PlatformMesh& mesh = SharedMesh();
  const std::string kept = PlatformMesh::Document(20);
  BOOST_REQUIRE(WaitUntil(kLimit, [&] {
    return mesh.ReplaceConfiguration("r8", kept) == 200 || mesh.ReplaceConfiguration("r3", kept) == 200;
  }));
  for (Process& process : mesh.replicas) {
    process.Kill();
  }
  for (Process& process : mesh.nodes) {
    process.Kill();
  }
  for (size_t i = 0; i < mesh.replicas.size(); ++i) {
    mesh.StartReplica(i);
  }
  for (size_t i = 0; i < mesh.nodes.size(); ++i) {
    mesh.StartNode(i);
  }
  BOOST_TEST(WaitUntil(kLimit, [&] { return mesh.ReadConfiguration(1).find(kept) != std::string::npos; }));
  // The targets ran on, so the nodes learn of them by a probe.
  BOOST_TEST(WaitUntil(kLimit, [&] { return mesh.Call(0, "/book/1", "again").starts_with("HTTP/1.1 200"); }));
}

BOOST_AUTO_TEST_CASE(a_changed_settings_file_and_a_hang_up_signal_end_nothing)
{
  PlatformMesh& mesh = SharedMesh();
  for (Process& process : mesh.nodes) {
    process.Signal(SIGHUP);
  }
  for (Process& process : mesh.replicas) {
    process.Signal(SIGHUP);
  }
  BOOST_TEST(WaitUntil(kLimit, [&] { return mesh.Call(1, "/read/1", "hup").starts_with("HTTP/1.1 200"); }));
  for (Process& process : mesh.nodes) {
    BOOST_TEST(process.Running());
  }
}
