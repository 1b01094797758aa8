#define BOOST_TEST_MODULE leavinggates
#include "caller/entry.h"
#include "harness/rawserver.h"
#include "harness/testclient.h"
#include "hop/hopheaders.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>

using namespace mimosarun;

static const std::string kDocument = R"({
  "services": { "books": { "homeRegion": "east" } },
  "routes": {
    "items": { "pathPrefix": "/items", "service": "books", "idempotent": true, "timeoutMs": 2000 }
  }})";

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

/** An entry with the gates of one service. */
class RunningEntry
{
public:
  RunningEntry()
  {
    m_entry = Entry::Start({ .address = m_address,
                             .node = "entry",
                             .loops = &m_loops,
                             .forwarder = &m_forwarder,
                             .metrics = &m_metrics,
                             .codec = CallerCodecOf<NativeCallerProtocol>() })
                .value();
    m_entry->SetSnapshot(MakeSnapshot(1, kDocument).value());
  }

  ~RunningEntry()
  {
    m_entry->Stop();
    m_loops.Stop();
  }

  RunningEntry(const RunningEntry&) = delete;
  RunningEntry& operator=(const RunningEntry&) = delete;

  void SetGates(const std::vector<GateInfo>& aGates)
  {
    auto directory = std::make_shared<GateDirectory>();
    directory->gates["books"] = aGates;
    m_entry->SetDirectory(std::move(directory));
  }

  /** Sends calls one after the other and returns how many had the response of a target. */
  int Call(int aCount)
  {
    int answered = 0;
    for (int call = 0; call < aCount; ++call) {
      answered += m_client.Send(m_address, { .path = "/items/1" }).status == 200 ? 1 : 0;
    }
    return answered;
  }

private:
  const Address m_address = RawServer::FreeAddress();
  TestClient m_client;
  EventLoops m_loops{ 1 };
  Forwarder m_forwarder;
  Metrics m_metrics;
  std::unique_ptr<Entry> m_entry;
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
  constexpr int kCalls = 60;
  const FakeGate leaving(200, { .slots = 6, .isLeaving = true });
  const FakeGate restarted(200, { .slots = 6 });
  const FakeGate staying(200, { .slots = 6 });
  RunningEntry entry;
  entry.SetGates({ leaving.Info("first", 1), staying.Info("second", 1) });
  BOOST_TEST(entry.Call(kCalls) == kCalls);
  entry.SetGates({ restarted.Info("first", 2), staying.Info("second", 1) });
  BOOST_TEST(entry.Call(kCalls) == kCalls);
  BOOST_TEST(restarted.Calls() > 0);
}
