#define BOOST_TEST_MODULE silentgate
#include "caller/entry.h"
#include "caller/testgate.h"
#include "harness/testclient.h"
#include "http/stallingrelay.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace mimosarun;
using std::chrono::milliseconds;

/** More than a stalled connection takes, and less than the kernel of its sender holds. */
static constexpr size_t kRequestBytes = 100UL * 1024;
static constexpr milliseconds kForever = StallingRelay::kForever;

static const std::string kServices = R"({
  "services": { "books": { "homeRegion": "east" } },
  "routes": {
    "items": { "pathPrefix": "/items", "service": "books", "idempotent": true, "timeoutMs": 8000 },
    "orders": { "pathPrefix": "/orders", "service": "books", "repeat": "once", "timeoutMs": 8000 }
  }
})";

/** A gate behind a relay that stalls connections. */
class GateBehindRelay
{
public:
  struct Options
  {
    std::vector<milliseconds> stalls;
    CountingTarget::Behaviour target;
    std::string name = "gate";
    Locality locality = Locality::FailureDomain;
    /** Incarnation of the gate that the entry knows. */
    int64_t knownIncarnation = TestGate::kIncarnation;
    bool isReady = true;
  };

  explicit GateBehindRelay(const Options& aOptions)
    : m_options(aOptions)
    , m_gate({ .target = aOptions.target, .name = aOptions.name, .isReady = aOptions.isReady })
    , m_relay(m_gate.ListenAddress(), aOptions.stalls)
  {
  }

  void SetReady(bool aIsReady) { m_gate.SetReady(aIsReady); }

  GateInfo Info() const
  {
    return { .node = m_options.name,
             .target = m_gate.TargetName(),
             .address = m_relay.ListenAddress(),
             .locality = m_options.locality,
             .slots = 4,
             .incarnation = m_options.knownIncarnation };
  }

  int Runs() const { return m_gate.Runs(); }
  int AcceptedConnections() const { return m_relay.AcceptedConnections(); }

private:
  const Options m_options;
  TestGate m_gate;
  StallingRelay m_relay;
};

/** An entry that knows some gates. */
class EntryOf
{
public:
  explicit EntryOf(const std::vector<const GateBehindRelay*>& aGates)
  {
    m_entry = Entry::Start({ .address = m_address,
                             .node = "entry",
                             .loops = &m_loops,
                             .forwarder = &m_forwarder,
                             .metrics = &m_metrics,
                             .codec = CallerCodecOf<NativeCallerProtocol>() })
                .value();
    m_entry->SetSnapshot(MakeSnapshot(1, kServices).value());
    auto directory = std::make_shared<GateDirectory>();
    for (const GateBehindRelay* gate : aGates) {
      directory->gates["books"].push_back(gate->Info());
    }
    m_entry->SetDirectory(directory);
  }

  ~EntryOf()
  {
    m_entry->Stop();
    m_loops.Stop();
  }

  EntryOf(const EntryOf&) = delete;
  EntryOf& operator=(const EntryOf&) = delete;

  TestResponse Post(const std::string& aPath, milliseconds aTimeout = milliseconds(8000)) const
  {
    return Send(
      m_address,
      { .method = "POST", .path = aPath, .body = std::string(kRequestBytes, 'x'), .timeout = aTimeout });
  }

private:
  const Address m_address = RawServer::FreeAddress();
  EventLoops m_loops{ 1 };
  Forwarder m_forwarder;
  Metrics m_metrics;
  std::unique_ptr<Entry> m_entry;
};

static milliseconds
Since(Deadline aStart)
{
  return std::chrono::duration_cast<milliseconds>(SteadyClock::now() - aStart);
}

// Guards against: a call is given up because its gate's connection is silent for a second, though no other
// gate can take it.
BOOST_AUTO_TEST_CASE(an_idempotent_call_waits_for_its_only_gate)
{
  const GateBehindRelay gate({ .stalls = std::vector<milliseconds>(5, milliseconds(1500)) });
  const EntryOf entry({ &gate });
  const TestResponse response = entry.Post("/items/1");
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.outcome == "complete");
}

// Guards against: a call waits for a gate that is gone, or the gate gets further calls.
BOOST_AUTO_TEST_CASE(an_idempotent_call_is_answered_by_another_gate)
{
  const GateBehindRelay gone({ .stalls = std::vector<milliseconds>(20, kForever), .name = "gone" });
  const GateBehindRelay other({ .name = "other", .locality = Locality::OtherRegion });
  const EntryOf entry({ &gone, &other });
  constexpr int kCalls = 3;
  for (int call = 0; call < kCalls; ++call) {
    const Deadline start = SteadyClock::now();
    BOOST_TEST(entry.Post("/items/1").status == 200);
    BOOST_TEST((Since(start) < milliseconds(1200)));
  }
  BOOST_TEST(gone.AcceptedConnections() == kCalls);
  // The gate is ejected for a while now.
  const Deadline start = SteadyClock::now();
  BOOST_TEST(entry.Post("/items/1").status == 200);
  BOOST_TEST((Since(start) < milliseconds(400)));
  BOOST_TEST(gone.AcceptedConnections() == kCalls);
  BOOST_TEST(other.Runs() == kCalls + 1);
}

