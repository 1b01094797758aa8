#define BOOST_TEST_MODULE rollouts
#include "harness/testclient.h"
#include "platform/platformmesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;

static constexpr milliseconds kDuration{ 12000 };
static constexpr milliseconds kRollbackLimit{ 5000 };
static constexpr size_t kBadResponsesUntilLimit = 50;
static constexpr double kExposureShare = 0.1;
static constexpr size_t kExposureSlack = 50;
/** Operators pay for a target that gets no request for this long. */
static constexpr milliseconds kLongestIdleTime{ 4000 };
static constexpr int kCallers = 16;
static constexpr milliseconds kCallInterval{ 100 };
static const std::vector<size_t> kFirstGroup{ 0, 2, 3 };
static const std::vector<size_t> kSecondGroup{ 4, 5, 6 };

/** A deployment whose service "books" has three targets of version v1 and three of v2. */
static std::vector<PlatformNode>
Nodes()
{
  return { { .service = "books" },
           { .service = "desk" },
           { .service = "books" },
           { .service = "books" },
           { .service = "books", .version = "v2" },
           { .service = "books", .version = "v2" },
           { .service = "books", .version = "v2" } };
}

/** A configuration with two routes to "books" that may be repeated. */
static std::string
Document()
{
  return R"({"version":"r4","routes":[
    {"name":"read","host":"","pathPrefix":"/read/","kind":"safe","timeout":"2s","targetLatency":"1s",
     "priority":2,"service":"books","maxAttempts":2},
    {"name":"list","host":"","pathPrefix":"/list/","kind":"safe","timeout":"2s","targetLatency":"1s",
     "priority":2,"service":"books","maxAttempts":2},
    {"name":"book","host":"","pathPrefix":"/book/","kind":"unsafe","timeout":"2s","targetLatency":"1s",
     "priority":1,"service":"desk","maxAttempts":2}],
    "services":[{"name":"books","healthPath":"/healthz","maxConnections":20},
                {"name":"desk","healthPath":"/healthz","maxConnections":20}]})";
}

/** Sends the heartbeats of all targets until it is destroyed. */
class Heartbeats
{
public:
  explicit Heartbeats(PlatformMesh& aMesh)
    : m_thread([this, &aMesh] {
      while (!m_stop) {
        for (const auto& target : aMesh.targets) {
          target->SendHeartbeat("ready");
        }
        std::this_thread::sleep_for(milliseconds(700));
      }
    })
  {
  }

  ~Heartbeats()
  {
    m_stop = true;
    m_thread.join();
  }

private:
  std::atomic<bool> m_stop{ false };
  std::thread m_thread;
};

/** Callers that send requests at a steady rate to all entries. */
class SteadyLoad
{
public:
  explicit SteadyLoad(PlatformMesh& aMesh)
  {
    for (int caller = 0; caller < kCallers; ++caller) {
      const Address entry = aMesh.EntryAddress(static_cast<size_t>(caller) % aMesh.nodes.size());
      m_threads.emplace_back([this, entry, caller] { Run(entry, caller); });
    }
  }

  ~SteadyLoad() { Stop(); }

