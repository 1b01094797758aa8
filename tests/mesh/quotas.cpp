#define BOOST_TEST_MODULE quotas
#include "harness/running.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr double kRate = 40;
static constexpr double kBurst = 20;
/** The default tolerance of the settings. */
static constexpr double kToleratedShare = 0.1;
static constexpr double kToleratedRequests = 20;

/** A deployment with a limited team, "till", and one without a limit, "desk". */
static RunningMesh&
SharedMesh()
{
  static RunningMesh mesh(SmallMesh("quotas"));
  return mesh;
}

static void
InstallLimit(double aRate, double aBurst)
{
  nlohmann::json document = nlohmann::json::parse(SharedMesh().Document());
  document["teams"]["till"] = {
    { "keys", { "till-key" } }, { "priority", 1 }, { "requestsPerSecond", aRate }, { "burst", aBurst }
  };
  document["teams"]["desk"] = { { "keys", { "desk-key" } }, { "priority", 0 } };
  const int64_t version = SharedMesh().InstallWithRetries(document.dump());
  BOOST_REQUIRE(SharedMesh().WaitInForce(version, kInForceLimit));
}

/** Requests of a team, with the time of the response in milliseconds and its status. */
struct Sent
{
  std::mutex mutex;
  std::vector<std::pair<int64_t, TestResponse>> responses;

