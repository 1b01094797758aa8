#include "harness/quickstartrun.h"

#include "load/generator.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

namespace mimosarun {

using Milliseconds = std::chrono::milliseconds;

static constexpr Milliseconds kStartLimit{ 30000 };
static constexpr Milliseconds kInForceLimit{ 4000 };
static constexpr Milliseconds kLeavingLimit{ 3000 };
static constexpr unsigned int kLoadThreads = 1;
static constexpr int64_t kLoadCallsPerSecond = 200;

/** Prints each step with its result and records whether all steps passed. */
class StepReport
{
public:
  bool Record(const std::string& aStep, bool aOk, const std::string& aResult)
  {
    m_ok = m_ok && aOk;
    std::cout << (aOk ? "ok    " : "FAIL  ") << aStep
              << std::string(aStep.size() < 44 ? 44 - aStep.size() : 1, ' ') << aResult << std::endl;
    return aOk;
  }

  bool Ok() const { return m_ok; }

private:
  bool m_ok = true;
};

static Milliseconds
ElapsedSince(Deadline aStart)
{
  return std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - aStart);
}

static std::string
Text(Milliseconds aTime)
{
  return std::to_string(aTime.count()) + " ms";
}

static Workload
MakeWorkload(Mesh& aMesh, Milliseconds aLength)
{
  Workload workload;
  for (const std::string& node : aMesh.Nodes()) {
    workload.entries.push_back(aMesh.ProcessOf(node).callerAddress);
  }
  for (const std::string& service : aMesh.Options().services) {
    workload.kinds.push_back(
      { .name = service, .method = "GET", .path = "/" + service + "/item", .weight = 5 });
  }
  workload.kinds.push_back({ .name = "book",
                             .method = "POST",
                             .path = "/" + aMesh.Options().services[1] + "/book",
                             .weight = 1,
                             .body = "{}",
                             .keyed = true });
  workload.phases.push_back(
    { .name = "quickstart", .duration = aLength, .callsPerSecond = kLoadCallsPerSecond });
  return workload;
}

static void
ShowChange(Mesh& aMesh, StepReport& aSteps)
{
  const auto start = SteadyClock::now();
  const int64_t version = aMesh.Install(aMesh.Document("history-reports"));
  const bool inForce = version > 0 && aMesh.WaitInForce(version, kInForceLimit);
  aSteps.Record("a change is in force on every node",
                inForce,
                Text(ElapsedSince(start)) + ", version " + std::to_string(version));
}

static void
ShowDrain(Mesh& aMesh, StepReport& aSteps)
{
  const std::string target = aMesh.Targets().front();
  const auto start = SteadyClock::now();
  const Answer answer = aMesh.Command("drain " + target);
  const MeshTarget& drained = aMesh.TargetOf(target);
  const bool drainComplete =
    answer.code == AnswerCode::Done && WaitUntil(kLeavingLimit, [&] {
      for (const std::string& node : aMesh.Nodes()) {
        if (Send(aMesh.ProcessOf(node).callerAddress, { .path = "/" + drained.service + "/item" }).target ==
            target) {
          return false;
        }
      }
      return true;
    });
  aSteps.Record("a drained target gets no new work", drainComplete, Text(ElapsedSince(start)));
  aMesh.Command("undrain " + target);
}

static void
ShowKills(Mesh& aMesh, StepReport& aSteps)
{
  const std::string node = aMesh.Nodes().back();
  aMesh.ProcessOf(node).process.Kill();
  const std::string leader = aMesh.LeaderOf("configuration");
  const auto start = SteadyClock::now();
  if (!leader.empty()) {
    aMesh.ProcessOf(leader).process.Kill();
  }
  const int64_t version = aMesh.Install(aMesh.Document("after-the-kill"));
  const bool inForce = version > 0 && aMesh.WaitInForce(version, kInForceLimit);
  aSteps.Record("leader " + leader + " killed, change still accepted", inForce, Text(ElapsedSince(start)));
  aMesh.StartProcess(node);
  aMesh.StartProcess(leader);
  aSteps.Record("killed processes restarted, same version",
                aMesh.WaitInForce(version, kStartLimit),
                "version " + std::to_string(version));
}

static void
ReportLoad(const LoadReport& aReport, StepReport& aSteps, Mesh& aMesh)
{
  LoadTally total;
  for (const auto& [key, tally] : aReport) {
    total.offered += tally.offered;
    total.complete += tally.complete;
    total.notRun += tally.notRun;
    total.unknown += tally.unknown;
    total.broken += tally.broken;
    total.wrong += tally.wrong;
    total.latencies.Merge(tally.latencies);
  }
  std::map<std::string, int> runs;
  int ranTwice = 0;
  for (const std::string& line : aMesh.LedgerLines()) {
    if (line.find("/book ") != std::string::npos && ++runs[line.substr(0, line.rfind(' '))] > 1) {
      ++ranTwice;
    }
  }
  aSteps.Record("calls meanwhile",
                total.wrong == 0,
                std::to_string(total.offered) + " offered, " + std::to_string(total.complete) +
                  " complete, " + std::to_string(total.notRun) + " not run, " +
                  std::to_string(total.unknown) + " unknown, " + std::to_string(total.broken) + " broken, " +
                  std::to_string(total.wrong) + " wrong");
  aSteps.Record(
    "bookings run twice", ranTwice == 0, std::to_string(ranTwice) + " of " + std::to_string(runs.size()));
  aSteps.Record("latency of complete calls",
                true,
                "p50 " + std::to_string(total.latencies.Quantile(0.5).count()) + " us, p99 " +
                  std::to_string(total.latencies.Quantile(0.99).count()) + " us");
}

static bool
BringUp(Mesh& aMesh, StepReport& aSteps)
{
  const auto start = SteadyClock::now();
  if (!aSteps.Record("processes started",
                     aMesh.Start(),
                     std::to_string(aMesh.Nodes().size()) + " nodes, " +
                       std::to_string(aMesh.Replicas().size()) + " control replicas")) {
    return false;
  }
  int64_t version = 0;
  WaitUntil(kStartLimit, [&] {
    version = aMesh.Install(aMesh.Document());
    return version > 0;
  });
  aSteps.Record("first configuration accepted", version > 0, Text(ElapsedSince(start)));
  aSteps.Record("in force on every node", aMesh.WaitInForce(version, kStartLimit), Text(ElapsedSince(start)));
  return aSteps.Record(
    "every service answers at every node", aMesh.WaitServing(kStartLimit), Text(ElapsedSince(start)));
}

int
RunQuickstart(Mesh& aMesh, ShutdownSignal* aHoldUntil)
{
  StepReport steps;
  if (!BringUp(aMesh, steps)) {
    return 1;
  }
  if (aHoldUntil != nullptr) {
    const std::string path = aMesh.Options().folder + "/mesh.json";
    std::ofstream(path) << aMesh.Description("");
    std::cout << "holding; processes are listed in " << path << std::endl;
    aHoldUntil->Wait();
    aMesh.StopAll();
    return 0;
  }
  LoadReport report;
  std::thread load(
    [&] { report = LoadGenerator(MakeWorkload(aMesh, Milliseconds(8000)), kLoadThreads).Run(); });
  ShowChange(aMesh, steps);
  ShowDrain(aMesh, steps);
  ShowKills(aMesh, steps);
  load.join();
  ReportLoad(report, steps, aMesh);
  aMesh.StopAll();
  std::cout << (steps.Ok() ? "all steps passed" : "some steps failed") << "; logs are in "
            << aMesh.Options().folder << "\n";
  return steps.Ok() ? 0 : 1;
}

} // namespace mimosarun