  void Stop()
  {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  size_t Sent() const { return m_sent; }
  size_t Failed() const { return m_failed; }

private:
  void Run(const Address& aEntry, int aCaller)
  {
    TestClient client;
    Deadline next = SteadyClock::now() + kCallInterval * aCaller / kCallers;
    for (int call = 0; !m_stop; ++call) {
      std::this_thread::sleep_until(next);
      next = std::max(next + kCallInterval, SteadyClock::now());
      const std::string id = "call-" + std::to_string(aCaller) + "-" + std::to_string(call);
      const TestResponse response = client.Send(
        aEntry, { .path = call % 2 == 0 ? "/read/1" : "/list/1", .headers = { "Request-Id: " + id } });
      ++m_sent;
      if (response.status != 200 || !response.transferComplete) {
        ++m_failed;
        BOOST_TEST_MESSAGE("failed call: status " << response.status << " " << response.body);
      }
    }
  }

  std::atomic<bool> m_stop{ false };
  std::atomic<size_t> m_sent{ 0 };
  std::atomic<size_t> m_failed{ 0 };
  std::vector<std::thread> m_threads;
};

static std::string
RolloutStateOf(PlatformMesh& aMesh)
{
  for (size_t i = 0; i < aMesh.replicas.size(); ++i) {
    if (aMesh.replicas[i].Running()) {
      if (const std::string state = aMesh.RolloutState("books", i); !state.empty()) {
        return state;
      }
    }
  }
  return {};
}

/** What a roll-out did. */
struct RolloutResult
{
  std::string state;
  milliseconds untilEnd{ 0 };
  size_t requests = 0;
  size_t candidateRequests = 0;
  size_t badResponses = 0;
  /** Time from the 50th bad response of the new version to its last request; zero without 50 of them. */
  milliseconds afterLimit{ 0 };
  milliseconds longestIdleTime{ 0 };
};

/** The requests that ran on the targets of a group since a time, in their order. */
static std::vector<TargetRun>
RunsSince(const PlatformMesh& aMesh, const std::vector<size_t>& aGroup, Deadline aStart)
{
  std::vector<TargetRun> runs;
  for (const size_t index : aGroup) {
    const std::vector<TargetRun> ofTarget = aMesh.targets[index]->Runs();
    std::copy_if(ofTarget.begin(), ofTarget.end(), std::back_inserter(runs), [aStart](const TargetRun& aRun) {
      return aRun.at >= aStart;
    });
  }
  std::sort(
    runs.begin(), runs.end(), [](const auto& aLeft, const auto& aRight) { return aLeft.at < aRight.at; });
  return runs;
}

static milliseconds
LongestIdleTime(const PlatformMesh& aMesh, const std::vector<size_t>& aGroup, Deadline aStart, Deadline aEnd)
{
  Deadline::duration longest{ 0 };
  for (const size_t index : aGroup) {
    Deadline last = aStart;
    for (const TargetRun& run : aMesh.targets[index]->Runs()) {
      if (run.at >= aStart && run.at < aEnd) {
        longest = std::max(longest, run.at - last);
        last = run.at;
      }
    }
    longest = std::max(longest, aEnd - last);
  }
  return std::chrono::duration_cast<milliseconds>(longest);
}

/** Orders a roll-out and waits for its end; calls aEachRound again and again meanwhile. */
static RolloutResult
RunRollout(
  PlatformMesh& aMesh,
  const SteadyLoad& aLoad,
  const std::vector<size_t>& aCandidates,
  const std::function<void(Deadline)>& aEachRound = [](Deadline) {})
{
  const std::string version = aMesh.targets[aCandidates.front()]->Version();
  const size_t sentBefore = aLoad.Sent();
  const Deadline start = SteadyClock::now();
  const bool ordered =
    WaitUntil(milliseconds(5000), [&] { return aMesh.StartRollout("books", version, kDuration) == 200; });
  BOOST_REQUIRE(ordered);
  RolloutResult result;
  WaitUntil(kDuration + milliseconds(6000), [&] {
    aEachRound(start);
    result.state = RolloutStateOf(aMesh);
    return result.state == "completed" || result.state == "rolled_back";
  });
  const Deadline end = SteadyClock::now();
  result.untilEnd = std::chrono::duration_cast<milliseconds>(end - start);
  result.longestIdleTime = LongestIdleTime(aMesh, aCandidates, start, end);
  std::this_thread::sleep_until(std::max(end + milliseconds(1000), start + kDuration));
  result.requests = aLoad.Sent() - sentBefore;
  const std::vector<TargetRun> runs = RunsSince(aMesh, aCandidates, start);
  result.candidateRequests = runs.size();
  Deadline limitReached{};
  for (const TargetRun& run : runs) {
    result.badResponses += run.isBad ? 1 : 0;
    if (run.isBad && result.badResponses == kBadResponsesUntilLimit) {
      limitReached = run.at;
    }
  }
  if (limitReached != Deadline{}) {
    result.afterLimit = std::chrono::duration_cast<milliseconds>(runs.back().at - limitReached);
  }
  BOOST_TEST_MESSAGE(result.state << " after " << result.untilEnd.count() << " ms, "
                                  << result.candidateRequests << " of " << result.requests << " requests, "
                                  << result.badResponses << " bad, last one " << result.afterLimit.count()
                                  << " ms after the 50th, longest idle time "
                                  << result.longestIdleTime.count() << " ms");
  return result;
}

/** A running deployment with load on all entries. */
struct Fixture
{
  Fixture()
    : mesh("rollouts", { .nodes = Nodes() })
  {
    BOOST_REQUIRE(mesh.Start());
    BOOST_REQUIRE(mesh.ReplaceConfiguration("r3", Document()) == 200);
    heartbeats.emplace(mesh);
    std::this_thread::sleep_for(milliseconds(2500));
    load.emplace(mesh);
    std::this_thread::sleep_for(milliseconds(500));
  }

