#define BOOST_TEST_MODULE rolloutapi
#include "platform/platformmesh.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <string>

using namespace mimosarun;

static constexpr std::chrono::seconds kWaitLimit{ 15 };
/** Operators try another replica after this time. */
static constexpr std::chrono::milliseconds kAnswerLimit{ 950 };
static constexpr size_t kReplicas = 3;

static int
StatusOf(const std::string& aResponse)
{
  return aResponse.size() < 12 ? 0 : std::atoi(aResponse.c_str() + 9);
}

static int
Order(const PlatformMesh& aMesh, size_t aReplica, const std::string& aBody)
{
  return StatusOf(SendRawRequest(aMesh.ControlAddress(aReplica),
                                 "POST /-/Rollouts.Start HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                   std::to_string(aBody.size()) + "\r\n\r\n" + aBody));
}

static std::string
OrderOf(const std::string& aService, const std::string& aVersion, const std::string& aDuration)
{
  return R"({"service":")" + aService + R"(","targetVersion":")" + aVersion + R"(","duration":")" +
         aDuration + R"("})";
}

static std::string
Read(const PlatformMesh& aMesh, size_t aReplica, const std::string& aService)
{
  return SendRawRequest(aMesh.ControlAddress(aReplica),
                        "GET /-/Rollouts.Read/" + aService + " HTTP/1.1\r\nHost: x\r\n\r\n");
}

static int64_t
MillisSince(Deadline aStart)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - aStart).count();
}

static PlatformMesh&
SharedMesh()
{
  static PlatformMesh mesh("rolloutapi");
  static const bool started = mesh.Start();
  BOOST_REQUIRE(started);
  return mesh;
}

BOOST_AUTO_TEST_CASE(an_unusable_order_is_rejected_and_starts_nothing)
{
  // Guards against a roll-out that nobody ordered in this form.
  PlatformMesh& mesh = SharedMesh();
  BOOST_TEST(Order(mesh, 0, "no json") == 400);
  BOOST_TEST(Order(mesh, 0, "{}") == 400);
  BOOST_TEST(Order(mesh, 0, OrderOf("nobody", "v2", "12s")) == 400);
  BOOST_TEST(Order(mesh, 0, OrderOf("books", "", "12s")) == 400);
  BOOST_TEST(Order(mesh, 0, OrderOf("books", "v2", "0s")) == 400);
  BOOST_TEST(Order(mesh, 0, OrderOf("books", "v2", "-3s")) == 400);
  BOOST_TEST(Order(mesh, 0, OrderOf("books", "v2", "soon")) == 400);
  BOOST_TEST(Order(mesh, 0, R"({"service":"books","targetVersion":"v2"})") == 400);
  BOOST_TEST(Order(mesh, 0, R"({"service":"books","targetVersion":7,"duration":"12s"})") == 400);
  for (size_t replica = 0; replica < kReplicas; ++replica) {
    BOOST_TEST(StatusOf(Read(mesh, replica, "books")) == 404);
  }
}

BOOST_AUTO_TEST_CASE(an_accepted_order_is_known_at_once_at_each_replica)
{
  // Guards against reads of replicas that lag behind, and against refusing an operator who asks again.
  PlatformMesh& mesh = SharedMesh();
  const std::string order = OrderOf("books", "v2", "60s");
  BOOST_TEST(Order(mesh, 0, order) == 200);
  for (size_t replica = 0; replica < kReplicas; ++replica) {
    const std::string response = Read(mesh, replica, "books");
    BOOST_TEST(response.find(R"("state":"running")") != std::string::npos, response);
    BOOST_TEST(response.find(R"("targetVersion":"v2")") != std::string::npos, response);
    BOOST_TEST(Order(mesh, replica, order) == 200);
    BOOST_TEST(Order(mesh, replica, OrderOf("books", "v3", "60s")) == 409);
  }
}

BOOST_AUTO_TEST_CASE(an_accepted_order_survives_a_kill_of_all_processes)
{
  // Guards against an acknowledgement before the order is on disk.
  PlatformMesh& mesh = SharedMesh();
  const std::string order = OrderOf("desk", "v7", "60s");
  BOOST_REQUIRE(Order(mesh, 1, order) == 200);
  for (Process& process : mesh.replicas) {
    process.Kill();
  }
  for (size_t i = 0; i < mesh.replicas.size(); ++i) {
    mesh.StartReplica(i);
  }
  BOOST_TEST(WaitUntil(
    kWaitLimit, [&] { return Read(mesh, 2, "desk").find(R"("targetVersion":"v7")") != std::string::npos; }));
  BOOST_TEST(Order(mesh, 0, order) == 200);
}

BOOST_AUTO_TEST_CASE(without_a_quorum_nothing_is_confirmed)
{
  // Guards against answers from a replica that can't know, and against answers that come too late.
  PlatformMesh& mesh = SharedMesh();
  mesh.replicas[1].Signal(SIGSTOP);
  mesh.replicas[2].Signal(SIGSTOP);
  const Deadline start = SteadyClock::now();
  BOOST_TEST(StatusOf(Read(mesh, 0, "books")) == 503);
  BOOST_TEST(MillisSince(start) < kAnswerLimit.count());
  const Deadline second = SteadyClock::now();
  BOOST_TEST(Order(mesh, 0, OrderOf("desk", "v8", "60s")) == 503);
  BOOST_TEST(MillisSince(second) < kAnswerLimit.count());
  mesh.replicas[1].Signal(SIGCONT);
  mesh.replicas[2].Signal(SIGCONT);
  BOOST_TEST(WaitUntil(kWaitLimit, [&] { return StatusOf(Read(mesh, 0, "books")) != 503; }));
}
