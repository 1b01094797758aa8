#define BOOST_TEST_MODULE quotadeadline
#include "caller/entry.h"
#include "harness/rawserver.h"

#include <boost/test/unit_test.hpp>

using namespace mimosarun;
using std::chrono::milliseconds;

// Guards against: a call without a token waits until its deadline and gets 504 in place of 429, as the wait
// for a grant (1 s) doesn't know the call's deadline.
BOOST_AUTO_TEST_CASE(a_call_does_not_wait_for_a_quota_until_its_deadline)
{
  const std::string document = R"({
    "services": { "books": { "homeRegion": "east" } },
    "routes": { "items": { "pathPrefix": "/items", "service": "books", "idempotent": true, "timeoutMs": 600 } },
    "teams": { "till": { "keys": ["till-key"], "requestsPerSecond": 1, "burst": 1 } } })";
  const Address address = RawServer::FreeAddress();
  EventLoops loops{ 1 };
  Forwarder forwarder;
  Metrics metrics;
  QuotaPool pool{ { .node = "node", .incarnation = 1, .onReportDue = {} } };
  pool.SetTeams(
    1, { { "till", { .name = "till", .requestsPerSecond = 0.001, .burst = 1 } } }, SteadyClock::now());
  auto entry = Entry::Start({ .address = address,
                              .node = "entry",
                              .loops = &loops,
                              .forwarder = &forwarder,
                              .metrics = &metrics,
                              .codec = CallerCodecOf<NativeCallerProtocol>(),
                              .quota = &pool })
                 .value();
  entry->SetSnapshot(MakeSnapshot(1, document).value());
  const Deadline start = SteadyClock::now();
  {
    const RawConnection caller(address);
    caller.Send("GET /items/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer till-key\r\n\r\n");
    const std::string head = caller.ReceiveUntil("\r\n\r\n", milliseconds(3000));
    BOOST_TEST_MESSAGE(head << std::chrono::duration_cast<milliseconds>(SteadyClock::now() - start).count()
                            << " ms");
    BOOST_TEST(head.find("HTTP/1.1 429") == 0);
  }
  entry->Stop();
  loops.Stop();
}
