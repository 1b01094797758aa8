#define BOOST_TEST_MODULE platformpath
#include "platform/platformmesh.h"

#include "harness/rawserver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <set>
#include <thread>
#include <vector>

using namespace mimosarun;

static constexpr std::chrono::seconds kWaitLimit{ 15 };

/** Returns the deployment that all test cases share; each must leave it serving. */
static PlatformMesh&
SharedMesh()
{
  static PlatformMesh mesh("platform");
  static const bool started = mesh.Start();
  BOOST_REQUIRE(started);
  return mesh;
}

BOOST_AUTO_TEST_CASE(a_request_reaches_the_target_of_its_route)
{
  PlatformMesh& mesh = SharedMesh();
  const std::string response = mesh.Call(0, "/book/2f", "req-1");
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
  BOOST_TEST(response.find("Request-Id: req-1") != std::string::npos);
  BOOST_TEST(response.find("Response-Signature: signed") != std::string::npos);
  BOOST_TEST(response.find("M-A") == std::string::npos);
  BOOST_TEST(mesh.targets[1]->RunCounts()["req-1"] == 1);
  BOOST_TEST(mesh.targets[0]->InvalidRequestCount() + mesh.targets[1]->InvalidRequestCount() == 0);
  BOOST_TEST(mesh.Call(0, "/none/", "req-2").starts_with("HTTP/1.1 404"));
}

