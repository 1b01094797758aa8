#define BOOST_TEST_MODULE crashes
#include "harness/running.h"

#include <algorithm>

using namespace mimosarun;

/** Enough for each event loop of a gate to keep a connection to the target. */
static constexpr int kWarmUpCalls = 20;

static size_t
EndedTargets(Mesh& aMesh)
{
  const std::vector<std::string> targets = aMesh.Targets();
  return static_cast<size_t>(std::count_if(targets.begin(), targets.end(), [&](const std::string& aTarget) {
    return !aMesh.TargetOf(aTarget).process.Running();
  }));
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
  BOOST_TEST(EndedTargets(mesh) > 0U);
  BOOST_TEST(response.status == 502);
  BOOST_TEST(response.outcome != "not-run");
}
