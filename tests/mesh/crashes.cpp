#define BOOST_TEST_MODULE crashes
#include "harness/running.h"

#include <algorithm>
#include <thread>

using namespace mimosarun;

/** Time in which all nodes must learn that a request has ended three targets. */
static constexpr std::chrono::milliseconds kStableWindow{ 3000 };
/** Retries of such a request that may still reach targets after that time. */
static constexpr size_t kAllowedRetries = 3;
static constexpr size_t kCrashLimit = 3;
/** Enough for each event loop of a gate to keep a connection to the target. */
static constexpr int kWarmUpCalls = 20;
/** A process closes its connections before its parent can see that it has ended. */
static constexpr std::chrono::milliseconds kEndLimit{ 1000 };

static size_t
EndedTargets(Mesh& aMesh)
{
  const std::vector<std::string> targets = aMesh.Targets();
  return static_cast<size_t>(std::count_if(targets.begin(), targets.end(), [&](const std::string& aTarget) {
    return !aMesh.TargetOf(aTarget).process.Running();
  }));
}

static void
SendThroughEachEntry(Mesh& aMesh, const TestRequest& aRequest)
{
  for (const std::string& node : aMesh.Nodes()) {
    Send(aMesh.ProcessOf(node).callerAddress, aRequest);
  }
}

static size_t
CountServed(Mesh& aMesh, const TestRequest& aRequest)
{
  size_t served = 0;
  for (const std::string& node : aMesh.Nodes()) {
    served += Send(aMesh.ProcessOf(node).callerAddress, aRequest).status == 200 ? 1 : 0;
  }
  return served;
}

// One request ended target after target, as callers repeated it at other entries.
BOOST_AUTO_TEST_CASE(a_request_that_ended_three_targets_reaches_no_other_one)
{
  MeshOptions options = SmallMesh("deadly");
  options.services = { "books" };
  options.targetsPerDomain = 8;
  RunningMesh mesh(options);
  const TestRequest deadly{ .path = "/books/item?crash=1" };
  for (const std::string& node : mesh.Nodes()) {
    if (EndedTargets(mesh) < kCrashLimit) {
      Send(mesh.ProcessOf(node).callerAddress, deadly);
    }
  }
  BOOST_REQUIRE(WaitUntil(kEndLimit, [&] { return EndedTargets(mesh) >= kCrashLimit; }));
  std::this_thread::sleep_for(kStableWindow);
  const size_t ended = EndedTargets(mesh);
  SendThroughEachEntry(mesh, deadly);
  SendThroughEachEntry(mesh, deadly);
  BOOST_TEST(EndedTargets(mesh) <= ended + kAllowedRetries);
  // Requests of the same route are served all the while.
  BOOST_TEST(CountServed(mesh, { .path = "/books/item?other=1" }) == mesh.Nodes().size());
}

// A call whose kept connection broke as its target ended was refused as not run, and ended further targets.
BOOST_AUTO_TEST_CASE(a_call_that_ended_its_target_over_a_kept_connection_is_not_refused_as_not_run)
{
  MeshOptions options = SmallMesh("endedbycall");
  options.regions = { { "east", { "east-1" } } };
  options.replicaDomains = { "east-1", "east-1", "east-1" };
  options.services = { "books", "desk" };
  options.targetsPerDomain = 1;
  RunningMesh mesh(options);
  const Address entry = mesh.ProcessOf(mesh.Nodes("east-1").front()).callerAddress;
  for (int call = 0; call < kWarmUpCalls; ++call) {
    BOOST_REQUIRE(Send(entry, { .path = "/books/item" }).status == 200);
  }
  const TestResponse response = Send(entry, { .path = "/books/item?crash=1" });
  BOOST_TEST(WaitUntil(kEndLimit, [&] { return EndedTargets(mesh) > 0; }));
  BOOST_TEST(response.status == 502);
  BOOST_TEST(response.outcome != "not-run");
}
