#define BOOST_TEST_MODULE leaving
#include "harness/running.h"

#include "harness/rawserver.h"
#include "hop/hopheaders.h"
#include "http/meshheaders.h"
#include "load/generator.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

using namespace mimosarun;

/** Load on the entries of a deployment while a test runs. */
class BackgroundLoad
{
public:
  BackgroundLoad(Mesh& aMesh, const std::vector<std::string>& aEntries, std::chrono::milliseconds aDuration)
  {
    Workload workload;
    for (const std::string& node : aEntries) {
      workload.entries.push_back(aMesh.ProcessOf(node).callerAddress);
    }
    workload.kinds.push_back({ .name = "read", .path = "/books/item?ms=40" });
    workload.kinds.back().method = "GET";
    workload.phases.push_back({ .name = "all", .duration = aDuration, .callsPerSecond = 100 });
    m_thread = std::thread([this, workload] { m_report = LoadGenerator(workload, 1).Run(); });
  }

  ~BackgroundLoad()
  {
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  LoadTally Finish()
  {
    m_thread.join();
    return m_report.begin()->second;
  }

private:
  LoadReport m_report;
  std::thread m_thread;
};

/** Returns whether a target answers one of the calls that are sent, one to each entry. */
static bool
IsChosen(Mesh& aMesh, const std::string& aTarget)
{
  for (const std::string& node : aMesh.Nodes()) {
    if (aMesh.ProcessOf(node).process.Id() > 0 &&
        Send(aMesh.ProcessOf(node).callerAddress, { .path = "/books/item?ms=1" }).target == aTarget) {
      return true;
    }
  }
  return false;
}

static void
CheckAllCallsComplete(const LoadTally& aTally)
{
  BOOST_TEST_MESSAGE(aTally.offered << " offered, " << aTally.complete << " complete, " << aTally.notRun
                                    << " not run");
  for (const auto& [reason, count] : aTally.reasons) {
    BOOST_TEST_MESSAGE(count << " refused: " << reason);
  }
  BOOST_TEST(aTally.offered > 100u);
  BOOST_TEST(aTally.complete == aTally.offered);
  BOOST_TEST(aTally.broken == 0u);
  BOOST_TEST(aTally.unknown == 0u);
  BOOST_TEST(aTally.wrong == 0u);
}

BOOST_AUTO_TEST_CASE(a_drained_target_gets_no_new_calls_and_completes_its_open_ones)
{
  RunningMesh mesh(SmallMesh("drain"));
  const std::string target = "target-east-1-books-1";
  BackgroundLoad load(mesh, mesh.Nodes(), std::chrono::seconds(5));
  const auto start = SteadyClock::now();
  BOOST_REQUIRE((mesh.Command("drain " + target).code == AnswerCode::Done));
  auto lastChosen = start;
  while (SteadyClock::now() < start + kLeavingLimit + std::chrono::milliseconds(500)) {
    if (IsChosen(mesh, target)) {
      lastChosen = SteadyClock::now();
    }
  }
  BOOST_TEST_MESSAGE("last new call after " << (lastChosen - start) / std::chrono::milliseconds(1) << " ms");
  BOOST_TEST((lastChosen < start + kLeavingLimit));
  CheckAllCallsComplete(load.Finish());
}

BOOST_AUTO_TEST_CASE(a_stopped_target_completes_its_calls_and_exits)
{
  RunningMesh mesh(SmallMesh("stoptarget"));
  BackgroundLoad load(mesh, mesh.Nodes(), std::chrono::seconds(4));
  BOOST_REQUIRE((mesh.Command("stop target-east-1-books-1").code == AnswerCode::Done));
  int status = -1;
  BOOST_TEST(mesh.TargetOf("target-east-1-books-1").process.WaitForEnd(kRecoveryLimit, status));
  BOOST_TEST(status == 0);
  CheckAllCallsComplete(load.Finish());
}

BOOST_AUTO_TEST_CASE(a_target_that_is_terminated_completes_its_calls)
{
  RunningMesh mesh(SmallMesh("selfleave"));
  BackgroundLoad load(mesh, mesh.Nodes(), std::chrono::seconds(4));
  mesh.TargetOf("target-west-1-books-2").process.Signal(SIGTERM);
  int status = -1;
  BOOST_TEST(mesh.TargetOf("target-west-1-books-2").process.WaitForEnd(kRecoveryLimit, status));
  CheckAllCallsComplete(load.Finish());
}

BOOST_AUTO_TEST_CASE(a_terminated_node_completes_its_calls)
{
  RunningMesh mesh(SmallMesh("nodestop"));
  const std::string leavingNode = "node-east-1-books-1";
  std::vector<std::string> entries = mesh.Nodes();
  std::erase(entries, leavingNode);
  BackgroundLoad load(mesh, entries, std::chrono::seconds(5));
  // Calls that arrived at the leaving node itself must also be answered completely.
  std::vector<std::thread> callers;
  std::atomic<int> completeCalls{ 0 };
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&] {
      const TestResponse response =
        Send(mesh.ProcessOf(leavingNode).callerAddress, { .path = "/books/slow?ms=1500" });
      completeCalls += response.transferComplete && response.status == 200 ? 1 : 0;
    });
  }
  BOOST_REQUIRE(WaitUntil(kRecoveryLimit, [&] {
    // A call may be in two ledgers, since it may be sent to a second gate.
    std::set<std::string> calls;
    for (const std::string& line : mesh.LedgerLines()) {
      if (line.find("/books/slow") != std::string::npos) {
        calls.insert(line.substr(line.rfind(' ')));
      }
    }
    return calls.size() == 8;
  }));
  mesh.ProcessOf(leavingNode).process.Signal(SIGTERM);
  int status = -1;
  BOOST_TEST(mesh.ProcessOf(leavingNode).process.WaitForEnd(kRecoveryLimit, status));
  BOOST_TEST(status == 0);
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(completeCalls == 8);
  CheckAllCallsComplete(load.Finish());
}

