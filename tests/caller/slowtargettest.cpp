#define BOOST_TEST_MODULE slowtarget
#include "caller/testgate.h"
#include "hop/hopheaders.h"
#include "http/stallingrelay.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against: a target that reads a large request late, and answers every probe of its closed window, is
// taken for one that is gone: the call gets an unknown outcome long before its deadline, and the target runs
// it.
BOOST_AUTO_TEST_CASE(a_target_that_reads_a_request_late_still_answers)
{
  constexpr size_t kBytes = 6UL * 1024 * 1024;
  const Address targetAddress = RawServer::FreeAddress();
  std::atomic<int> runs{ 0 };
  EventLoops loops{ 1 };
  auto target = HttpServer::Start(
                  { .address = targetAddress,
                    .handler =
                      [&](const ExchangePointer& aExchange) {
                        ++runs;
                        aExchange->Respond(
                          { .status = 200,
                            .headers = { { .name = kCallHeader,
                                           .value = FindHeader(aExchange->Request().headers, kCallHeader) } },
                            .body = "x" });
                      },
                    .loops = &loops,
                    .limits = { .bodyBytes = 2 * kBytes } })
                  .value();
  const StallingRelay relay(targetAddress, { milliseconds(3000) });
  const Address address = RawServer::FreeAddress();
  Forwarder forwarder;
  Metrics metrics;
  auto gate = Gate::Start({ .address = address,
                            .loops = &loops,
                            .forwarder = &forwarder,
                            .metrics = &metrics,
                            .codec = TargetCodecOf<NativeTargetProtocol>(),
                            .onTargetLost = [](const std::string&) {},
                            .onTargetLeaving = [](const std::string&) {},
                            .onTargetCrashed = [](const wire::TargetCrash&) {},
                            .incarnation = [] { return int64_t{ 1 }; } })
                .value();
  gate->SetTarget({ .name = "target",
                    .service = "books",
                    .address = relay.ListenAddress(),
                    .slots = 4,
                    .phase = wire::TargetPhase::Ready });
  HttpHeaders headers;
  WriteHop(headers,
           HopRequest{ .callId = "call",
                       .service = "books",
                       .route = "orders",
                       .timeLeft = seconds(15),
                       .longestWait = seconds(15),
                       .maxFailurePenalty = seconds(15) });
  {
    const RawConnection entry(address);
    const Deadline start = SteadyClock::now();
    entry.Send("POST /orders/1 HTTP/1.1\r\nHost: x\r\n" + headers.front().name + ": " +
               headers.front().value + "\r\nContent-Length: " + std::to_string(kBytes) + "\r\n\r\n" +
               std::string(kBytes, 'x'));
    const std::string head = entry.ReceiveUntil("\r\n\r\n", milliseconds(14000));
    BOOST_TEST_MESSAGE(
      "RESULT " << head.substr(0, 14) << " after "
                << std::chrono::duration_cast<milliseconds>(SteadyClock::now() - start).count() << " ms");
    BOOST_TEST(head.find("HTTP/1.1 200") == 0);
    std::this_thread::sleep_for(milliseconds(4000));
    BOOST_TEST_MESSAGE("RESULT runs " << runs.load());
  }
  gate->Stop();
  target.reset();
  loops.Stop();
}