  PlatformMesh mesh;
  std::optional<Heartbeats> heartbeats;
  std::optional<SteadyLoad> load;
};

/** Stops targets at once, as the platform does after a completed roll-out. */
static void
StopServing(PlatformMesh& aMesh, const std::vector<size_t>& aGroup)
{
  for (const size_t index : aGroup) {
    aMesh.targets[index]->StopServing();
  }
}

// Guards against requests that are lost by the switch, or that run on a version before it is ordered.
BOOST_FIXTURE_TEST_CASE(a_good_version_completes_without_a_lost_request, Fixture)
{
  BOOST_TEST(RunsSince(mesh, kSecondGroup, {}).empty());
  const RolloutResult result = RunRollout(mesh, *load, kSecondGroup);
  StopServing(mesh, kFirstGroup);
  std::this_thread::sleep_for(milliseconds(1500));
  load->Stop();
  BOOST_TEST(result.state == "completed");
  BOOST_TEST((result.untilEnd <= kDuration));
  BOOST_TEST((result.longestIdleTime < kLongestIdleTime));
  BOOST_TEST(load->Failed() == 0u);
  BOOST_TEST(load->Sent() > 1000u);
}

BOOST_FIXTURE_TEST_CASE(a_rollout_completes_although_the_leader_is_killed_amid_the_ramp, Fixture)
{
  bool isKilled = false;
  const RolloutResult result = RunRollout(mesh, *load, kSecondGroup, [&](Deadline) {
    const Deadline recently = SteadyClock::now() - milliseconds(500);
    const size_t newRuns = RunsSince(mesh, kSecondGroup, recently).size();
    const size_t oldRuns = RunsSince(mesh, kFirstGroup, recently).size();
    if (!isKilled && newRuns * 5 > oldRuns) {
      mesh.replicas[mesh.FindLeader().value()].Kill();
      isKilled = true;
    }
  });
  StopServing(mesh, kFirstGroup);
  std::this_thread::sleep_for(milliseconds(1500));
  load->Stop();
  BOOST_TEST(isKilled);
  BOOST_TEST(result.state == "completed");
  BOOST_TEST(load->Failed() == 0u);
}

static void
CheckExposure(const RolloutResult& aResult)
{
  const double limit =
    kExposureShare * static_cast<double>(aResult.requests) + static_cast<double>(kExposureSlack);
  BOOST_TEST(static_cast<double>(aResult.candidateRequests) <= limit);
  BOOST_TEST((aResult.afterLimit <= kRollbackLimit));
}

BOOST_FIXTURE_TEST_CASE(a_version_that_fails_is_rolled_back, Fixture)
{
  for (const size_t index : kSecondGroup) {
    mesh.targets[index]->SetBadBehaviour({ .permille = 400 });
  }
  const RolloutResult result = RunRollout(mesh, *load, kSecondGroup);
  BOOST_TEST(result.state == "rolled_back");
  CheckExposure(result);
  const Deadline rolledBack = SteadyClock::now();
  std::this_thread::sleep_for(milliseconds(1000));
  BOOST_TEST(RunsSince(mesh, kSecondGroup, rolledBack).empty());
}

// --- table of verdicts -----------------------------------------------------------------------------------

/** A kind of version, by the behaviour of the new targets and of the old ones. */
struct Scenario
{
  std::string name;
  BadBehaviour candidate;
  BadBehaviour old = {};
  std::string expectedState = "rolled_back";
  /** Time from the order until the behaviours begin. */
  milliseconds after{ 0 };
};

static const std::vector<Scenario> kScenarios = {
  { .name = "good", .candidate = {}, .expectedState = "completed" },
  { .name = "fails at once", .candidate = { .permille = 300 } },
  { .name = "fails later", .candidate = { .permille = 300 }, .after = kDuration / 2 },
  { .name = "fails under load", .candidate = { .permille = 500, .minimumOtherCalls = 1 } },
  { .name = "fails on a route", .candidate = { .permille = 400, .pathPrefix = "/list/" } },
  { .name = "slow", .candidate = { .permille = 500, .slowFactor = 5 } },
  { .name = "good beside a common fault",
    .candidate = { .permille = 150 },
    .old = { .permille = 150 },
    .expectedState = "completed" },
};

static int
RunsOfTable()
{
  const char* runs = std::getenv("ROLLOUT_TABLE_RUNS");
  return runs == nullptr ? 1 : std::atoi(runs);
}

// Prints a table of verdicts; run by hand with --run_test=table_of_verdicts, about 15 s for each line.
BOOST_FIXTURE_TEST_CASE(table_of_verdicts, Fixture, *boost::unit_test::disabled())
{
  std::vector<size_t> candidates = kSecondGroup;
  std::vector<size_t> old = kFirstGroup;
  int version = 2;
  for (int run = 0; run < RunsOfTable(); ++run) {
    for (const Scenario& scenario : kScenarios) {
      for (const size_t index : candidates) {
        mesh.targets[index]->SetBadBehaviour({});
        mesh.targets[index]->BeginVersion("v" + std::to_string(version));
      }
      ++version;
      std::this_thread::sleep_for(milliseconds(2500));
      const Deadline from = SteadyClock::now() + scenario.after;
      const auto setBehaviour = [&](const std::vector<size_t>& aGroup, BadBehaviour aBad) {
        aBad.from = from;
        for (const size_t index : aGroup) {
          mesh.targets[index]->SetBadBehaviour(aBad);
        }
      };
      setBehaviour(candidates, scenario.candidate);
      setBehaviour(old, scenario.old);
      const RolloutResult result = RunRollout(mesh, *load, candidates);
      setBehaviour(old, {});
      std::printf("%-28s %-12s %s %6ld ms, %5.2f %% of requests, %4zu bad, %6ld ms after the 50th\n",
                  scenario.name.c_str(),
                  result.state.c_str(),
                  result.state == scenario.expectedState ? "  " : "!!",
                  static_cast<long>(result.untilEnd.count()),
                  100.0 * static_cast<double>(result.candidateRequests) /
                    static_cast<double>(std::max<size_t>(1, result.requests)),
                  result.badResponses,
                  static_cast<long>(result.afterLimit.count()));
      std::fflush(stdout);
      if (result.state == "completed") {
        std::swap(candidates, old);
      }
    }
  }
}