// Guards against: a call whose second target has failed it waits for the gate that is gone.
BOOST_AUTO_TEST_CASE(a_failed_response_does_not_wait_for_a_silent_gate)
{
  const GateBehindRelay gone({ .stalls = std::vector<milliseconds>(5, kForever), .name = "gone" });
  const GateBehindRelay other(
    { .target = { .status = 500 }, .name = "other", .locality = Locality::OtherRegion });
  const EntryOf entry({ &gone, &other });
  const Deadline start = SteadyClock::now();
  const TestResponse response = entry.Post("/items/1");
  BOOST_TEST(response.status == 500);
  BOOST_TEST((Since(start) < milliseconds(1200)));
  BOOST_TEST(other.Runs() == 1);
}

// Guards against: a call that isn't idempotent waits for a connection that stays silent, while new
// connections to the same gate work.
BOOST_AUTO_TEST_CASE(a_call_that_runs_once_is_answered_on_a_new_connection)
{
  const GateBehindRelay gate({ .stalls = { kForever } });
  const EntryOf entry({ &gate });
  const Deadline start = SteadyClock::now();
  BOOST_TEST(entry.Post("/orders/1").status == 200);
  BOOST_TEST((Since(start) < milliseconds(2000)));
  BOOST_TEST(gate.Runs() == 1);
}

// Guards against: the answer is lost as the first connection was closed, though only it goes on.
BOOST_AUTO_TEST_CASE(a_call_that_runs_once_is_answered_on_its_first_connection)
{
  const GateBehindRelay gate({ .stalls = { milliseconds(1500), kForever, kForever, kForever, kForever } });
  const EntryOf entry({ &gate });
  const TestResponse response = entry.Post("/orders/1");
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.outcome == "complete");
  BOOST_TEST(gate.Runs() == 1);
}

// Guards against: the copy of a call that arrives late runs too, or takes the answer away from the other one.
BOOST_AUTO_TEST_CASE(a_late_first_copy_runs_nothing)
{
  // The late copy arrives while the call runs, or after its end.
  for (const milliseconds runTime : { milliseconds(1500), milliseconds(0) }) {
    const GateBehindRelay gate({ .stalls = { milliseconds(1200) }, .target = { .runTime = runTime } });
    const EntryOf entry({ &gate });
    const TestResponse response = entry.Post("/orders/1");
    BOOST_TEST(response.status == 200);
    std::this_thread::sleep_for(milliseconds(1000));
    BOOST_TEST(gate.Runs() == 1);
  }
}

// Guards against: a copy that arrives while the response to the other one is streamed ends the call.
BOOST_AUTO_TEST_CASE(a_copy_beside_a_streamed_response_does_not_end_the_call)
{
  for (const milliseconds firstStall : { milliseconds(700), milliseconds(1200) }) {
    const GateBehindRelay gate(
      { .stalls = { firstStall, milliseconds(400) }, .target = { .responseBytes = 4UL * 1024 * 1024 } });
    const EntryOf entry({ &gate });
    const TestResponse response = entry.Post("/orders/1");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.transferComplete);
    BOOST_TEST(response.body.size() == 4UL * 1024 * 1024);
    BOOST_TEST(gate.Runs() == 1);
  }
}

// Guards against: a call whose gate was restarted is taken for one that didn't run, or runs.
BOOST_AUTO_TEST_CASE(the_outcome_is_unknown_if_the_gate_was_restarted)
{
  const GateBehindRelay gate({ .stalls = { kForever }, .knownIncarnation = 7 });
  const GateBehindRelay other({ .name = "other", .locality = Locality::OtherRegion });
  const EntryOf entry({ &gate, &other });
  const TestResponse response = entry.Post("/orders/1", milliseconds(3000));
  BOOST_TEST(response.status >= 500);
  BOOST_TEST(response.outcome == "unknown");
  BOOST_TEST(gate.Runs() == 0);
  BOOST_TEST(other.Runs() == 0);
}

// Guards against: a call that its gate rejected is sent to another one, and its late copy runs at the first.
BOOST_AUTO_TEST_CASE(a_rejected_copy_sends_the_call_to_another_gate_and_never_runs)
{
  GateBehindRelay full({ .stalls = { milliseconds(1500) }, .name = "full", .isReady = false });
  const GateBehindRelay other({ .name = "other", .locality = Locality::OtherRegion });
  const EntryOf entry({ &full, &other });
  const TestResponse response = entry.Post("/orders/1");
  BOOST_TEST(response.status == 200);
  full.SetReady(true);
  std::this_thread::sleep_for(milliseconds(1500));
  BOOST_TEST(full.Runs() == 0);
  BOOST_TEST(other.Runs() == 1);
}
