#define BOOST_TEST_MODULE leavingleader
#include "platform/platformmesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <string>
#include <thread>

using namespace mimosarun;

static constexpr std::chrono::milliseconds kAttemptPause{ 20 };
/** Without an election timeout, and with reserve for a busy machine. */
static constexpr std::chrono::milliseconds kLongestOrder{ 800 };
static constexpr std::chrono::milliseconds kTimeBeforeStop{ 500 };
static constexpr std::chrono::milliseconds kTimeAfterStop{ 3500 };
static constexpr std::chrono::milliseconds kExitLimit{ 2000 };
static constexpr int kRounds = 4;
static constexpr int kFirstVersion = 4;

/** Sends changes one after the other, each unchanged until it is acknowledged, as operators do. */
class OrderSeries
{
public:
  explicit OrderSeries(PlatformMesh& aMesh)
    : m_mesh(aMesh)
  {
  }

  /** Sends to these replicas in turn until it is stopped. */
  void Run(const std::vector<size_t>& aReplicas)
  {
    while (!m_stop) {
      const Deadline startedAt = SteadyClock::now();
      const std::string base = "r" + std::to_string(m_version - 1);
      for (size_t attempt = 0; !SendOnce(base, aReplicas[attempt % aReplicas.size()]); ++attempt) {
        std::this_thread::sleep_for(kAttemptPause);
      }
      m_longest = std::max(
        m_longest, std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - startedAt));
      ++m_version;
    }
  }

  void Stop() { m_stop = true; }
  void Restart() { m_stop = false; }
  int Refused() const { return m_refused; }
  int Version() const { return m_version; }
  std::chrono::milliseconds Longest() const { return m_longest; }

private:
  /** Returns whether the change was acknowledged, or refused for good. */
  bool SendOnce(const std::string& aBase, size_t aReplica)
  {
    if (!m_mesh.replicas[aReplica].Running()) {
      return false;
    }
    const int status = m_mesh.ReplaceConfiguration(aBase, PlatformMesh::Document(m_version), aReplica);
    const bool isRefused = status >= 400 && status < 500;
    m_refused += isRefused ? 1 : 0;
    return status == 200 || isRefused;
  }

  PlatformMesh& m_mesh;
  std::atomic<bool> m_stop{ false };
  int m_version = kFirstVersion;
  int m_refused = 0;
  std::chrono::milliseconds m_longest{ 0 };
};

// Guards against: an order that a leaving leader has taken is refused when it is sent again, and orders wait
// for an election timeout each time that the leader leaves.
BOOST_AUTO_TEST_CASE(orders_are_acknowledged_soon_while_the_leader_leaves)
{
  PlatformMesh mesh("leavingleader");
  BOOST_REQUIRE(mesh.Start());
  OrderSeries series(mesh);
  for (int round = 0; round < kRounds; ++round) {
    const size_t leader = mesh.FindLeader().value();
    // One of the two sends through the leader while it leaves.
    const size_t other = leader == 0 ? 1 : 0;
    series.Restart();
    std::thread sender([&] { series.Run({ leader, other }); });
    std::this_thread::sleep_for(kTimeBeforeStop);
    mesh.replicas[leader].Signal(SIGTERM);
    int status = -1;
    BOOST_TEST(mesh.replicas[leader].WaitForEnd(kExitLimit, status));
    BOOST_TEST(status == 0);
    std::this_thread::sleep_for(kTimeAfterStop);
    series.Stop();
    sender.join();
    mesh.StartReplica(leader);
    std::this_thread::sleep_for(kTimeBeforeStop);
  }
  BOOST_TEST(series.Refused() == 0);
  BOOST_TEST(series.Version() > 2 * kRounds * kFirstVersion);
  BOOST_TEST((series.Longest() < kLongestOrder), "longest order: " << series.Longest().count() << " ms");
  BOOST_TEST_MESSAGE("longest order: " << series.Longest().count() << " ms");
}
