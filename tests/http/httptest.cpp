#define BOOST_TEST_MODULE http
#include "harness/rawserver.h"
#include "http/forwarder.h"
#include "http/server.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <mutex>

using namespace mimosarun;
using std::chrono::milliseconds;

/** A server whose exchanges the test answers by hand. */
class HeldServer
{
public:
  HeldServer()
  {
    m_address = RawServer::FreeAddress();
    m_server = HttpServer::Start(
                 { .address = m_address,
                   .handler =
                     [this](const ExchangePointer& aExchange) {
                       const std::lock_guard lock(m_mutex);
                       m_exchanges.push_back(aExchange);
                     },
                   .limits = { .headerBytes = 2000, .bodyBytes = 1000, .headerTimeout = milliseconds(300) } })
                 .value();
  }

  const Address& Where() const { return m_address; }

  ExchangePointer Exchange(size_t aIndex)
  {
    BOOST_REQUIRE(WaitUntil(std::chrono::seconds(3), [&] {
      const std::lock_guard lock(m_mutex);
      return m_exchanges.size() > aIndex;
    }));
    const std::lock_guard lock(m_mutex);
    return m_exchanges[aIndex];
  }

private:
  Address m_address;
  std::mutex m_mutex;
  std::vector<ExchangePointer> m_exchanges;
  std::unique_ptr<HttpServer> m_server;
};

/** Keeps what became of a request that was sent. */
class Outcome : public ForwardListener
{
public:
  HeadAction OnHead(const HttpResponseHead& aHead) override
  {
    const bool foreign = HasHeader(aHead.headers, "Foreign");
    if (!foreign) {
      status = aHead.status;
    }
    return foreign ? HeadAction::Skip : HeadAction::Accept;
  }
  bool OnBody(std::string_view aBytes) override
  {
    body.append(aBytes);
    return true;
  }
  void OnEnd(ForwardResult aEnd) override { ended.set_value(aEnd); }

  int status = 0;
  std::string body;
  std::promise<ForwardResult> ended;
};

static std::shared_ptr<Outcome>
SendTo(EventLoop& aLoop, Forwarder& aForwarder, const Address& aTo, ForwardResult& aEnd)
{
  const auto outcome = std::make_shared<Outcome>();
  auto ended = outcome->ended.get_future();
  aLoop.Dispatch([&] {
    aForwarder.Start(
      aLoop,
      { .destination = aTo,
        .request = { .method = "GET", .path = "/", .requestTarget = "/", .headers = {}, .body = {} },
        .deadline = SteadyClock::now() + milliseconds(1000) },
      outcome);
  });
  aEnd = ended.get();
  return outcome;
}

BOOST_AUTO_TEST_CASE(pipelined_requests_run_side_by_side_and_are_answered_in_order)
{
  HeldServer server;
  RawConnection caller(server.Where());
  caller.Send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  server.Exchange(1)->Respond({ .status = 200, .headers = {}, .body = "second" });
  BOOST_TEST(caller.Receive(milliseconds(100)).empty());
  server.Exchange(0)->Respond({ .status = 200, .headers = {}, .body = "first" });
  const std::string answers = caller.ReceiveUntil("second", std::chrono::seconds(3));
  BOOST_TEST(answers.find("first") < answers.find("second"));
}

BOOST_AUTO_TEST_CASE(a_turn_comes_when_the_requests_before_are_answered)
{
  HeldServer server;
  RawConnection caller(server.Where());
  caller.Send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  const ExchangePointer second = server.Exchange(1);
  std::promise<void> turn;
  auto turned = turn.get_future();
  second->Loop().Dispatch([&] { second->OnFirstInPipeline([&] { turn.set_value(); }); });
  BOOST_TEST((turned.wait_for(milliseconds(100)) == std::future_status::timeout));
  server.Exchange(0)->Respond({ .status = 204 });
  BOOST_TEST((turned.wait_for(std::chrono::seconds(3)) == std::future_status::ready));
}

