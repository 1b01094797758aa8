#define BOOST_TEST_MODULE answers
#include "harness/running.h"

#include <csignal>
#include <set>
#include <thread>

using namespace mimosarun;

/** Returns the deployment that all cases of this file share. */
static RunningMesh&
SharedMesh()
{
  static RunningMesh mesh(SmallMesh("answers"));
  return mesh;
}

static Address
EntryAddress()
{
  return SharedMesh().ProcessOf(SharedMesh().Nodes().front()).callerAddress;
}

BOOST_AUTO_TEST_CASE(a_response_is_complete_and_has_the_identifier_of_its_call)
{
  const TestResponse response = Send(EntryAddress(), { .path = "/books/item?bytes=100000", .token = "t-1" });
  BOOST_TEST(response.transferComplete);
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.outcome == "complete");
  BOOST_TEST(response.token == "t-1");
  BOOST_TEST(!response.callId.empty());
  BOOST_TEST(response.body.size() == 100000u);
}

BOOST_AUTO_TEST_CASE(a_large_response_is_complete)
{
  const TestResponse response =
    Send(EntryAddress(),
         { .path = "/books/item?bytes=30000000", .token = "t-2", .timeout = std::chrono::seconds(10) });
  BOOST_TEST(response.transferComplete);
  BOOST_TEST(response.body.size() == 30000000u);
}

BOOST_AUTO_TEST_CASE(a_truncated_response_never_looks_complete)
{
  for (const char* path : { "/books/item?cut=100", "/books/item?cut=100&bytes=500000" }) {
    const TestResponse response = Send(EntryAddress(), { .path = path });
    BOOST_TEST((!response.transferComplete || response.outcome == "unknown"), path);
  }
}

// Guards against: the length that a target announces ends its node, and with it all calls of that node.
BOOST_AUTO_TEST_CASE(a_response_that_announces_more_than_memory_holds_ends_no_other_call)
{
  static constexpr int kCallers = 4;
  const size_t callsBefore = SharedMesh().LedgerLines().size();
  std::vector<std::thread> callers;
  std::atomic<int> answered{ 0 };
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      const TestResponse response =
        Send(EntryAddress(), { .path = "/books/item?ms=1500", .timeout = std::chrono::seconds(10) });
      answered += response.transferComplete && response.status == 200 ? 1 : 0;
    });
  }
  BOOST_TEST(WaitUntil(std::chrono::seconds(1),
                       [&] { return SharedMesh().LedgerLines().size() >= callsBefore + kCallers; }));
  const TestResponse response = Send(EntryAddress(), { .path = "/books/item?cut=999999999999999999" });
  BOOST_TEST((!response.transferComplete || response.outcome == "unknown"));
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(answered == kCallers);
}

BOOST_AUTO_TEST_CASE(a_response_to_another_call_is_not_forwarded)
{
  // The gate drops the response and waits for another one, which the target doesn't send here.
  const TestResponse response =
    Send(EntryAddress(), { .path = "/books/item?foreign=1", .timeout = std::chrono::milliseconds(800) });
  BOOST_TEST(response.status == 504);
  BOOST_TEST(response.outcome == "unknown");
  BOOST_TEST(response.target.empty());
}

BOOST_AUTO_TEST_CASE(a_late_response_results_in_unknown_at_the_deadline)
{
  const auto start = SteadyClock::now();
  const TestResponse response =
    Send(EntryAddress(), { .path = "/books/item?late=1", .timeout = std::chrono::milliseconds(400) });
  BOOST_TEST(response.status == 504);
  BOOST_TEST(response.outcome == "unknown");
  BOOST_TEST((SteadyClock::now() - start < std::chrono::milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(a_request_that_a_target_rejects_is_not_run)
{
  const TestResponse response = Send(EntryAddress(), { .path = "/books/item?shed=1" });
  BOOST_TEST(response.status == 503);
  BOOST_TEST(response.outcome == "not-run");
}

// Guards against: a caller is told "not run" because a late copy of an earlier refusal was taken for its own.
BOOST_AUTO_TEST_CASE(a_rejection_that_names_no_request_results_in_unknown)
{
  const TestResponse response = Send(EntryAddress(), { .path = "/books/item?shed=2" });
  BOOST_TEST(response.status == 502);
  BOOST_TEST(response.outcome == "unknown");
}

BOOST_AUTO_TEST_CASE(a_request_without_a_route_is_not_run)
{
  const TestResponse response = Send(EntryAddress(), { .path = "/elsewhere" });
  BOOST_TEST(response.status == 404);
  BOOST_TEST(response.outcome == "not-run");
}

BOOST_AUTO_TEST_CASE(many_concurrent_callers_each_get_their_own_response)
{
  std::vector<std::thread> callers;
  std::atomic<int> wrongResponses{ 0 };
  for (int caller = 0; caller < 16; ++caller) {
    callers.emplace_back([&, caller] {
      for (int call = 0; call < 40; ++call) {
        const std::string token = "caller-" + std::to_string(caller) + "-" + std::to_string(call);
        const TestResponse response =
          Send(EntryAddress(), { .path = "/desk/item?ms=" + std::to_string(call % 20), .token = token });
        const bool isOwnResponse = response.token == token && response.body.starts_with(token + "\n");
        const bool isRefused = response.outcome == "not-run";
        wrongResponses += response.transferComplete && (isOwnResponse || isRefused) ? 0 : 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(wrongResponses == 0);
}

BOOST_AUTO_TEST_CASE(an_operator_can_query_the_result_of_a_call)
{
  const std::string node = SharedMesh().Nodes().front();
  const TestResponse response = Send(SharedMesh().ProcessOf(node).callerAddress, { .path = "/books/item" });
  Answer explained;
  const bool found = WaitUntil(std::chrono::seconds(1), [&] {
    explained = SharedMesh().Command("explain call " + response.callId, node);
    return explained.code == AnswerCode::Done;
  });
  BOOST_REQUIRE(found);
  BOOST_TEST(explained.message.find("books-read") != std::string::npos);
  BOOST_TEST(explained.rows.size() == 1u);
}

// Guards against: an operator is told of other gates than those that calls are sent to.
BOOST_AUTO_TEST_CASE(an_operator_can_query_where_a_request_would_be_sent)
{
  const std::string node = SharedMesh().Nodes().front();
  const TestResponse response = Send(SharedMesh().ProcessOf(node).callerAddress, { .path = "/books/item" });
  BOOST_TEST(response.status == 200);
  const Answer route = SharedMesh().Command("explain route localhost /books/item GET", node);
  BOOST_TEST((route.code == AnswerCode::Done));
  BOOST_TEST(route.message.find("route books-read") != std::string::npos);
  std::set<std::string> gates;
  for (const std::vector<std::string>& row : route.rows) {
    gates.insert(row.at(2));
  }
  Answer call;
  BOOST_TEST(WaitUntil(std::chrono::seconds(1), [&] {
    call = SharedMesh().Command("explain call " + response.callId, node);
    return call.code == AnswerCode::Done;
  }));
  BOOST_REQUIRE(!call.rows.empty());
  BOOST_TEST(gates.contains(call.rows.back().at(1)));
  BOOST_TEST(
    (SharedMesh().Command("explain route localhost /elsewhere GET", node).code == AnswerCode::Refused));
  BOOST_TEST((SharedMesh().Command("explain route localhost /books/item", node).code == AnswerCode::Invalid));
}
