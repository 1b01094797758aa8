#define BOOST_TEST_MODULE endedtargets
#include "platform/platformmesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace mimosarun;
using std::chrono::milliseconds;

static constexpr int kReaders = 8;
static constexpr milliseconds kWorkTime{ 100 };
static constexpr milliseconds kHeartbeat{ 500 };
static constexpr milliseconds kDownTime{ 500 };
/** Time in which a target that has started again gets calls, and some of them end. */
static constexpr milliseconds kUpTime{ 1200 };
/** Ends of targets for one request: three, and those under what was sent before its quarantine was known. */
static constexpr int kEndLimit = 6;
/** The entry that callers use; the targets of the other nodes serve "/read/". */
static constexpr size_t kEntry = 1;
static const std::vector<size_t> kBooks{ 0, 2, 3 };

/** A deployment whose targets of "books" end and start again, with callers that all send the same request. */
class Deployment
{
public:
  explicit Deployment(const std::string& aName)
    : mesh(aName,
           { .nodes = { { .service = "books" },
                        { .service = "desk" },
                        { .service = "books" },
                        { .service = "books" } } })
  {
  }

  ~Deployment()
  {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

  bool Start()
  {
    if (!mesh.Start()) {
      return false;
    }
    for (const auto& target : mesh.targets) {
      target->SetWorkTime(kWorkTime);
    }
    m_threads.emplace_back([this] { SendHeartbeats(); });
    for (int reader = 0; reader < kReaders; ++reader) {
      m_threads.emplace_back([this, reader] { Read("reader-" + std::to_string(reader)); });
    }
    // Until the gates know what runs to its end.
    std::this_thread::sleep_for(milliseconds(6000));
    return true;
  }

  /** Ends the target beside a node as a process ends, and starts another one there. */
  void Restart(size_t aNode)
  {
    std::this_thread::sleep_for(kWorkTime / 2);
    const Address heartbeatAddress = mesh.targets[aNode]->HeartbeatAddress();
    mesh.targets[aNode]->StopServing();
    std::this_thread::sleep_for(kDownTime);
    const std::lock_guard lock(m_mutex);
    mesh.targets[aNode] = std::make_unique<PlatformTarget>(
      PlatformTarget::Options{ .id = "i-books-start-" + std::to_string(++m_starts),
                               .service = "books",
                               .address = mesh.TargetAddress(aNode),
                               .heartbeatAddress = heartbeatAddress,
                               .workTime = kWorkTime });
    mesh.targets[aNode]->SendHeartbeat("ready");
  }

  /** Returns how many of the reads that begin within a time are served. */
  double ServedShare(milliseconds aTime)
  {
    m_sent = 0;
    m_served = 0;
    std::this_thread::sleep_for(aTime);
    return m_sent == 0 ? 0 : static_cast<double>(m_served) / m_sent;
  }

  /** Returns the node whose target runs a request that begins with a text, if there is one. */
  std::optional<size_t> NodeThatRan(const std::string& aPrefix)
  {
    const std::lock_guard lock(m_mutex);
    for (const size_t node : kBooks) {
      const auto runs = mesh.targets[node]->RunCounts();
      const auto found = runs.lower_bound(aPrefix);
      if (found != runs.end() && found->first.starts_with(aPrefix)) {
        return node;
      }
    }
    return std::nullopt;
  }

  PlatformMesh mesh;

private:
  void Read(const std::string& aName)
  {
    for (int number = 0; !m_stop; ++number) {
      const std::string id = aName + "-" + std::to_string(number);
      const bool isServed = mesh.Call(kEntry, "/read/list", id).starts_with("HTTP/1.1 200");
      ++m_sent;
      m_served += isServed ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  void SendHeartbeats()
  {
    while (!m_stop) {
      {
        const std::lock_guard lock(m_mutex);
        for (const auto& target : mesh.targets) {
          target->SendHeartbeat("ready");
        }
      }
      std::this_thread::sleep_for(kHeartbeat);
    }
  }

  /** Guards the targets, which are replaced when they end. */
  std::mutex m_mutex;
  int m_starts = 0;
  std::atomic<bool> m_stop{ false };
  std::atomic<int> m_sent{ 0 };
  std::atomic<int> m_served{ 0 };
  std::vector<std::thread> m_threads;
};

// Guards against: after three ends of targets, each by itself, a request that many callers send alike is
// refused (docs/incidents/023).
BOOST_AUTO_TEST_CASE(a_request_that_many_callers_send_is_served_after_targets_have_ended)
{
  Deployment deployment("endedtargets");
  BOOST_REQUIRE(deployment.Start());
  for (const size_t node : { 0, 2, 0, 3, 2 }) {
    deployment.Restart(node);
    std::this_thread::sleep_for(kUpTime);
  }
  BOOST_TEST(deployment.ServedShare(milliseconds(2000)) > 0.95);
}

// Guards against: a request that ends each target is served on, or takes what runs beside it into quarantine.
BOOST_AUTO_TEST_CASE(a_request_that_ends_targets_is_refused_and_those_beside_it_are_served)
{
  Deployment deployment("endingrequest");
  BOOST_REQUIRE(deployment.Start());
  std::atomic<bool> isDone{ false };
  std::atomic<int> ends{ 0 };
  std::thread platform([&] {
    while (!isDone) {
      if (const auto node = deployment.NodeThatRan("kill-")) {
        ++ends;
        deployment.Restart(*node);
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  });
  std::string last;
  for (int number = 0; number < 8; ++number) {
    last = deployment.mesh.Call(0, "/read/kill", "kill-" + std::to_string(number));
    std::this_thread::sleep_for(milliseconds(700));
  }
  isDone = true;
  platform.join();
  BOOST_TEST(last.starts_with("HTTP/1.1 503"));
  BOOST_TEST(ends >= 3);
  BOOST_TEST(ends <= kEndLimit);
  BOOST_TEST(deployment.ServedShare(milliseconds(2000)) > 0.95);
}
