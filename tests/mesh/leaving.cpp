#define BOOST_TEST_MODULE leaving
#include "harness/running.h"

#include "load/generator.h"

#include <csignal>
#include <set>
#include <thread>

using namespace mimosarun;

/** Load on all entries of a deployment that runs beside a test. */
class BackgroundLoad
{
public:
  BackgroundLoad(Mesh& aMesh, const std::vector<std::string>& aEntries, std::chrono::milliseconds aLength)
  {
    Workload workload;
    for (const std::string& node : aEntries) {
      workload.entries.push_back(aMesh.ProcessOf(node).callerAddress);
    }
    workload.kinds.push_back({ .name = "read", .path = "/books/item?ms=40" });
    workload.kinds.back().method = "GET";
    workload.phases.push_back({ .name = "all", .duration = aLength, .callsPerSecond = 100 });
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

/** Whether a target is chosen by any entry within some calls. */
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
CheckNothingWasCut(const LoadTally& aTally)
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

BOOST_AUTO_TEST_CASE(a_drained_target_gets_no_new_work_and_cuts_nothing)
{
  RunningMesh mesh(SmallMesh("drain"));
  const std::string target = "target-east-1-books-1";
  BackgroundLoad load(mesh, mesh.Nodes(), std::chrono::seconds(5));
  const auto began = SteadyClock::now();
  BOOST_REQUIRE((mesh.Command("drain " + target).code == AnswerCode::Done));
  auto lastChosen = began;
  while (SteadyClock::now() < began + kLeavingLimit + std::chrono::milliseconds(500)) {
    if (IsChosen(mesh, target)) {
      lastChosen = SteadyClock::now();
    }
  }
  BOOST_TEST_MESSAGE("last new call after " << (lastChosen - began) / std::chrono::milliseconds(1) << " ms");
  BOOST_TEST((lastChosen < began + kLeavingLimit));
  CheckNothingWasCut(load.Finish());
}

BOOST_AUTO_TEST_CASE(a_stopped_target_ends_its_calls_and_then_itself)
{
  RunningMesh mesh(SmallMesh("stoptarget"));
  BackgroundLoad load(mesh, mesh.Nodes(), std::chrono::seconds(4));
  BOOST_REQUIRE((mesh.Command("stop target-east-1-books-1").code == AnswerCode::Done));
  int status = -1;
  BOOST_TEST(mesh.TargetOf("target-east-1-books-1").process.WaitForEnd(kRecoveryLimit, status));
  BOOST_TEST(status == 0);
  CheckNothingWasCut(load.Finish());
}

BOOST_AUTO_TEST_CASE(a_target_that_leaves_by_itself_cuts_nothing)
{
  RunningMesh mesh(SmallMesh("selfleave"));
  BackgroundLoad load(mesh, mesh.Nodes(), std::chrono::seconds(4));
  mesh.TargetOf("target-west-1-books-2").process.Signal(SIGTERM);
  int status = -1;
  BOOST_TEST(mesh.TargetOf("target-west-1-books-2").process.WaitForEnd(kRecoveryLimit, status));
  CheckNothingWasCut(load.Finish());
}

BOOST_AUTO_TEST_CASE(a_nodes_graceful_stop_cuts_nothing)
{
  RunningMesh mesh(SmallMesh("nodestop"));
  const std::string leaving = "node-east-1-books-1";
  std::vector<std::string> entries = mesh.Nodes();
  std::erase(entries, leaving);
  BackgroundLoad load(mesh, entries, std::chrono::seconds(5));
  // Calls that entered at the leaving node itself have to end whole as well.
  std::vector<std::thread> callers;
  std::atomic<int> whole{ 0 };
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&] {
      const TestResponse answer =
        Send(mesh.ProcessOf(leaving).callerAddress, { .path = "/books/slow?ms=1500" });
      whole += answer.transferComplete && answer.status == 200 ? 1 : 0;
    });
  }
  BOOST_REQUIRE(WaitUntil(kRecoveryLimit, [&] {
    // A call may stand in two ledgers, since it may be sent to a second gate.
    std::set<std::string> calls;
    for (const std::string& line : mesh.LedgerLines()) {
      if (line.find("/books/slow") != std::string::npos) {
        calls.insert(line.substr(line.rfind(' ')));
      }
    }
    return calls.size() == 8;
  }));
  mesh.ProcessOf(leaving).process.Signal(SIGTERM);
  int status = -1;
  BOOST_TEST(mesh.ProcessOf(leaving).process.WaitForEnd(kRecoveryLimit, status));
  BOOST_TEST(status == 0);
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(whole == 8);
  CheckNothingWasCut(load.Finish());
}
