#include "harness/soakfaults.h"

#include "harness/bookings.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace mimosarun {

static constexpr std::chrono::milliseconds kPlannedStopLimit{ 15000 };
static constexpr std::chrono::milliseconds kSuspensionTime{ 1500 };
/** Repetitions of a request that ends targets, at random entries. */
static constexpr int kRepetitions = 4;

static std::string
RandomNode(Mesh& aMesh, std::mt19937_64& aRandom)
{
  const std::vector<std::string> nodes = aMesh.Nodes();
  return nodes[aRandom() % nodes.size()];
}

static void
StopNodeAsPlanned(Mesh& aMesh, std::mt19937_64& aRandom)
{
  const std::string node = RandomNode(aMesh, aRandom);
  Process& process = aMesh.ProcessOf(node).process;
  process.Signal(SIGTERM);
  int status = 0;
  process.WaitForEnd(kPlannedStopLimit, status);
  aMesh.StartProcess(node);
}

static void
HangUpAll(Mesh& aMesh)
{
  for (const std::string& node : aMesh.Nodes()) {
    aMesh.ProcessOf(node).process.Signal(SIGHUP);
  }
  for (const std::string& replica : aMesh.Replicas()) {
    aMesh.ProcessOf(replica).process.Signal(SIGHUP);
  }
}

static void
ChangeWhileNodesAreSuspended(Mesh& aMesh, std::mt19937_64& aRandom)
{
  const std::string domain = aMesh.ProcessOf(RandomNode(aMesh, aRandom)).failureDomain;
  std::vector<std::string> nodes = aMesh.Nodes(domain);
  std::shuffle(nodes.begin(), nodes.end(), aRandom);
  // One goes on; the relays are among the others, or it has become one.
  nodes.pop_back();
  for (const std::string& node : nodes) {
    aMesh.ProcessOf(node).process.Signal(SIGSTOP);
  }
  aMesh.Install(aMesh.Document("suspended-" + std::to_string(aRandom())));
  std::this_thread::sleep_for(kSuspensionTime);
  for (const std::string& node : nodes) {
    aMesh.ProcessOf(node).process.Signal(SIGCONT);
  }
}

static void
EndTargetsByRequest(Mesh& aMesh, std::mt19937_64& aRandom)
{
  const TestRequest request{ .path = "/books/item?crash=1&number=" + std::to_string(aRandom()) };
  for (int repetition = 0; repetition < kRepetitions; ++repetition) {
    Send(aMesh.ProcessOf(RandomNode(aMesh, aRandom)).callerAddress, request);
  }
  for (const std::string& target : aMesh.Targets()) {
    if (!aMesh.TargetOf(target).process.Running()) {
      aMesh.StartTarget(target);
    }
  }
}

void
InjectSoakFaults(Mesh& aMesh, const std::atomic<bool>& aStop, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  while (!aStop) {
    switch (random() % 12) {
      case 0:
        StopNodeAsPlanned(aMesh, random);
        break;
      case 1:
        HangUpAll(aMesh);
        break;
      case 2:
        ChangeWhileNodesAreSuspended(aMesh, random);
        break;
      case 3:
        EndTargetsByRequest(aMesh, random);
        break;
      default:
        InjectRandomFault(aMesh, random);
        break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 300));
  }
}

} // namespace mimosarun
