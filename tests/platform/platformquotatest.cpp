#define BOOST_TEST_MODULE platformquota
#include "platform/platformmesh.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <vector>

using namespace mimosarun;

static constexpr std::chrono::seconds kWaitLimit{ 15 };
static constexpr double kRate = 10;
static constexpr double kBurst = 5;

/** Returns a configuration with a team that has the key "s3cret". */
static std::string
MakeDocument(int aVersion, const std::string& aLimit)
{
  std::string document = PlatformMesh::Document(aVersion);
  document.pop_back();
  return document + ",\"tenants\":[{\"name\":\"till\",\"apiKeys\":[\"s3cret\"],\"priority\":1," + aLimit +
         "}]}";
}

/** Responses of calls that are sent one after the other through both nodes. */
struct Calls
{
  void SendFor(PlatformMesh& aMesh, std::chrono::milliseconds aTime)
  {
    const Deadline end = SteadyClock::now() + aTime;
    while (SteadyClock::now() < end) {
      if (count % 10 == 0) {
        // Targets without heartbeats count as gone.
        for (const auto& target : aMesh.targets) {
          target->SendHeartbeat("ready");
        }
      }
      const std::string response = aMesh.CallWithHeaders(
        count % 2, "/read/1", "quota-" + std::to_string(count), "Authorization: Bearer s3cret\r\n");
      ++count;
      if (response.starts_with("HTTP/1.1 200")) {
        ranAt.push_back(SteadyClock::now());
      } else if (response.starts_with("HTTP/1.1 429")) {
        ++refused;
        lastRefusal = response;
      } else {
        ++others;
        lastOther = response;
      }
    }
  }

  /** Returns the most calls that ran within five seconds. */
  size_t MostInWindow() const
  {
    size_t most = 0;
    for (size_t first = 0, last = 0; last < ranAt.size(); ++last) {
      while (ranAt[first] <= ranAt[last] - std::chrono::seconds(5)) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  size_t count = 0;
  size_t refused = 0;
  size_t others = 0;
  std::string lastRefusal;
  std::string lastOther;
  std::vector<Deadline> ranAt;
};

// Guards against a limit that doesn't reach the ledger from the platform's document, and against leaders that
// nodes can't find by the names of the platform.
BOOST_AUTO_TEST_CASE(a_team_is_held_to_its_quota)
{
  PlatformMesh mesh("platformquota",
                    { .bounds = ",\"quotaWindow=5s\",\"quotaBurst=0.1\",\"quotaSlack=20\"" });
  BOOST_REQUIRE(mesh.Start());
  BOOST_TEST(mesh.ReplaceConfiguration("r3", MakeDocument(4, "\"ratePerS\":10,\"burst\":5")) == 200);
  BOOST_REQUIRE(WaitUntil(kWaitLimit, [&] {
    return mesh.CallWithHeaders(0, "/read/1", "first", "Authorization: Bearer s3cret\r\n")
      .starts_with("HTTP/1.1 200");
  }));
  const double bound = (kRate * 5 + kBurst) * 1.1 + 20;
  Calls calls;
  calls.SendFor(mesh, std::chrono::seconds(8));
  BOOST_TEST(calls.others == 0, calls.lastOther);
  BOOST_TEST(calls.refused > 0);
  BOOST_TEST(calls.lastRefusal.find("Retry-After: ") != std::string::npos, calls.lastRefusal);
  BOOST_TEST(static_cast<double>(calls.ranAt.size()) >= 0.95 * 8 * kRate);
  BOOST_TEST_MESSAGE(calls.count << " calls, " << calls.ranAt.size() << " ran, most in a window "
                                 << calls.MostInWindow() << ", bound " << bound);

  // Suspended replicas reply to nobody, so the nodes go on at their fallback rates.
  for (const Process& replica : mesh.replicas) {
    replica.Signal(SIGSTOP);
  }
  const size_t ranBefore = calls.ranAt.size();
  calls.SendFor(mesh, std::chrono::seconds(6));
  const size_t ranMeanwhile = calls.ranAt.size() - ranBefore;
  BOOST_TEST_MESSAGE(ranMeanwhile << " ran while control was suspended");
  BOOST_TEST(static_cast<double>(ranMeanwhile) >= 0.6 * 6 * kRate);
  for (const Process& replica : mesh.replicas) {
    replica.Signal(SIGCONT);
  }
  calls.SendFor(mesh, std::chrono::seconds(8));
  BOOST_TEST_MESSAGE("most in a window " << calls.MostInWindow());
  BOOST_TEST(static_cast<double>(calls.MostInWindow()) <= bound);
}
