#define BOOST_TEST_MODULE claimrelease
#include "caller/testgate.h"
#include "control/claimstate.h"
#include "control/groupclient.h"
#include "hop/hopheaders.h"
#include "target/claimclient.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcserver.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** A replica that leads the group of claims, at some distance from its clients. */
class Replica : public wire::ControlPeerNull
{
public:
  Replica(ClaimState& aState, milliseconds aDistance)
    : m_state(aState)
    , m_distance(aDistance)
  {
  }

  void submit(wire::CommandResult& aReturn,
              const std::string& /*aGroup*/,
              const wire::Command& aCommand,
              const int32_t /*aWaitMillis*/) override
  {
    std::this_thread::sleep_for(m_distance);
    wire::LogEntry entry;
    entry.command = aCommand;
    aReturn = m_state.Apply(entry);
    std::this_thread::sleep_for(m_distance);
  }

private:
  ClaimState& m_state;
  const milliseconds m_distance;
};

/** A gate that claims keys. */
struct ClaimingGate
{
  ClaimingGate(ClaimState& aState, milliseconds aDistance, const Address& aTarget)
  {
    server = RpcServer::Start({ .address = replicaAddress,
                                .processor = std::make_shared<wire::ControlPeerProcessor>(
                                  std::make_shared<Replica>(aState, aDistance)) })
               .value();
    gate = Gate::Start({ .address = address,
                         .loops = &loops,
                         .forwarder = &forwarder,
                         .claims = &claims,
                         .metrics = &metrics,
                         .codec = TargetCodecOf<NativeTargetProtocol>(),
                         .onTargetLost = [](const std::string&) {},
                         .onTargetLeaving = [](const std::string&) {},
                         .onTargetCrashed = [](const wire::TargetCrash&) {},
                         .incarnation = [] { return int64_t{ 1 }; } })
             .value();
    gate->SetTarget({ .name = "target",
                      .service = "books",
                      .address = aTarget,
                      .slots = 4,
                      .phase = wire::TargetPhase::Ready });
  }

  ~ClaimingGate()
  {
    gate->Stop();
    loops.Stop();
  }

  /** Sends the call and returns the gate's report. */
  std::optional<HopResponse> Send() const
  {
    HttpHeaders headers;
    WriteHop(headers,
             HopRequest{ .callId = "call",
                         .service = "books",
                         .route = "orders",
                         .repeatPolicy = RepeatPolicy::Keyed,
                         .timeLeft = seconds(8),
                         .longestWait = seconds(8),
                         .maxFailurePenalty = seconds(8),
                         .homeRegion = "east" });
    const RawConnection connection(address);
    connection.Send("POST /orders/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n" + headers.front().name +
                    ": " + headers.front().value + "\r\nContent-Length: 0\r\n\r\n");
    const std::string head = connection.ReceiveUntil("\r\n\r\n", seconds(5));
    const std::string name = std::string(kHopResponseHeader) + ": ";
    const size_t begin = head.find(name);
    if (begin == std::string::npos) {
      return std::nullopt;
    }
    const size_t value = begin + name.size();
    HttpHeaders found{ { .name = kHopResponseHeader,
                         .value = head.substr(value, head.find("\r\n", begin) - value) } };
    return ExtractHopResponse(found);
  }

  const Address replicaAddress = RawServer::FreeAddress();
  const Address address = RawServer::FreeAddress();
  std::unique_ptr<RpcServer> server;
  GroupClient groups{
    { { .name = "replica", .region = "east", .failureDomain = "a", .address = replicaAddress } }
  };
  ClaimClient claims{ groups };
  EventLoops loops{ 1 };
  Forwarder forwarder;
  Metrics metrics;
  std::unique_ptr<Gate> gate;
};

// Guards against: a gate reports that a call with a key didn't run, before it has released the key, and the
// next gate finds the key claimed, so that the caller gets an unknown outcome for a call that never ran.
BOOST_AUTO_TEST_CASE(a_call_that_did_not_run_can_be_sent_to_another_gate_at_once)
{
  ClaimState state;
  const CountingTarget target({ .runTime = milliseconds(10) });
  const ClaimingGate distant(state, milliseconds(20), RawServer::FreeAddress());
  const ClaimingGate near(state, milliseconds(1), target.ListenAddress());
  const auto rejected = distant.Send();
  BOOST_REQUIRE(rejected.has_value());
  BOOST_TEST((rejected->outcome == HopOutcome::Rejected));
  const auto second = near.Send();
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((second->outcome == HopOutcome::Answered));
  BOOST_TEST(target.Runs() == 1);
}
