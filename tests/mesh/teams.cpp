#define BOOST_TEST_MODULE teams
#include "harness/rawserver.h"
#include "harness/running.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <thread>

using namespace mimosarun;

static constexpr std::chrono::milliseconds kBound{ 5000 };
/** A node without contact to control honours keys at least for this time. */
static constexpr std::chrono::milliseconds kEntitledTime{ 3000 };
/** Time within which connected nodes refuse a removed key. */
static constexpr std::chrono::milliseconds kRemovalLimit{ 2500 };
/** Begins all keys of this test, so that one search finds any of them. */
static const std::string kSecret = "s3cret-";

/** A deployment with strict revocation, which all cases share; each must leave it whole and with "key-1". */
static RunningMesh&
SharedMesh()
{
  static RunningMesh mesh([] {
    MeshOptions options = SmallMesh("teams");
    options.revocationBound = kBound;
    return options;
  }());
  return mesh;
}

/** Returns a configuration whose team "the till" has these keys, with a public route to each service. */
static std::string
MakeDocument(const std::vector<std::string>& aKeys)
{
  nlohmann::json document = nlohmann::json::parse(SharedMesh().Document());
  for (const std::string& key : aKeys) {
    document["teams"]["the till"]["keys"].push_back(kSecret + key);
  }
  document["teams"]["desk"] = { { "keys", { kSecret + "desk" } }, { "priority", 0 } };
  document["routes"]["books-book"]["timeoutMs"] = 20000;
  document["routes"]["open"] = {
    { "pathPrefix", "/open/" }, { "service", "books" }, { "idempotent", true }, { "public", true }
  };
  return document.dump();
}

static int64_t
InstallKeys(const std::vector<std::string>& aKeys)
{
  const int64_t version = SharedMesh().InstallWithRetries(MakeDocument(aKeys));
  BOOST_REQUIRE(SharedMesh().WaitInForce(version, kInForceLimit));
  return version;
}

static TestResponse
SendWithKey(const std::string& aNode, const std::string& aKey, const std::string& aPath = "/books/item")
{
  TestRequest request{ .path = aPath, .headers = { "Mimosarun-Team: forged", "mimosarun-team: forged too" } };
  if (!aKey.empty()) {
    request.headers.push_back("Authorization: Bearer " + kSecret + aKey);
  }
  return Send(SharedMesh().ProcessOf(aNode).callerAddress, request);
}

static bool
AllAnswer(const std::vector<std::string>& aNodes, const std::string& aKey, int aStatus)
{
  return std::all_of(aNodes.begin(), aNodes.end(), [&](const std::string& aNode) {
    return SendWithKey(aNode, aKey).status == aStatus;
  });
}

/** Ensures a state of the deployment that all cases start from. */
static void
EnsureServing()
{
  InstallKeys({ "key-1" });
  BOOST_REQUIRE(WaitUntil(kRecoveryLimit, [] { return AllAnswer(SharedMesh().Nodes(), "key-1", 200); }));
}

// Guards against: a request runs without a key of a team, or its target sees the key or a forged team.
BOOST_AUTO_TEST_CASE(a_request_reaches_its_target_with_the_name_of_its_team_only)
{
  EnsureServing();
  const std::string node = SharedMesh().Nodes().front();
  const TestResponse accepted = SendWithKey(node, "key-1", "/books/item?headers=1");
  BOOST_TEST(accepted.status == 200);
  BOOST_TEST(accepted.body.find("Mimosarun-Team: the till\n") != std::string::npos, accepted.body);
  BOOST_TEST(accepted.body.find("forged") == std::string::npos, accepted.body);
  BOOST_TEST(accepted.body.find("uthorization") == std::string::npos, accepted.body);
  const size_t runs = SharedMesh().LedgerLines().size();
  for (const char* key : { "", "key-9" }) {
    const TestResponse refused = SendWithKey(node, key);
    BOOST_TEST(refused.status == 401);
    BOOST_TEST(refused.outcome == "not-run");
  }
  BOOST_TEST(SharedMesh().LedgerLines().size() == runs);
  for (const char* key : { "", "key-1" }) {
    const TestResponse open = SendWithKey(node, key, "/open/item?headers=1");
    BOOST_TEST(open.status == 200);
    BOOST_TEST(open.body.find("eam: ") == std::string::npos, open.body);
    BOOST_TEST(open.body.find("uthorization") == std::string::npos, open.body);
  }
}

