// Case 11: while no control replica serves, settings name no seeds; each node ends, again after each start.

#include "deployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

using namespace review;

/** The operator's list shows what serves this long ago. */
static constexpr Millis kSeedLag{ 3000 };
/** All machines of the core are without power for this long. */
static constexpr Millis kDark{ 4500 };
static constexpr Millis kRestartDelay{ 500 };
static constexpr int kEndsAllowed = 2;
static constexpr Millis kTimeout{ 1500 };

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Deployment deployment(
    { .services = { "banco", "cassa", "cassa", "avviso", "avviso", "registro" }, .work = Millis(100) },
    record);
  const std::string configuration = MakeConfiguration(
    1,
    { "banco", "cassa", "avviso", "registro" },
    { { "tickets", "/ticket/", "safe", "banco" }, { "charges", "/charge/", "unsafe", "cassa" } });
  if (!deployment.Start(configuration)) {
    return 2;
  }
  std::atomic<bool> stop{ false };
  std::atomic<int> number{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> threads;
  for (size_t node = 0; node < deployment.Nodes(); ++node) {
    threads.emplace_back([&, node] {
      while (!stop) {
        const std::string id = "charge-" + std::to_string(++number);
        const auto answer = Exchange(deployment.Outbound(node),
                                     ConsumerRequest("POST", "/charge/" + id, id, kTimeout, "amount=12"),
                                     kTimeout + Millis(500));
        served += answer && answer->Status() == 200 ? 1 : 0;
        std::this_thread::sleep_for(Millis(100));
      }
    });
  }
  // The platform starts each process again that has ended, with the settings of that moment.
  std::vector<int> ends(deployment.Nodes(), 0);
  const auto watchUntil = [&](Time aUntil) {
    while (Clock::now() < aUntil) {
      for (size_t node = 0; node < deployment.Nodes(); ++node) {
        if (!deployment.IsNodeRunning(node)) {
          ++ends[node];
          std::this_thread::sleep_for(kRestartDelay / static_cast<int>(deployment.Nodes()));
          deployment.StartNode(node);
        }
      }
      std::this_thread::sleep_for(Millis(10));
    }
  };
  const auto changeAllSettings = [&] {
    for (size_t node = 0; node < deployment.Nodes(); ++node) {
      if (deployment.IsNodeRunning(node)) {
        // Half of the nodes get a SIGHUP; the others find the file changed.
        deployment.ChangeSettings(node, node % 2 == 0);
      }
    }
  };

  const Time begin = Clock::now();
  watchUntil(begin + Millis(1000));
  const Time darkAt = Clock::now();
  if (HasTrouble()) {
    for (size_t replica = 0; replica < 3; ++replica) {
      deployment.KillReplica(replica);
    }
  }
  watchUntil(darkAt + kSeedLag);
  deployment.SetReplicasListed(!HasTrouble());
  changeAllSettings();
  watchUntil(darkAt + kDark);
  if (HasTrouble()) {
    for (size_t replica = 0; replica < 3; ++replica) {
      deployment.StartReplica(replica);
    }
  }
  watchUntil(darkAt + kDark + kSeedLag);
  deployment.SetReplicasListed(true);
  changeAllSettings();
  watchUntil(darkAt + kDark + kSeedLag + Millis(8000));
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  int broken = 0;
  for (size_t node = 0; node < deployment.Nodes(); ++node) {
    record.Write("node-" + std::to_string(node) + " ended by itself " + std::to_string(ends[node]) +
                 " times");
    broken += ends[node] > kEndsAllowed ? 1 : 0;
  }
  record.Write("consumers: " + std::to_string(served) + " of " + std::to_string(number) + " charges served");
  return Conclude(record,
                  broken >= 2,
                  std::to_string(broken) + " of " + std::to_string(deployment.Nodes()) +
                    " nodes ended by themselves three times or more");
}