BOOST_AUTO_TEST_CASE(a_hang_up_cancels_all_open_requests_at_once)
{
  HeldServer server;
  std::promise<void> gone;
  auto cancelled = gone.get_future();
  {
    RawConnection caller(server.Where());
    caller.Send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    const ExchangePointer exchange = server.Exchange(0);
    exchange->Loop().Dispatch([&] { exchange->OnCancel([&] { gone.set_value(); }); });
    std::promise<void> set;
    exchange->Loop().Dispatch([&] { set.set_value(); });
    set.get_future().wait();
  }
  BOOST_TEST((cancelled.wait_for(milliseconds(400)) == std::future_status::ready));
}

BOOST_AUTO_TEST_CASE(requests_beyond_the_limits_are_refused_by_their_own_status)
{
  const std::string large(3000, 'x');
  HeldServer server;
  const auto statusOf = [&](const std::string& aRequest) {
    RawConnection caller(server.Where());
    caller.Send(aRequest);
    return caller.ReceiveUntil("\r\n", std::chrono::seconds(3)).substr(0, 12);
  };
  BOOST_TEST(statusOf("GET / HTTP/1.1\r\nHost: x\r\nA: " + large + "\r\n\r\n") == "HTTP/1.1 431");
  BOOST_TEST(statusOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n" + large) ==
             "HTTP/1.1 413");
  BOOST_TEST(statusOf("GET / HTTP/1.1\r\nHost: x\r\n") == "HTTP/1.1 408");
  BOOST_TEST(statusOf("GET / HTTP/1.1\r\n\r\n") == "HTTP/1.1 400");
  // Two lengths would let a second request hide in the first.
  BOOST_TEST(
    statusOf(
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
    "HTTP/1.1 400");
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_call_is_dropped_and_the_own_one_awaited)
{
  RawServer peer({ "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 3\r\n\r\nabc"
                   "HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\nown" });
  EventLoop loop;
  Forwarder forwarder;
  ForwardResult end = ForwardResult::Cancelled;
  const auto outcome = SendTo(loop, forwarder, peer.ListenAddress(), end);
  BOOST_TEST((end == ForwardResult::Complete));
  BOOST_TEST(outcome->status == 201);
  BOOST_TEST(outcome->body == "own");
  loop.Stop();
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_belong_to_no_request)
{
  RawServer peer(
    { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nb",
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc" });
  EventLoop loop;
  Forwarder forwarder;
  ForwardResult end = ForwardResult::Cancelled;
  BOOST_TEST(SendTo(loop, forwarder, peer.ListenAddress(), end)->body == "a");
  const auto second = SendTo(loop, forwarder, peer.ListenAddress(), end);
  BOOST_TEST(second->status == 200);
  BOOST_TEST(second->body == "c");
  BOOST_TEST(peer.AcceptedConnections() == 2);
  loop.Stop();
}

BOOST_AUTO_TEST_CASE(a_cut_answer_is_broken_whatever_its_framing)
{
  for (const char* answer : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
                              "HTTP/1.1 200 OK\r\nConten" }) {
    RawServer peer({ answer });
    EventLoop loop;
    Forwarder forwarder;
    ForwardResult end = ForwardResult::Complete;
    SendTo(loop, forwarder, peer.ListenAddress(), end);
    BOOST_TEST((end == ForwardResult::Broken), answer);
    loop.Stop();
  }
}

BOOST_AUTO_TEST_CASE(garbage_is_no_answer)
{
  RawServer peer({ "\x01\x02 nonsense\r\n\r\n" });
  EventLoop loop;
  Forwarder forwarder;
  ForwardResult end = ForwardResult::Complete;
  SendTo(loop, forwarder, peer.ListenAddress(), end);
  BOOST_TEST((end == ForwardResult::Broken));
  loop.Stop();
}

BOOST_AUTO_TEST_CASE(a_closed_port_was_never_sent_the_request)
{
  EventLoop loop;
  Forwarder forwarder;
  ForwardResult end = ForwardResult::Complete;
  SendTo(loop, forwarder, RawServer::FreeAddress(), end);
  BOOST_TEST((end == ForwardResult::NotSent));
  loop.Stop();
}
