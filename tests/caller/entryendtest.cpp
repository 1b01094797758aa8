#define BOOST_TEST_MODULE entryend
#include "caller/runningentry.h"
#include "hop/hopheaders.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <mutex>
#include <string>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;

static constexpr size_t kHalfBodyBytes = 500;
/** Time in which the bytes of a gate reach its entry. */
static constexpr milliseconds kArrivalTime{ 200 };

/** A gate that responds to a call when the test says so. */
class PausedGate
{
public:
  PausedGate()
  {
    const auto handle = [this](const ExchangePointer& aExchange) {
      const std::lock_guard lock(m_mutex);
      m_exchange = aExchange;
    };
    m_server = HttpServer::Start({ .address = m_address, .handler = handle }).value();
  }

  GateInfo Info() const { return { .node = "gate", .target = "target", .address = m_address, .slots = 6 }; }

  /** Sends the head and half of the body, and waits until they should have arrived. */
  void BeginResponse()
  {
    WaitForCall()->Loop().Dispatch([exchange = WaitForCall()] {
      HttpResponseHead head{ .status = 200, .headers = {}, .contentLength = 2 * kHalfBodyBytes };
      WriteHop(head.headers, HopResponse{ .slots = 6 });
      exchange->Start(std::move(head));
      exchange->Write(std::string(kHalfBodyBytes, 'x'));
    });
    std::this_thread::sleep_for(kArrivalTime);
  }

  void FinishResponse()
  {
    WaitForCall()->Loop().Dispatch([exchange = WaitForCall()] {
      exchange->Write(std::string(kHalfBodyBytes, 'x'));
      exchange->Finish(true);
    });
  }

  /** Returns the exchange of the call that arrived last. */
  ExchangePointer WaitForCall()
  {
    BOOST_REQUIRE(WaitUntil(std::chrono::seconds(3), [this] {
      const std::lock_guard lock(m_mutex);
      return m_exchange != nullptr;
    }));
    const std::lock_guard lock(m_mutex);
    return m_exchange;
  }

private:
  const Address m_address = RawServer::FreeAddress();
  std::mutex m_mutex;
  ExchangePointer m_exchange;
  std::unique_ptr<HttpServer> m_server;
};

/** An entry with one open call at a gate. */
class OpenCall
{
public:
  OpenCall()
  {
    entry.SetGates({ gate.Info() });
    m_response =
      std::async(std::launch::async, [this] { return Send(entry.ListenAddress(), { .path = "/items/1" }); });
    gate.WaitForCall();
  }

  /** Waits for the response that the caller gets. */
  TestResponse Response() { return m_response.get(); }
  bool IsOpen() const { return m_response.wait_for(kArrivalTime) == std::future_status::timeout; }

  PausedGate gate;
  RunningEntry entry;

private:
  std::future<TestResponse> m_response;
};

// Guards against: an entry that ends replaces the response of a target that has finished, and that is
// arriving, by a refusal (docs/incidents/017).
BOOST_AUTO_TEST_CASE(a_response_that_arrives_is_awaited)
{
  OpenCall call;
  call.gate.BeginResponse();
  call.entry.Get().RefuseUnansweredCalls();
  BOOST_TEST(call.IsOpen());
  call.gate.FinishResponse();
  const TestResponse response = call.Response();
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body.size() == 2 * kHalfBodyBytes);
}

// Guards against: a call that is still open when its entry ends gets neither an answer nor a refusal.
BOOST_AUTO_TEST_CASE(a_call_without_a_response_is_refused)
{
  OpenCall call;
  call.entry.Get().RefuseUnansweredCalls();
  const TestResponse response = call.Response();
  BOOST_TEST(response.status == 502);
  BOOST_TEST(response.outcome == "unknown");
}

// Guards against the same for a call whose response arrives too slowly.
BOOST_AUTO_TEST_CASE(a_call_whose_response_does_not_arrive_is_refused_in_the_end)
{
  OpenCall call;
  call.gate.BeginResponse();
  call.entry.Get().RefuseOpenCalls();
  const TestResponse response = call.Response();
  BOOST_TEST(response.status == 502);
  BOOST_TEST(response.outcome == "unknown");
}