  std::vector<int64_t> TimesOf(int aStatus) const
  {
    std::vector<int64_t> times;
    for (const auto& [time, response] : responses) {
      if (response.status == aStatus) {
        times.push_back(time);
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }
};

/** Sends requests at a rate through each node for a time. */
static void
SendFor(Sent& aSent, const std::string& aKey, double aPerSecondAndNode, milliseconds aTime)
{
  const Deadline start = SteadyClock::now();
  const auto interval =
    std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(1 / aPerSecondAndNode));
  std::vector<std::thread> threads;
  for (const std::string& node : SharedMesh().Nodes()) {
    threads.emplace_back([&, node] {
      TestClient client;
      for (Deadline next = start; next < start + aTime; next += interval) {
        std::this_thread::sleep_until(next);
        const TestResponse response =
          client.Send(SharedMesh().ProcessOf(node).callerAddress,
                      { .path = "/books/item", .headers = { "Authorization: Bearer " + aKey } });
        const auto time = SteadyClock::now().time_since_epoch();
        const std::lock_guard lock(aSent.mutex);
        aSent.responses.emplace_back(std::chrono::duration_cast<milliseconds>(time).count(), response);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

static void
CheckBound(const std::vector<int64_t>& aTimes, double aRate, double aBurst)
{
  constexpr int64_t kWindow = 5000;
  const double bound = (aRate * kWindow / 1000 + aBurst) * (1 + kToleratedShare) + kToleratedRequests;
  size_t first = 0;
  double most = 0;
  for (size_t last = 0; last < aTimes.size(); ++last) {
    while (aTimes[first] <= aTimes[last] - kWindow) {
      ++first;
    }
    most = std::max(most, static_cast<double>(last - first + 1));
  }
  BOOST_TEST_MESSAGE("most requests in a window " << most << ", bound " << bound);
  BOOST_TEST(most <= bound);
}

// Guards against requests refused below the limit, and against teams without a limit that are refused.
BOOST_AUTO_TEST_CASE(requests_below_the_limit_run)
{
  InstallLimit(kRate, kBurst);
  const auto nodes = static_cast<double>(SharedMesh().Nodes().size());
  Sent limited;
  Sent unlimited;
  std::thread other([&] { SendFor(unlimited, "desk-key", 20, seconds(4)); });
  SendFor(limited, "till-key", 0.6 * kRate / nodes, seconds(4));
  other.join();
  BOOST_TEST(limited.TimesOf(429).empty());
  BOOST_TEST(limited.TimesOf(200).size() == limited.responses.size());
  BOOST_TEST(unlimited.TimesOf(200).size() == unlimited.responses.size());
}

// Guards against a limit that each node applies for itself, and against a refusal that doesn't say why.
BOOST_AUTO_TEST_CASE(requests_beyond_the_limit_of_all_nodes_are_refused)
{
  InstallLimit(kRate, kBurst);
  const auto nodes = static_cast<double>(SharedMesh().Nodes().size());
  Sent sent;
  SendFor(sent, "till-key", 5 * kRate / nodes, seconds(8));
  const std::vector<int64_t> run = sent.TimesOf(200);
  BOOST_TEST(run.size() + sent.TimesOf(429).size() == sent.responses.size());
  CheckBound(run, kRate, kBurst);
  BOOST_TEST_MESSAGE("use of the limit " << static_cast<double>(run.size()) / (8 * kRate + kBurst));
  BOOST_TEST(static_cast<double>(run.size()) >= 0.95 * 8 * kRate);
  const auto refused = std::find_if(sent.responses.begin(), sent.responses.end(), [](const auto& aSent) {
    return aSent.second.status == 429;
  });
  BOOST_REQUIRE((refused != sent.responses.end()));
  BOOST_TEST(refused->second.outcome == "not-run");
  BOOST_TEST(!refused->second.retryAfter.empty());
  BOOST_TEST(refused->second.body.find("quota of team 'till'") != std::string::npos, refused->second.body);
}

// Guards against operators who can't see who uses how much, and why a call was refused.
BOOST_AUTO_TEST_CASE(operators_see_the_use_and_the_reason)
{
  InstallLimit(1, 1);
  const std::string node = SharedMesh().Nodes().front();
  TestResponse refused;
  BOOST_REQUIRE(WaitUntil(seconds(5), [&] {
    refused = Send(SharedMesh().ProcessOf(node).callerAddress,
                   { .path = "/books/item", .headers = { "Authorization: Bearer till-key" } });
    return refused.status == 429;
  }));
  const Answer explained = SharedMesh().Command("explain call " + refused.callId, node);
  BOOST_TEST(explained.message.find("the quota of team 'till' is used up") != std::string::npos,
             explained.message);
  const std::string leader = SharedMesh().LeaderOf("configuration");
  const Answer teams = SharedMesh().Command("show teams where team = till", leader);
  BOOST_REQUIRE(teams.rows.size() == 1);
  BOOST_TEST(teams.rows.front().at(2) == "1.0");
  BOOST_TEST(teams.rows.front().at(8) != "0", ToTable(teams));
  const TestResponse metrics = Send(SharedMesh().ProcessOf(node).operatorAddress, { .path = "/metrics" });
  BOOST_TEST(metrics.body.find("mimosarun_quota_requests_total{decision=\"refused\",team=\"till\"}") !=
             std::string::npos);
}

// Guards against a new leader that grants too much, and against nodes that refuse everything meanwhile.
BOOST_AUTO_TEST_CASE(the_bound_holds_when_the_leader_is_killed)
{
  InstallLimit(kRate, kBurst);
  const auto nodes = static_cast<double>(SharedMesh().Nodes().size());
  Sent sent;
  std::thread load([&] { SendFor(sent, "till-key", 5 * kRate / nodes, seconds(14)); });
  std::this_thread::sleep_for(seconds(4));
  const std::string leader = SharedMesh().LeaderOf("configuration");
  SharedMesh().ProcessOf(leader).process.Kill();
  load.join();
  SharedMesh().StartProcess(leader);
  const std::vector<int64_t> run = sent.TimesOf(200);
  CheckBound(run, kRate, kBurst);
  BOOST_TEST_MESSAGE("use of the limit " << static_cast<double>(run.size()) / (14 * kRate));
  BOOST_TEST(static_cast<double>(run.size()) >= 0.7 * 14 * kRate);
}

// Guards against a region that is cut off and goes on at its full rate besides the other.
BOOST_AUTO_TEST_CASE(the_bound_holds_when_the_regions_are_apart)
{
  InstallLimit(kRate, kBurst);
  const auto nodes = static_cast<double>(SharedMesh().Nodes().size());
  Sent sent;
  std::thread load([&] { SendFor(sent, "till-key", 5 * kRate / nodes, seconds(16)); });
  std::this_thread::sleep_for(seconds(4));
  SharedMesh().SetRegionFault("east", "west", { .dropAll = true });
  load.join();
  SharedMesh().SetRegionFault("east", "west", {});
  CheckBound(sent.TimesOf(200), kRate, kBurst);
}
