// The machine of the core that leads is replaced by an empty one; when the new one has had catchUp, another
// machine of the core loses its disk. Each loss is one machine, as faultTolerance allows. Afterwards the
// operator reads the configuration back.

#include "../lib/review.h"

using namespace review;

/** bounds.catchUp and bounds.recovery of the settings. */
static constexpr milliseconds kCatchUp{ 4000 };
static constexpr milliseconds kRecovery{ 15000 };
/** Added to catchUp, so that the second loss is certainly later. */
static constexpr milliseconds kMargin{ 100 };
static constexpr int kNewMachine = 4;

/** Returns the machine whose last event about leadership is its election. */
static int
FindLeader(const Deployment& aDeployment, const std::vector<int>& aMachines)
{
  for (const int machine : aMachines) {
    const std::string output = aDeployment.OutputOf(machine);
    const size_t elected = output.rfind("leader-elected");
    const size_t ended = output.rfind("leader-stepped-down");
    if (elected != std::string::npos && (ended == std::string::npos || ended < elected)) {
      return machine;
    }
  }
  return -1;
}

static int
Run(Record& aRecord)
{
  Deployment deployment;
  const std::vector<int> seeds{ 0, 1, 2 };
  std::map<int, Process> core;
  for (int machine = 0; machine < 4; ++machine) {
    core[machine] = deployment.StartCore(machine, seeds, true);
  }
  aRecord.Line("platform: four machines of the core started, seeds core-0, core-1, core-2");
  if (Replace(aRecord,
              deployment,
              { 0, 1, 2, 3 },
              0,
              MakeConfiguration(3, { { "lamps", "hours" } }),
              seconds(15)) != 200) {
    return kCouldNotRun;
  }
  // Longer than stableWindow and catchUp, so that the fourth machine has joined too.
  Sleep(milliseconds(8000));
  const int leader = FindLeader(deployment, seeds);
  if (leader < 0 || Replace(aRecord,
                            deployment,
                            { 0, 1, 2, 3 },
                            3,
                            MakeConfiguration(5, { { "lamps", "hours" }, { "stock", "stores" } }),
                            seconds(5)) != 200) {
    return kCouldNotRun;
  }
  std::vector<int> remaining;
  for (int machine = 0; machine < 4; ++machine) {
    if (machine != leader || !HasTrouble()) {
      remaining.push_back(machine);
    }
  }
  const int second = leader == 0 ? 1 : 0;
  if (HasTrouble()) {
    core[kNewMachine] =
      deployment.StartCore(kNewMachine, { remaining[0], remaining[1], remaining[2] }, false);
    core[leader].Kill();
    aRecord.Line("platform: core-" + std::to_string(leader) +
                 " removed for good, core-4 added with an empty disk");
    remaining.push_back(kNewMachine);
  }
  const auto started = Clock::now();
  const int status = Replace(aRecord,
                             deployment,
                             remaining,
                             5,
                             MakeConfiguration(8, { { "lamps", "hours" }, { "beds", "history" } }),
                             milliseconds(3900));
  const int newest = status == 200 ? 8 : 5;
  std::this_thread::sleep_until(started + kCatchUp + kMargin);
  if (HasTrouble()) {
    core[second].Kill();
    std::filesystem::remove_all(deployment.DataFolder(second));
    Sleep(milliseconds(1000));
    core[second] = deployment.StartCore(second, { remaining[0], remaining[1], remaining[2] }, false);
    aRecord.Line("platform: core-" + std::to_string(second) +
                 " lost its disk 4.1 s after core-4 was started; it is back, with an empty disk");
  }
  const auto back = Clock::now();
  int lastRead = 0;
  int answers = 0;
  std::map<std::string, int> counts;
  while (Clock::now() < back + kRecovery + seconds(10)) {
    for (const int machine : remaining) {
      const Message answer = ReadConfiguration(deployment, machine);
      const bool isLate = Clock::now() > back + kRecovery;
      const int version = answer.Status() == 200 ? VersionOf(answer.body) : 0;
      ++counts[std::string(isLate ? "after" : "within") + " recovery: status " +
               std::to_string(answer.Status()) + ", version " + std::to_string(version)];
      if (isLate) {
        answers += version > 0 ? 1 : 0;
        lastRead = std::max(lastRead, version);
      }
    }
    Sleep(milliseconds(300));
  }
  for (const auto& [text, count] : counts) {
    aRecord.Line("operator: Config.Read " + text + ": " + std::to_string(count) + " times");
  }
  const int change = Replace(
    aRecord, deployment, remaining, newest, MakeConfiguration(20, { { "lamps", "hours" } }), seconds(8));
  const bool broken = answers == 0 || lastRead < newest;
  aRecord.Line("newest acknowledged version r" + std::to_string(newest) + ", read back after recovery: " +
               (answers == 0 ? std::string("none") : "r" + std::to_string(lastRead)) +
               "; a further change: " + std::to_string(change));
  aRecord.Line(broken ? "BROKEN: CONFIG and LOST, the acknowledged configuration doesn't come" : "held");
  return broken ? kBroken : kHeld;
}

int
main(int /*aCount*/, char** aArguments)
{
  auto* record = new Record(std::string(aArguments[1]) + "/record.txt");
  End(Run(*record));
}
