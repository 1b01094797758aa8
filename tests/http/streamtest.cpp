#define BOOST_TEST_MODULE stream
#include "harness/rawserver.h"
#include "http/relayserver.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

using namespace mimosarun;

/** Memory that a process may hold for one stream at each hop. */
static constexpr size_t kStreamLimitBytes = 256UL * 1024;
/** Bytes that the sockets of one stream hold in the kernel at most. */
static constexpr size_t kSocketLimitBytes = 24UL * 1024 * 1024;

/** Waits until a counter has stopped growing. */
static bool
WaitUntilSteady(const EndlessServer& aServer)
{
  size_t last = 0;
  return WaitUntil(std::chrono::seconds(20), [&] {
    const size_t previous = std::exchange(last, aServer.SentBytes());
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return previous > 0 && aServer.SentBytes() == previous;
  });
}

BOOST_AUTO_TEST_CASE(callers_that_stop_reading_hold_a_bounded_amount_of_memory)
{
  static constexpr size_t kStreams = 200;
  EndlessServer source("HTTP/1.1 200 OK\r\n\r\n", std::string(32UL * 1024, 'x'));
  RelayServer relay(source.ListenAddress());
  const size_t residentBefore = ResidentMemoryBytes(::getpid());
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (size_t i = 0; i < kStreams; ++i) {
    callers.push_back(std::make_unique<RawConnection>(relay.ListenAddress()));
    callers.back()->Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  BOOST_TEST(WaitUntilSteady(source));
  BOOST_TEST(source.SentBytes() > kStreams * 32UL * 1024);
  BOOST_TEST(source.SentBytes() < kStreams * kSocketLimitBytes);
  BOOST_TEST(ResidentMemoryBytes(::getpid()) - residentBefore < kStreams * kStreamLimitBytes);
}

BOOST_AUTO_TEST_CASE(a_short_response_passes_a_stopped_stream)
{
  EndlessServer source("HTTP/1.1 200 OK\r\n\r\n", std::string(32UL * 1024, 'x'));
  RelayServer relay(source.ListenAddress());
  RawConnection stopped(relay.ListenAddress());
  stopped.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(WaitUntilSteady(source));
  RawConnection reading(relay.ListenAddress());
  reading.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(!reading.ReceiveUntil("xxx", std::chrono::seconds(3)).empty());
}

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_off_does_not_look_complete)
{
  const std::string piece(100UL * 1024, 'x');
  for (const std::string& head :
       { std::string("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"),
         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n") }) {
    RawServer source({ head + piece });
    RelayServer relay(source.ListenAddress());
    RawConnection caller(relay.ListenAddress());
    caller.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string received = caller.ReceiveUntil("\r\n0\r\n", std::chrono::seconds(3));
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.find("\r\n0\r\n") == std::string::npos);
    BOOST_TEST(received.size() < 150000u);
  }
}
