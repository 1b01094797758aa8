#include "harness/soakfaults.h"

#include "harness/bookings.h"
#include "harness/rawserver.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <set>
#include <thread>

namespace mimosarun {

static constexpr std::chrono::milliseconds kPlannedStopLimit{ 15000 };
/** Longer than nodes wait for their calls. */
static constexpr std::chrono::milliseconds kLongestLeave{ 40000 };
/** Time after its start in which a node isn't stopped, so that callers have connections to it. */
static constexpr std::chrono::milliseconds kTimeBetweenStops{ 2000 };
static constexpr std::chrono::milliseconds kLeaveCheck{ 5 };
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

/** Stops nodes as planned and starts those that have ended. */
class PlannedStops
{
public:
  explicit PlannedStops(Mesh& aMesh)
    : m_mesh(aMesh)
  {
  }

  /** Sends SIGTERM to a random node, but never to more than half of the nodes at once. */
  void StopOne(std::mt19937_64& aRandom)
  {
    const auto now = SteadyClock::now();
    std::vector<std::string> nodes = m_mesh.Nodes();
    if (2 * m_leaving.size() >= nodes.size()) {
      return;
    }
    std::shuffle(nodes.begin(), nodes.end(), aRandom);
    const auto node = std::find_if(nodes.begin(), nodes.end(), [&](const std::string& aNode) {
      return !m_leaving.contains(aNode) && !m_starting.contains(aNode) &&
             (!m_startedAt.contains(aNode) || now >= m_startedAt[aNode] + kTimeBetweenStops);
    });
    if (node != nodes.end()) {
      m_mesh.ProcessOf(*node).process.Signal(SIGTERM);
      m_leaving[*node] = now;
      ++m_stops;
      m_mostAtOnce = std::max(m_mostAtOnce, m_leaving.size());
    }
  }

  /** Starts the nodes that have ended, and those that have not ended in time; lets them be reached. */
  void Restart()
  {
    const auto now = SteadyClock::now();
    std::erase_if(m_leaving, [&](const auto& aLeaving) {
      const auto& [node, since] = aLeaving;
      const bool isLate = now >= since + kLongestLeave;
      if (m_mesh.ProcessOf(node).process.Running() && !isLate) {
        return false;
      }
      if (isLate) {
        std::cout << "  " << node << " did not end in time\n";
      }
      m_mesh.Proxy().EndHost(m_mesh.ProcessOf(node).gateAddress);
      m_mesh.StartProcess(node);
      m_starting.insert(node);
      m_startedAt[node] = now;
      return true;
    });
    std::erase_if(m_starting, [&](const std::string& aNode) {
      // Until the gate listens, the proxy must refuse connections like the kernel of its VM.
      const Address& gate = m_mesh.ProcessOf(aNode).gateAddress;
      return RawConnection(gate).IsConnected() && m_mesh.Proxy().BeginHost(gate);
    });
  }

  bool AnyAway() const { return !m_leaving.empty() || !m_starting.empty(); }
  int Stops() const { return m_stops; }
  size_t MostAtOnce() const { return m_mostAtOnce; }

private:
  Mesh& m_mesh;
  std::map<std::string, Deadline> m_leaving;
  /** Those that have been started and don't listen yet. */
  std::set<std::string> m_starting;
  std::map<std::string, Deadline> m_startedAt;
  int m_stops = 0;
  size_t m_mostAtOnce = 0;
};

void
InjectPlannedStops(Mesh& aMesh, const std::atomic<bool>& aStop, uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  PlannedStops stops(aMesh);
  Deadline next = SteadyClock::now() + kTimeBetweenStops / 2;
  while (!aStop || stops.AnyAway()) {
    if (!aStop && SteadyClock::now() >= next) {
      if (random() % 10 == 0) {
        HangUpAll(aMesh);
      } else {
        stops.StopOne(random);
      }
      // Mostly while the one before is leaving, sometimes after its end.
      const uint64_t longestGap = random() % 4 == 0 ? 2500 : 600;
      next = SteadyClock::now() + std::chrono::milliseconds(random() % longestGap);
    }
    stops.Restart();
    std::this_thread::sleep_for(kLeaveCheck);
  }
  std::cout << "  " << stops.Stops() << " planned stops, up to " << stops.MostAtOnce() << " at once\n";
}

} // namespace mimosarun
