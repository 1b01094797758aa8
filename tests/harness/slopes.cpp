#include "harness/mesh.h"

#include <cxxopts.hpp>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

using namespace mimosarun;

static constexpr std::chrono::milliseconds kStartLimit{ 60000 };
static constexpr std::chrono::milliseconds kSettleTime{ 8000 };
static constexpr std::chrono::milliseconds kMeasurementTime{ 10000 };
static constexpr int kChanges = 10;

/** CPU time and memory of a process so far. */
struct Usage
{
  double cpuSeconds = 0;
  double residentMegabytes = 0;
};

static Usage
UsageOf(pid_t aPid)
{
  std::ifstream stream("/proc/" + std::to_string(aPid) + "/stat");
  std::string line;
  std::getline(stream, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) {
    values.push_back(value);
  }
  const double ticks = std::stod(values[11]) + std::stod(values[12]);
  return { .cpuSeconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)),
           .residentMegabytes = std::stod(values[21]) * 4096 / 1e6 };
}

/** Mean and maximum CPU use in percent of a core, and mean memory, of several processes over a time. */
struct AverageUsage
{
  double meanPercent = 0;
  double maxPercent = 0;
  double residentMegabytes = 0;
};

static AverageUsage
MeasureUsage(Mesh& aMesh, const std::vector<std::string>& aNames, std::chrono::milliseconds aTime)
{
  std::vector<Usage> before;
  for (const std::string& name : aNames) {
    before.push_back(UsageOf(aMesh.ProcessOf(name).process.Id()));
  }
  std::this_thread::sleep_for(aTime);
  AverageUsage average;
  for (size_t i = 0; i < aNames.size(); ++i) {
    const Usage after = UsageOf(aMesh.ProcessOf(aNames[i]).process.Id());
    const double percent =
      (after.cpuSeconds - before[i].cpuSeconds) / std::chrono::duration<double>(aTime).count() * 100;
    average.meanPercent += percent / static_cast<double>(aNames.size());
    average.maxPercent = std::max(average.maxPercent, percent);
    average.residentMegabytes += after.residentMegabytes / static_cast<double>(aNames.size());
  }
  return average;
}

static void
PrintRow(const std::string& aLabel, double aValue, const std::string& aUnit)
{
  std::cout << "  " << aLabel << std::string(aLabel.size() < 52 ? 52 - aLabel.size() : 1, ' ') << aValue
            << " " << aUnit << std::endl;
}

static bool
MeasureMeshOfSize(int aTargetsPerDomain)
{
  MeshOptions options = PettigrewMesh();
  options.targetsPerDomain = aTargetsPerDomain;
  options.countDomainTraffic = true;
  options.folder = "run/slopes";
  Mesh mesh(options);
  int64_t version = 0;
  const bool running = mesh.Start() &&
                       WaitUntil(kStartLimit,
                                 [&] {
                                   version = mesh.Install(mesh.Document());
                                   return version > 0;
                                 }) &&
                       mesh.WaitInForce(version, kStartLimit) && mesh.WaitForFullMembership(kStartLimit);
  const auto nodes = static_cast<double>(mesh.Nodes().size());
  std::cout << nodes << " nodes" << (running ? "" : " did not start") << std::endl;
  if (!running) {
    return false;
  }
  std::this_thread::sleep_for(kSettleTime);
  const uint64_t domainBytes = mesh.Proxy().LinkBytes("domains");
  const uint64_t linkBytes = mesh.Proxy().LinkBytes("regions");
  const AverageUsage node = MeasureUsage(mesh, mesh.Nodes(), kMeasurementTime);
  const double seconds = std::chrono::duration<double>(kMeasurementTime).count();
  const auto inside = static_cast<double>(mesh.Proxy().LinkBytes("domains") - domainBytes);
  const auto across = static_cast<double>(mesh.Proxy().LinkBytes("regions") - linkBytes);
  const AverageUsage control = MeasureUsage(mesh, mesh.Replicas(), kMeasurementTime);
  PrintRow("idle node, mean share of a core", node.meanPercent, "%");
  PrintRow("idle node, greatest share of a core", node.maxPercent, "%");
  PrintRow("idle node, memory", node.residentMegabytes, "MB");
  PrintRow("idle control replica, mean share of a core", control.meanPercent, "%");
  PrintRow("idle control replica, memory", control.residentMegabytes, "MB");
  PrintRow("idle bytes between all processes of a region, a node", inside / seconds / nodes / 1000, "KB/s");
  PrintRow("idle bytes over the link", across / seconds / 1000, "KB/s");
  std::vector<double> times;
  for (int change = 0; change < kChanges; ++change) {
    const auto changeStart = SteadyClock::now();
    version = mesh.InstallOn(version, mesh.Document("change-" + std::to_string(change)));
    if (!mesh.WaitInForce(version, std::chrono::seconds(10))) {
      std::cout << "  a change was not in force in 10 s" << std::endl;
    }
    times.push_back(std::chrono::duration<double, std::milli>(SteadyClock::now() - changeStart).count());
  }
  std::sort(times.begin(), times.end());
  PrintRow("change in force everywhere, median (with asking all)", times[times.size() / 2], "ms");
  PrintRow("change in force everywhere, longest", times.back(), "ms");
  return true;
}

int
main(int aCount, char** aValues)
{
  cxxopts::Options options("slopes",
                           "Measures CPU, memory, traffic and configuration changes as the mesh grows");
  options.add_options()("targets",
                        "Targets of each service in each failure domain; nodes are sixteen times that",
                        cxxopts::value<std::vector<int>>()->default_value("1,2,4"))("help", "Print help");
  const auto parsed = options.parse(aCount, aValues);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  bool ok = true;
  for (const int targets : parsed["targets"].as<std::vector<int>>()) {
    ok = MeasureMeshOfSize(targets) && ok;
  }
  return ok ? 0 : 1;
}
