#define BOOST_TEST_MODULE endoffetch
#include "harness/rawserver.h"
#include "node/node.h"
#include "node/nodeservice.h"
#include "wire/gen-cpp/NodePeer.h"
#include "wire/rpcserver.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace mimosarun;
using std::chrono::milliseconds;

/** A node that sends a configuration late. */
class SlowPeer : public wire::NodePeerNull
{
public:
  void exchange(wire::GossipReply& aReturn, const wire::Gossip& /*aGossip*/) override
  {
    aReturn.name = "peer";
    aReturn.version = 1;
  }
  bool probe(const std::string& /*aName*/, const std::string& /*aAddress*/) override { return true; }
  void fetch(wire::ConfigurationUpdate& aReturn, const int64_t /*aHeldVersion*/) override
  {
    isAsked = true;
    std::this_thread::sleep_for(milliseconds(1300));
    aReturn = MakeFullUpdate(*MakeSnapshot(1, R"({ "services": {}, "routes": {} })").value());
  }

  std::atomic<bool> isAsked{ false };
};

// Guards against: a configuration that arrives while a node stops meets an entry without a server.
BOOST_AUTO_TEST_CASE(a_configuration_that_arrives_after_the_stop_of_a_node_is_harmless)
{
  const Address peerAddress = RawServer::FreeAddress();
  const auto peer = std::make_shared<SlowPeer>();
  const auto server = RpcServer::Start(
    { .address = peerAddress, .processor = std::make_shared<wire::NodePeerProcessor>(peer) });
  BOOST_REQUIRE(server.has_value());
  ProcessSettings settings;
  settings.name = "node";
  settings.region = "east";
  settings.failureDomain = "a";
  settings.peerAddress = RawServer::FreeAddress();
  settings.callerAddress = RawServer::FreeAddress();
  settings.gateAddress = RawServer::FreeAddress();
  settings.drainTimeout = milliseconds(1200);
  settings.replicas = {
    { .name = "replica", .region = "east", .failureDomain = "a", .address = RawServer::FreeAddress() }
  };
  Metrics metrics;
  Node node(settings, metrics, { .acceptTime = milliseconds(0) });
  BOOST_REQUIRE(node.Start().has_value());
  wire::Gossip gossip;
  gossip.sender = "peer";
  gossip.version = 1;
  wire::Member member;
  member.name = "peer";
  member.incarnation = 1;
  member.region = "east";
  member.failureDomain = "a";
  member.peerAddress = peerAddress.Text();
  gossip.members.push_back(member);
  // A part of a request holds the drain to its end.
  const RawConnection caller(settings.callerAddress);
  caller.Send("GET / HTTP/1.1\r\nHost: x\r\n");
  std::this_thread::sleep_for(milliseconds(100));
  const Deadline before = SteadyClock::now();
  std::thread shutdown([&] {
    node.Shutdown();
    node.Stop();
  });
  // The threads that exchange members have ended by then.
  std::this_thread::sleep_for(milliseconds(700));
  {
    NodeClient client(settings.peerAddress);
    wire::GossipReply reply;
    BOOST_REQUIRE(client
                    .Call(SteadyClock::now() + milliseconds(1000),
                          [&](wire::NodePeerClient& aClient) { aClient.exchange(reply, gossip); })
                    .has_value());
  }
  for (int i = 0; i < 200 && !peer->isAsked; ++i) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  BOOST_REQUIRE(peer->isAsked);
  shutdown.join();
  BOOST_TEST_MESSAGE("stopped after "
                     << std::chrono::duration_cast<milliseconds>(SteadyClock::now() - before).count()
                     << " ms");
  std::this_thread::sleep_for(milliseconds(2000));
  BOOST_TEST(node.Configuration()->version == 1);
}
