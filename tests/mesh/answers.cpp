#define BOOST_TEST_MODULE answers
#include "harness/running.h"

#include <csignal>
#include <thread>

using namespace mimosarun;

/** One deployment serves all cases of this file. */
static RunningMesh&
SharedMesh()
{
  static RunningMesh mesh(SmallMesh("answers"));
  return mesh;
}

static Address
SomeEntry()
{
  return SharedMesh().ProcessOf(SharedMesh().Nodes().front()).callerAddress;
}

BOOST_AUTO_TEST_CASE(an_answer_is_whole_and_carries_its_call)
{
  const TestResponse answer = Send(SomeEntry(), { .path = "/books/item?bytes=100000", .token = "t-1" });
  BOOST_TEST(answer.transferComplete);
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.outcome == "complete");
  BOOST_TEST(answer.token == "t-1");
  BOOST_TEST(!answer.callId.empty());
  BOOST_TEST(answer.body.size() == 100000u);
}

BOOST_AUTO_TEST_CASE(a_large_answer_passes_whole)
{
  const TestResponse answer =
    Send(SomeEntry(),
         { .path = "/books/item?bytes=30000000", .token = "t-2", .timeout = std::chrono::seconds(10) });
  BOOST_TEST(answer.transferComplete);
  BOOST_TEST(answer.body.size() == 30000000u);
}

BOOST_AUTO_TEST_CASE(a_cut_answer_never_looks_complete)
{
  for (const char* path : { "/books/item?cut=1", "/books/item?cut=1&bytes=500000" }) {
    const TestResponse answer = Send(SomeEntry(), { .path = path });
    BOOST_TEST((!answer.transferComplete || answer.outcome == "unknown"), path);
  }
}

BOOST_AUTO_TEST_CASE(another_calls_answer_is_not_passed_on)
{
  // The gate drops it and waits for the answer that may follow; here none does.
  const TestResponse answer =
    Send(SomeEntry(), { .path = "/books/item?foreign=1", .timeout = std::chrono::milliseconds(800) });
  BOOST_TEST(answer.status == 504);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST(answer.target.empty());
}

BOOST_AUTO_TEST_CASE(a_late_answer_gives_unknown_at_the_deadline)
{
  const auto began = SteadyClock::now();
  const TestResponse answer =
    Send(SomeEntry(), { .path = "/books/item?late=1", .timeout = std::chrono::milliseconds(400) });
  BOOST_TEST(answer.status == 504);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST((SteadyClock::now() - began < std::chrono::milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(a_request_that_a_target_sheds_is_not_run)
{
  const TestResponse answer = Send(SomeEntry(), { .path = "/books/item?shed=1" });
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.outcome == "not-run");
}

BOOST_AUTO_TEST_CASE(a_request_without_a_route_is_not_run)
{
  const TestResponse answer = Send(SomeEntry(), { .path = "/elsewhere" });
  BOOST_TEST(answer.status == 404);
  BOOST_TEST(answer.outcome == "not-run");
}

BOOST_AUTO_TEST_CASE(many_callers_at_once_each_get_their_own_answer)
{
  std::vector<std::thread> callers;
  std::atomic<int> wrong{ 0 };
  for (int caller = 0; caller < 16; ++caller) {
    callers.emplace_back([&, caller] {
      for (int call = 0; call < 40; ++call) {
        const std::string token = "caller-" + std::to_string(caller) + "-" + std::to_string(call);
        const TestResponse answer =
          Send(SomeEntry(), { .path = "/desk/item?ms=" + std::to_string(call % 20), .token = token });
        const bool own = answer.token == token && answer.body.starts_with(token + "\n");
        const bool refused = answer.outcome == "not-run";
        wrong += answer.transferComplete && (own || refused) ? 0 : 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(wrong == 0);
}

BOOST_AUTO_TEST_CASE(an_operator_can_ask_what_became_of_a_call)
{
  const std::string node = SharedMesh().Nodes().front();
  const TestResponse answer = Send(SharedMesh().ProcessOf(node).callerAddress, { .path = "/books/item" });
  Answer explained;
  const bool found = WaitUntil(std::chrono::seconds(1), [&] {
    explained = SharedMesh().Command("explain call " + answer.callId, node);
    return explained.code == AnswerCode::Done;
  });
  BOOST_REQUIRE(found);
  BOOST_TEST(explained.message.find("books-read") != std::string::npos);
  BOOST_TEST(explained.rows.size() == 1u);
}
