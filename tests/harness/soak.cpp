#include "harness/bookings.h"

#include <cxxopts.hpp>

#include <iostream>
#include <thread>

using namespace mimosarun;

static constexpr std::chrono::milliseconds kStartLimit{ 30000 };
static constexpr int kBookingsPerRound = 200;

/** Looks at the versions that nodes hold and counts steps back. */
class VersionMonitor
{
public:
  void Check(Mesh& aMesh)
  {
    for (const std::string& node : aMesh.Nodes()) {
      const int64_t held = aMesh.VersionOf(node);
      // A node that restarted empty starts again from nothing; within one life it never goes back.
      const pid_t life = aMesh.ProcessOf(node).process.Id();
      SeenVersion& last = m_lastSeen[node];
      if (held >= 0 && life == last.processId && held < last.version) {
        ++m_regressions;
      }
      if (held >= 0) {
        last = { .processId = life, .version = held };
      }
    }
  }

  int Regressions() const { return m_regressions; }

private:
  struct SeenVersion
  {
    pid_t processId = -1;
    int64_t version = 0;
  };

  std::map<std::string, SeenVersion> m_lastSeen;
  int m_regressions = 0;
};

static int
Soak(std::chrono::minutes aTime, uint64_t aSeed)
{
  MeshOptions options = SmallMesh("soak");
  options.targetsPerDomain = 1;
  options.regions = { { "east", { "east-1", "east-2" } }, { "west", { "west-1", "west-2" } } };
  options.replicaDomains = { "east-1", "east-2", "west-1", "west-2", "east-1" };
  Mesh mesh(options);
  int64_t version = 0;
  const bool running = mesh.Start() &&
                       WaitUntil(kStartLimit,
                                 [&] {
                                   version = mesh.Install(mesh.Document());
                                   return version > 0;
                                 }) &&
                       mesh.WaitServing(kStartLimit);
  if (!running) {
    std::cerr << "the deployment did not start\n";
    return 1;
  }
  VersionMonitor watch;
  std::vector<Booking> all;
  std::mt19937_64 random(aSeed);
  const Deadline end = SteadyClock::now() + aTime;
  for (int round = 0; SteadyClock::now() < end; ++round) {
    std::atomic<bool> stop{ false };
    std::thread faults([&] { InjectRandomFaults(mesh, stop, random()); });
    const bool cut = random() % 3 == 0;
    mesh.SetRegionFault("east", "west", { .dropAll = cut });
    const std::vector<Booking> bookings =
      BookMany(mesh, "soak-" + std::to_string(round) + "-", kBookingsPerRound, random());
    all.insert(all.end(), bookings.begin(), bookings.end());
    stop = true;
    faults.join();
    mesh.SetRegionFault("east", "west", {});
    mesh.Install(mesh.Document("round-" + std::to_string(round)));
    watch.Check(mesh);
    const BookingSummary so = CheckBookings(mesh, all);
    std::cout << "round " << round << (cut ? " with a cut" : "") << ": " << so.complete << " of "
              << so.bookings << " complete, " << so.ranTwice << " twice, " << so.falseNotRun
              << " false not-run, " << so.lost << " lost, " << watch.Regressions() << " steps back"
              << std::endl;
  }
  int64_t last = 0;
  WaitUntil(kStartLimit, [&] {
    last = mesh.Install(mesh.Document("last"));
    return last > 0;
  });
  const bool converged = last > 0 && mesh.WaitInForce(last, kStartLimit);
  const bool holds = CheckBookings(mesh, all).HasNoViolation() && watch.Regressions() == 0 && converged;
  std::cout << "seed " << aSeed << ": " << (holds ? "all promises held" : "a promise was broken")
            << (converged ? "" : ", nodes did not converge") << "\n";
  return holds ? 0 : 1;
}

int
main(int aCount, char** aValues)
{
  cxxopts::Options options("soak", "Mixes faults for some time and judges ledgers, versions and answers");
  options.add_options()("minutes", "", cxxopts::value<int>()->default_value("5"))(
    "seed", "", cxxopts::value<uint64_t>()->default_value("1"))("help", "Print help");
  const auto parsed = options.parse(aCount, aValues);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  return Soak(std::chrono::minutes(parsed["minutes"].as<int>()), parsed["seed"].as<uint64_t>());
}