BOOST_AUTO_TEST_CASE(explain_call_says_which_check_refused_a_request)
{
  EnsureServing();
  const std::string node = SharedMesh().Nodes().front();
  const TestResponse refused = SendWithKey(node, "key-9");
  const Answer explained = SharedMesh().Command("explain call " + refused.callId, node);
  BOOST_TEST(explained.message.find("unknown-key") != std::string::npos, explained.message);
  BOOST_TEST(explained.message.find(kSecret) == std::string::npos);
  const TestResponse accepted = SendWithKey(node, "key-1");
  BOOST_TEST(WaitUntil(std::chrono::seconds(1), [&] {
    const Answer answer = SharedMesh().Command("explain call " + accepted.callId, node);
    return answer.message.find("team the till") != std::string::npos;
  }));
}

BOOST_AUTO_TEST_CASE(a_removed_key_is_refused_soon_and_a_new_one_accepted)
{
  EnsureServing();
  const int64_t version = SharedMesh().InstallWithRetries(MakeDocument({ "key-2" }));
  BOOST_TEST(version > 0);
  const Deadline limit = SteadyClock::now() + kRemovalLimit;
  const std::vector<std::string> nodes = SharedMesh().Nodes();
  BOOST_TEST(WaitUntil(TimeLeft(limit), [&] { return AllAnswer(nodes, "key-1", 401); }));
  BOOST_TEST(AllAnswer(nodes, "key-2", 200));
}

// Guards against: operators can't read back what they sent, as control keeps only the digests for nodes.
BOOST_AUTO_TEST_CASE(operators_see_the_document_as_it_was_sent)
{
  EnsureServing();
  const int64_t version = InstallKeys({ "key-1", "key-3" });
  const Answer changes =
    SharedMesh().Command("diff " + std::to_string(version - 1) + " " + std::to_string(version));
  BOOST_TEST(changes.message.find(kSecret + "key-3") != std::string::npos, changes.message);
  const std::string node = SharedMesh().Nodes().front();
  BOOST_TEST(SendWithKey(node, "key-3").status == 200);
}

// Guards against: a region that is cut off goes on honouring a removed key, or refuses while it need not.
BOOST_AUTO_TEST_CASE(nodes_cut_off_from_control_refuse_keys_after_their_lease)
{
  EnsureServing();
  RunningMesh& mesh = SharedMesh();
  const std::vector<std::string> east = mesh.Nodes("east-1");
  const std::vector<std::string> west = mesh.Nodes("west-1");
  mesh.SetRegionFault("east", "west", { .dropAll = true });
  const Deadline cutAt = SteadyClock::now();
  BOOST_TEST(mesh.InstallWithRetries(MakeDocument({ "key-2" })) > 0);
  const Deadline revokedAt = SteadyClock::now();
  BOOST_TEST(AllAnswer(west, "key-1", 200));
  while (SteadyClock::now() < cutAt + kEntitledTime - std::chrono::milliseconds(200)) {
    BOOST_TEST(SendWithKey(west.front(), "key-1").status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  std::this_thread::sleep_until(revokedAt + kBound);
  for (const std::string& node : west) {
    for (const char* key : { "key-1", "key-2", "key-9", "" }) {
      const TestResponse refused = SendWithKey(node, key);
      BOOST_TEST(refused.status == 503);
      BOOST_TEST(refused.outcome == "not-run");
      BOOST_TEST(!refused.retryAfter.empty());
    }
    BOOST_TEST(SendWithKey(node, "", "/open/item").status == 200);
  }
  BOOST_TEST(AllAnswer(east, "key-2", 200));
  // A node that is restarted while cut off gets the document from others but no lease.
  mesh.ProcessOf(west.front()).process.Kill();
  mesh.StartProcess(west.front());
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return mesh.VersionOf(west.front()) > 0; }));
  BOOST_TEST(SendWithKey(west.front(), "key-1").status == 503);
  mesh.SetRegionFault("east", "west", {});
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return AllAnswer(west, "key-2", 200); }));
  BOOST_TEST(AllAnswer(west, "key-1", 401));
}

// Guards against: a leader killed right after a removal was acknowledged leaves nodes with the removed key.
BOOST_AUTO_TEST_CASE(a_leader_killed_after_a_removal_delays_it_no_longer_than_the_bound)
{
  EnsureServing();
  RunningMesh& mesh = SharedMesh();
  BOOST_TEST(mesh.InstallWithRetries(MakeDocument({ "key-2" })) > 0);
  const Deadline revokedAt = SteadyClock::now();
  const std::string leader = mesh.LeaderOf("configuration");
  mesh.ProcessOf(leader).process.Kill();
  std::this_thread::sleep_until(revokedAt + kBound);
  for (const std::string& node : mesh.Nodes()) {
    BOOST_TEST(SendWithKey(node, "key-1").status != 200, node);
  }
  mesh.StartProcess(leader);
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return AllAnswer(mesh.Nodes(), "key-2", 200); }));
}

