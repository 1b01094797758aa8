#include "harness/bookings.h"

#include <cxxopts.hpp>

#include <iostream>
#include <thread>

using namespace mimosarun;

static constexpr std::chrono::milliseconds kStartLimit{ 30000 };
static constexpr int kBookingsInRound = 200;

/** Looks at the versions that nodes hold and counts steps back. */
class VersionWatch
{
public:
  void Look(Mesh& aMesh)
  {
    for (const std::string& node : aMesh.Nodes()) {
      const int64_t held = aMesh.VersionOf(node);
      // A node that restarted empty starts again from nothing; within one life it never goes back.
      const pid_t life = aMesh.ProcessOf(node).process.Id();
      Held& last = m_held[node];
      if (held >= 0 && life == last.life && held < last.version) {
        ++m_stepsBack;
      }
      if (held >= 0) {
        last = { .life = life, .version = held };
      }
    }
  }

  int StepsBack() const { return m_stepsBack; }

private:
  struct Held
  {
    pid_t life = -1;
    int64_t version = 0;
  };

  std::map<std::string, Held> m_held;
  int m_stepsBack = 0;
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
  VersionWatch watch;
  std::vector<Booking> all;
  std::mt19937_64 random(aSeed);
  const Deadline end = SteadyClock::now() + aTime;
  for (int round = 0; SteadyClock::now() < end; ++round) {
    std::atomic<bool> stop{ false };
    std::thread faults([&] { FaultAtRandom(mesh, stop, random()); });
    const bool cut = random() % 3 == 0;
    mesh.SetRegionFault("east", "west", { .silent = cut });
    const std::vector<Booking> bookings =
      BookMany(mesh, "soak-" + std::to_string(round) + "-", kBookingsInRound, random());
    all.insert(all.end(), bookings.begin(), bookings.end());
    stop = true;
    faults.join();
    mesh.SetRegionFault("east", "west", {});
    mesh.Install(mesh.Document("round-" + std::to_string(round)));
    watch.Look(mesh);
    const BookingVerdict so = JudgeBookings(mesh, all);
    std::cout << "round " << round << (cut ? " with a cut" : "") << ": " << so.complete << " of "
              << so.bookings << " complete, " << so.twice << " twice, " << so.falseNotRun
              << " false not-run, " << so.lost << " lost, " << watch.StepsBack() << " steps back"
              << std::endl;
  }
  int64_t last = 0;
  WaitUntil(kStartLimit, [&] {
    last = mesh.Install(mesh.Document("last"));
    return last > 0;
  });
  const bool converged = last > 0 && mesh.WaitInForce(last, kStartLimit);
  const bool holds = JudgeBookings(mesh, all).Holds() && watch.StepsBack() == 0 && converged;
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
