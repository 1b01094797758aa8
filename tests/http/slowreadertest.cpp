#define BOOST_TEST_MODULE slowreader
#include "harness/rawserver.h"
#include "http/relayserver.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using namespace mimosarun;

/** More than the sockets of a connection hold. */
static constexpr size_t kBodyBytes = 32UL * 1024 * 1024;

// Guards against: a caller that doesn't read for some seconds gets only a part of the response.
BOOST_AUTO_TEST_CASE(a_caller_that_pauses_gets_the_whole_response)
{
  const Address address = RawServer::FreeAddress();
  const auto server = HttpServer::Start(
    { .address = address, .handler = [](const ExchangePointer& aExchange) {
       aExchange->Respond({ .status = 200, .headers = {}, .body = std::string(kBodyBytes, 'x') });
     } });
  BOOST_REQUIRE(server);
  RawConnection caller(address);
  caller.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::seconds(6));
  BOOST_TEST(caller.Receive(std::chrono::seconds(4)).size() > kBodyBytes);
}

// Guards against: a caller that reads slowly, but steadily, is cut off, as a hop before it doesn't read for
// longer than the limit for unacknowledged bytes.
BOOST_AUTO_TEST_CASE(a_slow_caller_behind_two_hops_is_not_cut_off)
{
  EndlessServer source("HTTP/1.1 200 OK\r\n\r\n", std::string(32UL * 1024, 'x'));
  RelayServer gate(source.ListenAddress());
  RelayServer entry(gate.ListenAddress());
  RawConnection caller(entry.ListenAddress());
  caller.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto end = SteadyClock::now() + std::chrono::seconds(15);
  while (SteadyClock::now() < end && !source.IsPeerGone()) {
    caller.ReceiveUntil("x", std::chrono::seconds(3));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  BOOST_TEST(!source.IsPeerGone());
}