// Guards against: a team gets the stored response of another one that used the same idempotency key.
BOOST_AUTO_TEST_CASE(an_idempotency_key_counts_for_one_team)
{
  EnsureServing();
  const Address entry = SharedMesh().ProcessOf(SharedMesh().Nodes().front()).callerAddress;
  const auto book = [&](const std::string& aKey, const std::string& aToken) {
    return Send(entry,
                { .method = "POST",
                  .path = "/books/book/shared",
                  .token = aToken,
                  .key = "idempotency-1",
                  .headers = { "Authorization: Bearer " + kSecret + aKey } });
  };
  const TestResponse first = book("key-1", "till");
  BOOST_TEST(first.status == 200);
  BOOST_TEST(first.body.starts_with("till\n"), first.body);
  BOOST_TEST(book("key-1", "till again").body == first.body);
  const TestResponse other = book("desk", "desk");
  BOOST_TEST(other.status == 200);
  BOOST_TEST(other.body.starts_with("desk\n"), other.body);
}

// Guards against: a request whose key was checked while the lease held is sent after its end.
BOOST_AUTO_TEST_CASE(a_request_that_waited_in_its_pipeline_beyond_the_lease_is_not_sent)
{
  EnsureServing();
  RunningMesh& mesh = SharedMesh();
  const std::string node = mesh.Nodes("west-1").front();
  const std::string common = " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + kSecret + "key-1\r\n";
  mesh.SetRegionFault("east", "west", { .dropAll = true });
  RawConnection connection(mesh.ProcessOf(node).callerAddress);
  connection.Send("GET /books/long?ms=6500" + common + "\r\nPOST /books/book/waited" + common +
                  "Content-Length: 0\r\n\r\n");
  const std::string responses = connection.ReceiveUntil("HTTP/1.1 503", std::chrono::seconds(12));
  BOOST_TEST_MESSAGE(responses);
  mesh.SetRegionFault("east", "west", {});
  BOOST_TEST(responses.starts_with("HTTP/1.1 200"), responses);
  BOOST_TEST(responses.find("HTTP/1.1 503") != std::string::npos, responses);
  for (const std::string& line : mesh.LedgerLines()) {
    BOOST_TEST(line.find("/books/book/waited") == std::string::npos, line);
  }
}

// Guards against: a request that waited for a suspended node runs with a key that is long removed.
BOOST_AUTO_TEST_CASE(a_node_suspended_beyond_the_bound_runs_nothing_with_a_removed_key)
{
  EnsureServing();
  RunningMesh& mesh = SharedMesh();
  const std::string node = mesh.Nodes("west-1").back();
  mesh.ProcessOf(node).process.Signal(SIGSTOP);
  BOOST_TEST(mesh.InstallWithRetries(MakeDocument({ "key-2" })) > 0);
  std::this_thread::sleep_for(kBound);
  std::vector<std::future<TestResponse>> waiting;
  for (int request = 0; request < 4; ++request) {
    waiting.push_back(std::async(std::launch::async, [&node] { return SendWithKey(node, "key-1"); }));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  mesh.ProcessOf(node).process.Signal(SIGCONT);
  for (std::future<TestResponse>& response : waiting) {
    const int status = response.get().status;
    BOOST_TEST((status == 503 || status == 401), "status " << status);
  }
  BOOST_TEST(WaitUntil(kRecoveryLimit, [&] { return SendWithKey(node, "key-2").status == 200; }));
}

static std::string
ReadWhole(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

// Guards against: a key is found in what the processes wrote during all of the cases above.
BOOST_AUTO_TEST_CASE(no_log_and_no_metric_contains_a_key)
{
  RunningMesh& mesh = SharedMesh();
  EnsureServing();
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(mesh.Options().folder)) {
    const std::string extension = entry.path().extension().string();
    if (extension == ".log" || extension == ".out" || extension == ".ledger") {
      BOOST_TEST(ReadWhole(entry.path()).find(kSecret) == std::string::npos, entry.path());
      ++files;
    }
  }
  BOOST_TEST(files > 10);
  bool isCounted = false;
  std::vector<std::string> processes = mesh.Nodes();
  for (const std::string& replica : mesh.Replicas()) {
    processes.push_back(replica);
  }
  for (const std::string& name : processes) {
    const TestResponse metrics = Send(mesh.ProcessOf(name).operatorAddress, { .path = "/metrics" });
    BOOST_TEST(metrics.status == 200);
    BOOST_TEST(metrics.body.find(kSecret) == std::string::npos, name);
    isCounted = isCounted ||
                metrics.body.find("credential_refusals_total{reason=\"unknown-key\"}") != std::string::npos;
  }
  BOOST_TEST(isCounted);
}
