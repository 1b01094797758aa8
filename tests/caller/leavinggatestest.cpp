#define BOOST_TEST_MODULE leavinggates
#include "caller/runningentry.h"
#include "hop/hopheaders.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>

using namespace mimosarun;

/** A gate with an idle target that gives all calls the same response. */
class FakeGate
{
public:
  FakeGate(int aStatus, const HopResponse& aHop)
  {
    const auto handle = [this, aStatus, aHop](const ExchangePointer& aExchange) {
      ++m_calls;
      HttpResponse response{ .status = aStatus, .headers = {}, .body = "x" };
      WriteHop(response.headers, aHop);
      aExchange->Respond(std::move(response));
    };
    m_server = HttpServer::Start({ .address = m_address, .handler = handle }).value();
  }

  /** Returns the number of calls that have arrived. */
  int Calls() const { return m_calls; }

  GateInfo Info(const std::string& aNode, int64_t aIncarnation) const
  {
    return {
      .node = aNode, .target = "t-" + aNode, .address = m_address, .slots = 6, .incarnation = aIncarnation
    };
  }

private:
  const Address m_address = RawServer::FreeAddress();
  std::atomic<int> m_calls{ 0 };
  std::unique_ptr<HttpServer> m_server;
};

// Guards against: an entry goes on sending calls to a gate whose node leaves, as its directory is late; the
// last of them meet a process that has ended (docs/incidents/017).
BOOST_AUTO_TEST_CASE(an_entry_sends_one_call_to_a_gate_that_leaves)
{
  constexpr int kCalls = 60;
  const FakeGate leaving(503, { .outcome = HopOutcome::Rejected, .slots = 6, .isLeaving = true });
  const FakeGate staying(200, { .slots = 6 });
  RunningEntry entry;
  entry.SetGates({ leaving.Info("leaving", 1), staying.Info("staying", 1) });
  BOOST_TEST(entry.Call(kCalls) == kCalls);
  BOOST_TEST(leaving.Calls() == 1);
  // A further directory that still has the gate changes nothing.
  entry.SetGates({ leaving.Info("leaving", 1), staying.Info("staying", 1) });
  BOOST_TEST(entry.Call(kCalls) == kCalls);
  BOOST_TEST(leaving.Calls() == 1);
}

// Guards against: a node that has been restarted gets no calls of entries to which its last process said that
// it leaves.
BOOST_AUTO_TEST_CASE(a_gate_that_left_gets_calls_again_after_its_restart)
{
  constexpr int kCalls = 10;
  const FakeGate leaving(200, { .slots = 6, .isLeaving = true });
  const FakeGate restarted(200, { .slots = 6 });
  RunningEntry entry;
  entry.SetGates({ leaving.Info("node", 1) });
  BOOST_TEST(entry.Call(kCalls) == 1);
  BOOST_TEST(leaving.Calls() == 1);
  entry.SetGates({ restarted.Info("node", 2) });
  BOOST_TEST(entry.Call(kCalls) == kCalls);
  BOOST_TEST(restarted.Calls() == kCalls);
}