// Guards against: a call that is still open when a leaving node has to end gets neither an answer nor a
// refusal.
BOOST_AUTO_TEST_CASE(calls_that_outlast_the_drain_of_their_entry_are_answered)
{
  MeshOptions options = SmallMesh("shortdrain");
  options.drainTimeout = std::chrono::milliseconds(2000);
  RunningMesh mesh(std::move(options));
  const std::string leavingNode = "node-east-1-books-1";
  TestResponse response;
  std::thread caller([&] {
    response = Send(mesh.ProcessOf(leavingNode).callerAddress,
                    { .path = "/books/long?ms=4000", .timeout = std::chrono::milliseconds(8000) });
  });
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] {
    const std::vector<std::string> lines = mesh.LedgerLines();
    return std::any_of(lines.begin(), lines.end(), [](const std::string& aLine) {
      return aLine.find("/books/long") != std::string::npos;
    });
  }));
  mesh.ProcessOf(leavingNode).process.Signal(SIGTERM);
  int status = -1;
  BOOST_TEST(mesh.ProcessOf(leavingNode).process.WaitForEnd(kRecoveryLimit, status));
  caller.join();
  BOOST_TEST_MESSAGE("status " << response.status << ", outcome " << response.outcome);
  BOOST_TEST(response.transferComplete);
  BOOST_TEST(response.outcome == "unknown");
}

// Guards against: a leaving node takes a call that usually ends after the node has begun to refuse open
// calls, and its caller then can't tell whether it ran.
BOOST_AUTO_TEST_CASE(a_call_that_would_be_refused_while_it_runs_is_not_taken)
{
  const TestRequest request{ .path = "/books/long?ms=1000", .timeout = std::chrono::milliseconds(8000) };
  MeshOptions options = SmallMesh("latestcall");
  options.drainTimeout = std::chrono::milliseconds(2000);
  RunningMesh mesh(std::move(options));
  MeshProcess& node = mesh.ProcessOf("node-east-1-books-1");
  BOOST_TEST(Send(node.callerAddress, request).status == 200);
  node.process.Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(900));
  // It would end 1,900 ms after the signal, and open calls are refused 1,800 ms after it.
  const TestResponse response = Send(node.callerAddress, request);
  BOOST_TEST_MESSAGE("status " << response.status << ", outcome " << response.outcome);
  BOOST_TEST(response.transferComplete);
  BOOST_TEST(response.outcome != "unknown");
}