BOOST_AUTO_TEST_CASE(operators_replace_by_version_and_read_the_accepted_configuration)
{
  PlatformMesh& mesh = SharedMesh();
  const std::string newDocument = PlatformMesh::Document(8);
  BOOST_TEST(mesh.ReplaceConfiguration("r3", newDocument, 1) == 200);
  BOOST_TEST(mesh.ReplaceConfiguration("r3", newDocument, 2) == 200);
  BOOST_TEST(mesh.ReplaceConfiguration("r3", PlatformMesh::Document(9), 0) == 412);
  BOOST_TEST(mesh.ReplaceConfiguration("r8", PlatformMesh::Document(8, "safe"), 0) == 409);
  BOOST_TEST(mesh.ReplaceConfiguration("r8", PlatformMesh::Document(9, "odd"), 0) == 400);
  BOOST_TEST(mesh.ReplaceConfiguration("r8", "{\"version\":\"r9\",\"routes\":[", 0) == 400);
  for (size_t replica = 0; replica < 3; ++replica) {
    BOOST_TEST(mesh.ReadConfiguration(replica).find(newDocument) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(no_request_reaches_a_target_after_its_drain_is_acknowledged)
{
  PlatformMesh& mesh = SharedMesh();
  PlatformTarget& target = *mesh.targets[1];
  BOOST_TEST(target.SendHeartbeat("draining") == 200);
  const auto runsBeforeCalls = target.RunCounts();
  for (int call = 0; call < 5; ++call) {
    BOOST_TEST(mesh.Call(0, "/book/1", "drained-" + std::to_string(call)).starts_with("HTTP/1.1 503"));
  }
  BOOST_TEST((target.RunCounts() == runsBeforeCalls));
  BOOST_TEST(target.SendHeartbeat("ready") == 200);
  BOOST_TEST(
    WaitUntil(kWaitLimit, [&] { return mesh.Call(0, "/book/1", "back").starts_with("HTTP/1.1 200"); }));
}

// Guards against: requests reach a target that has said in its responses that it leaves (docs/incidents/006).
BOOST_AUTO_TEST_CASE(no_request_reaches_a_target_whose_response_says_that_it_leaves)
{
  PlatformMesh& mesh = SharedMesh();
  PlatformTarget& target = *mesh.targets[1];
  target.SetResponseHeaders({ { .name = "Server-Leaving", .value = "1" } });
  BOOST_TEST(mesh.Call(0, "/book/1", "leaving-named").starts_with("HTTP/1.1 200"));
  // This heartbeat may have been sent before the target decided to leave.
  BOOST_TEST(target.SendHeartbeat("ready") == 200);
  const auto runsBeforeCalls = target.RunCounts();
  for (int call = 0; call < 5; ++call) {
    BOOST_TEST(mesh.Call(call % 2, "/book/1", "leaving-" + std::to_string(call)).starts_with("HTTP/1.1 503"));
  }
  BOOST_TEST((target.RunCounts() == runsBeforeCalls));
  target.SetResponseHeaders({});
  target.BeginIncarnation();
  BOOST_TEST(target.SendHeartbeat("ready") == 200);
  BOOST_TEST(
    WaitUntil(kWaitLimit, [&] { return mesh.Call(0, "/book/1", "restarted").starts_with("HTTP/1.1 200"); }));
}

// Guards against: a target gets far more requests than the limit that it has named (docs/incidents/006).
BOOST_AUTO_TEST_CASE(a_target_that_names_a_limit_gets_no_more_requests)
{
  static constexpr int kLimitPerSecond = 3;
  static constexpr std::chrono::seconds kWindow{ 4 };
  PlatformMesh& mesh = SharedMesh();
  PlatformTarget& target = *mesh.targets[1];
  target.SetResponseHeaders({ { .name = "Server-Limit", .value = std::to_string(kLimitPerSecond) } });
  BOOST_TEST(mesh.Call(0, "/book/1", "limit-named").starts_with("HTTP/1.1 200"));
  const size_t runsBefore = target.RunCounts().size();
  const Deadline end = SteadyClock::now() + kWindow;
  int served = 0;
  for (int call = 0; SteadyClock::now() < end; ++call) {
    const std::string response = mesh.Call(call % 2, "/book/1", "limited-" + std::to_string(call));
    served += response.starts_with("HTTP/1.1 200") ? 1 : 0;
    BOOST_TEST((response.starts_with("HTTP/1.1 200") || response.starts_with("HTTP/1.1 503")), response);
  }
  const size_t runs = target.RunCounts().size() - runsBefore;
  target.SetResponseHeaders({});
  BOOST_TEST(runs <= kLimitPerSecond * kWindow.count() * 3 / 2 + 5);
  BOOST_TEST(served >= kLimitPerSecond * kWindow.count() / 2);
  BOOST_TEST(WaitUntil(kWaitLimit, [&] {
    const Deadline begin = SteadyClock::now();
    for (int call = 0; call < 5; ++call) {
      mesh.Call(0, "/book/1", "unlimited-" + std::to_string(begin.time_since_epoch().count() + call));
    }
    return SteadyClock::now() < begin + std::chrono::seconds(1);
  }));
}

// Guards against: a booking that ran fails because the gate takes a response whose head the entry doesn't, as
// the gate has added to it (docs/incidents/012).
BOOST_AUTO_TEST_CASE(a_response_with_the_largest_head_is_passed_on)
{
  PlatformMesh& mesh = SharedMesh();
  PlatformTarget& target = *mesh.targets[1];
  for (const size_t length : { 60000, 65400, 65450, 65480, 65500 }) {
    target.SetResponseHeaders({ { .name = "X-Large", .value = std::string(length, 'x') } });
    const std::string id = "head-" + std::to_string(length);
    BOOST_TEST(mesh.Call(0, "/book/1", id).starts_with("HTTP/1.1 200"));
    BOOST_TEST(target.RunCounts()[id] == 1);
  }
  target.SetResponseHeaders({});
}

// Guards against: a node keeps the bodies of ended calls with their identifiers and runs out of memory
// (docs/incidents/013).
BOOST_AUTO_TEST_CASE(uploads_one_after_the_other_take_little_memory)
{
  static constexpr int kUploads = 150;
  /** Memory of the smallest VM on which a node runs. */
  static constexpr size_t kVmMemoryBytes = 160UL * 1000 * 1000;
  PlatformMesh& mesh = SharedMesh();
  const std::string body(1000 * 1000, 'b');
  for (int upload = 0; upload < kUploads; ++upload) {
    mesh.targets[1]->SendHeartbeat("ready");
    const std::string response = SendRawRequest(
      mesh.EntryAddress(0),
      "POST /book/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: upload-" + std::to_string(upload) +
        "\r\nTimeout-Ms: 2000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_REQUIRE_MESSAGE(response.starts_with("HTTP/1.1 200"), response);
  }
  for (const Process& node : mesh.nodes) {
    BOOST_TEST(PeakMemoryBytes(node.Id()) < kVmMemoryBytes);
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_its_target_sheds_fails_with_retry_after)
{
  PlatformMesh& mesh = SharedMesh();
  mesh.targets[1]->SetShedding(true);
  const std::string response = mesh.Call(0, "/book/1", "shed");
  mesh.targets[1]->SetShedding(false);
  BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
  BOOST_TEST(response.find("Retry-After: 0.") != std::string::npos);
  BOOST_TEST(mesh.targets[1]->RunCounts().count("shed") == 0u);
}

BOOST_AUTO_TEST_CASE(an_acknowledged_configuration_survives_a_kill_of_all_processes)
{
  PlatformMesh& mesh = SharedMesh();
  const std::string acknowledged = PlatformMesh::Document(20);
  BOOST_REQUIRE(WaitUntil(kWaitLimit, [&] {
    return mesh.ReplaceConfiguration("r8", acknowledged) == 200 ||
           mesh.ReplaceConfiguration("r3", acknowledged) == 200;
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
  BOOST_TEST(
    WaitUntil(kWaitLimit, [&] { return mesh.ReadConfiguration(1).find(acknowledged) != std::string::npos; }));
  // The targets kept running, so the restarted nodes identify them by a health check.
  BOOST_TEST(
    WaitUntil(kWaitLimit, [&] { return mesh.Call(0, "/book/1", "again").starts_with("HTTP/1.1 200"); }));
}

BOOST_AUTO_TEST_CASE(a_hang_up_signal_stops_no_process)
{
  PlatformMesh& mesh = SharedMesh();
  for (Process& process : mesh.nodes) {
    process.Signal(SIGHUP);
  }
  for (Process& process : mesh.replicas) {
    process.Signal(SIGHUP);
  }
  BOOST_TEST(
    WaitUntil(kWaitLimit, [&] { return mesh.Call(1, "/read/1", "hup").starts_with("HTTP/1.1 200"); }));
  for (Process& process : mesh.nodes) {
    BOOST_TEST(process.Running());
  }
}

/** Sends requests one after the other, each on the connection of the one before as long as it lasts. */
class PersistentCaller
{
public:
  PersistentCaller(const Address& aEntry, const std::string& aName)
    : m_entry(aEntry)
    , m_name(aName)
  {
  }

  void CallUntil(const std::atomic<bool>& aStop)
  {
    while (!aStop) {
      RawConnection connection(m_entry);
      bool isOpen = true;
      while (isOpen) {
        isOpen = SendNext(connection);
      }
      PauseBetweenChecks();
    }
  }

  /** Returns the requests to which a complete response came, whatever its status. */
  const std::set<std::string>& Answered() const { return m_answered; }

private:
  bool SendNext(const RawConnection& aConnection)
  {
    const std::string id = m_name + "-" + std::to_string(++m_lastNumber);
    aConnection.Send("POST /book/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id +
                     "\r\nTimeout-Ms: 2000\r\nContent-Length: 4\r\n\r\nbody");
    const std::string response = aConnection.ReceiveUntil("\r\n\r\n", std::chrono::seconds(4));
    if (response.find("\r\n\r\n") == std::string::npos) {
      return false;
    }
    m_answered.insert(id);
    aConnection.Receive(std::chrono::milliseconds(10));
    return response.find("Connection: close") == std::string::npos;
  }

  const Address m_entry;
  const std::string m_name;
  int m_lastNumber = 0;
  std::set<std::string> m_answered;
};

// Guards against: a request that comes late in a planned stop is sent to its target and then cut off.
BOOST_AUTO_TEST_CASE(each_request_that_ran_during_a_planned_stop_was_answered)
{
  static constexpr std::chrono::seconds kGracePeriod{ 6 };
  PlatformMesh& mesh = SharedMesh();
  PlatformTarget& target = *mesh.targets[1];
  target.SetWorkTime(std::chrono::milliseconds(900));
  std::vector<PersistentCaller> callers;
  for (int caller = 0; caller < 4; ++caller) {
    callers.emplace_back(mesh.EntryAddress(0), "stop" + std::to_string(caller));
  }
  Process& node = mesh.nodes[0];
  std::atomic<bool> hasEnded{ false };
  std::vector<std::thread> threads;
  for (PersistentCaller& caller : callers) {
    threads.emplace_back([&] { caller.CallUntil(hasEnded); });
  }
  BOOST_TEST(WaitUntil(kWaitLimit, [&] { return target.RunCounts().contains("stop0-2"); }));
  node.Signal(SIGTERM);
  int status = -1;
  BOOST_TEST(node.WaitForEnd(kGracePeriod, status));
  BOOST_TEST(status == 0);
  hasEnded = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  target.SetWorkTime(std::chrono::milliseconds(20));
  for (const auto& [id, runs] : target.RunCounts()) {
    const bool isOfStop = id.starts_with("stop");
    BOOST_TEST((!isOfStop || runs == 1), id);
    const auto answered = [&id = id](const PersistentCaller& aCaller) {
      return aCaller.Answered().contains(id);
    };
    BOOST_TEST((!isOfStop || std::any_of(callers.begin(), callers.end(), answered)), id);
  }
  mesh.StartNode(0);
  BOOST_TEST(WaitUntil(kWaitLimit, [&] { return mesh.IsReady(0); }));
}