// Guards against: a leaving node that still waits for its calls rejects the connections of callers that have
// no other node.
BOOST_AUTO_TEST_CASE(a_leaving_node_answers_callers_until_its_end)
{
  MeshOptions options = SmallMesh("listening");
  options.drainTimeout = std::chrono::milliseconds(4000);
  RunningMesh mesh(std::move(options));
  MeshProcess& node = mesh.ProcessOf("node-east-1-books-1");
  std::thread caller([&node] {
    const TestResponse response =
      Send(node.callerAddress, { .path = "/books/long?ms=3000", .timeout = std::chrono::milliseconds(3500) });
    BOOST_TEST(response.status == 200);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  node.process.Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  // It ends before the drain does, by its timeout at the latest.
  const TestResponse served =
    Send(node.callerAddress, { .path = "/books/item?ms=1", .timeout = std::chrono::milliseconds(500) });
  BOOST_TEST(served.status == 200);
  // It could outlast the drain.
  const TestResponse refused =
    Send(node.callerAddress, { .path = "/books/item?ms=1", .timeout = std::chrono::milliseconds(8000) });
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.outcome == "not-run");
  caller.join();
  int status = -1;
  BOOST_TEST(node.process.WaitForEnd(kRecoveryLimit, status));
  BOOST_TEST(status == 0);
}

// Guards against: callers with kept connections go on sending calls to a node that leaves until it refuses
// them.
BOOST_AUTO_TEST_CASE(a_leaving_node_closes_connections_while_it_still_takes_calls)
{
  static const std::string kRequest = "GET /books/item?ms=1 HTTP/1.1\r\nHost: x\r\n\r\n";
  RunningMesh mesh(SmallMesh("closing"));
  MeshProcess& node = mesh.ProcessOf("node-east-1-books-1");
  RawConnection caller(node.callerAddress);
  caller.Send(kRequest);
  const std::string first = caller.ReceiveUntil("\r\n\r\n", std::chrono::seconds(3));
  BOOST_TEST(first.starts_with("HTTP/1.1 200"));
  BOOST_TEST(first.find("Connection: close") == std::string::npos);
  node.process.Signal(SIGTERM);
  // A node takes calls for 1.2 s after the signal.
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  caller.Send(kRequest);
  const std::string last = caller.ReceiveUntil("Connection: close", std::chrono::seconds(3));
  BOOST_TEST(last.find("HTTP/1.1 200") != std::string::npos);
  BOOST_TEST(last.find("Connection: close") != std::string::npos);
}

/** Sends calls to a gate over one connection, like an entry that hasn't learned that the gate's node leaves.
 */
class LateEntry
{
public:
  explicit LateEntry(const Address& aGate)
    : m_connection(aGate)
  {
  }

  /** Returns the head of the response, or an empty text without one. */
  std::string Call()
  {
    return Send("GET", {}, RepeatPolicy::Idempotent)
             ? m_connection.ReceiveUntil("\r\n\r\n", std::chrono::seconds(2))
             : std::string();
  }

  /** Sends a call with an idempotency key. */
  bool SendKeyed(const std::string& aKey)
  {
    return Send("POST",
                "Content-Length: 0\r\n" + std::string(kIdempotencyHeader) + ": " + aKey + "\r\n",
                RepeatPolicy::Keyed);
  }

private:
  bool Send(const std::string& aMethod, const std::string& aHeaders, RepeatPolicy aPolicy)
  {
    HttpHeaders headers;
    WriteHop(headers,
             HopRequest{ .callId = "late-" + std::to_string(++s_lastCall),
                         .service = "books",
                         .route = "late",
                         .repeatPolicy = aPolicy,
                         .expectedCost = std::chrono::milliseconds(10),
                         .timeLeft = std::chrono::milliseconds(1000),
                         .timeToObjective = std::chrono::milliseconds(1000),
                         .longestWait = std::chrono::milliseconds(1000),
                         .maxFailurePenalty = std::chrono::milliseconds(10000),
                         .homeRegion = "east" });
    return m_connection.Send(aMethod + " /books/item?ms=1 HTTP/1.1\r\nHost: x\r\n" + aHeaders +
                             headers.front().name + ": " + headers.front().value + "\r\n\r\n");
  }

private:
  static inline int s_lastCall = 0;
  RawConnection m_connection;
};

/** Returns whether the head of a gate's response says that its node leaves. */
static bool
SaysItLeaves(const std::string& aHead)
{
  const std::string name = std::string(kHopResponseHeader) + ": ";
  const size_t begin = aHead.find(name);
  if (begin == std::string::npos) {
    return false;
  }
  const size_t end = aHead.find("\r\n", begin);
  HttpHeaders headers{ { .name = kHopResponseHeader,
                         .value = aHead.substr(begin + name.size(), end - begin - name.size()) } };
  return ExtractHopResponse(headers).value_or(HopResponse{}).isLeaving;
}

// Guards against: a leaving node takes a moment without calls for their end, and entries that learn late that
// it leaves can't tell whether the calls that were on their way have run.
BOOST_AUTO_TEST_CASE(a_leaving_node_answers_calls_that_entries_send_late)
{
  // Longer than a node takes calls after the signal.
  constexpr int kLateCalls = 12;
  constexpr std::chrono::milliseconds kInterval{ 200 };
  constexpr std::chrono::milliseconds kEndLimit{ 2000 };
  RunningMesh mesh(SmallMesh("latecalls"));
  MeshProcess& node = mesh.ProcessOf("node-east-1-books-1");
  LateEntry entry(node.gateAddress);
  const std::string firstResponse = entry.Call();
  BOOST_TEST(firstResponse.starts_with("HTTP/1.1 200"));
  BOOST_TEST(!SaysItLeaves(firstResponse));
  node.process.Signal(SIGTERM);
  std::string lastResponse;
  int answered = 0;
  for (int call = 0; call < kLateCalls; ++call) {
    std::this_thread::sleep_for(kInterval);
    lastResponse = entry.Call();
    answered += lastResponse.empty() ? 0 : 1;
  }
  BOOST_TEST(answered == kLateCalls);
  BOOST_TEST(lastResponse.starts_with("HTTP/1.1 503"));
  BOOST_TEST(SaysItLeaves(lastResponse));
  int status = -1;
  BOOST_TEST(node.process.WaitForEnd(kEndLimit, status));
  BOOST_TEST(status == 0);
}

// Guards against: a process that has drained waits for its threads while nobody reads its connections, and
// calls that arrive in that time get no answer.
BOOST_AUTO_TEST_CASE(a_node_that_has_drained_answers_while_it_waits_for_its_threads)
{
  RunningMesh mesh(SmallMesh("slowstop"));
  MeshProcess& node = mesh.ProcessOf("node-east-1-books-1");
  LateEntry entry(node.gateAddress);
  LateEntry keyed(node.gateAddress);
  BOOST_TEST(entry.Call().starts_with("HTTP/1.1 200"));
  for (const std::string& replica : mesh.Replicas()) {
    mesh.ProcessOf(replica).process.Signal(SIGSTOP);
  }
  // The key can't be claimed; then the gate tries to release it, for longer than the drain lasts.
  BOOST_TEST(keyed.SendKeyed("slowstop"));
  node.process.Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  BOOST_TEST(node.process.Running());
  BOOST_TEST(entry.Call().starts_with("HTTP/1.1 503"));
  int status = -1;
  BOOST_TEST(node.process.WaitForEnd(kRecoveryLimit, status));
  BOOST_TEST(status == 0);
}
