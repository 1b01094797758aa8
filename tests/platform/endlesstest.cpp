#define BOOST_TEST_MODULE endless
#include "platform/platformmesh.h"

#include "harness/rawserver.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace mimosarun;

/** Memory of the smallest VM on which a node runs. */
static constexpr size_t kVmMemoryBytes = 160UL * 1000 * 1000;
static constexpr size_t kCallers = 12;
static constexpr size_t kNode = 0;
static constexpr size_t kFaultyNode = 1;

/** Bytes without end: what is sent first, and what is then repeated. */
struct EndlessBytes
{
  const char* name;
  std::string start;
  std::string piece;
};

static const std::string kFiller(16UL * 1024, 'x');
static const std::string kHead = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: signed\r\n";
static const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";
static const std::string kEmptyHead = "HTTP/1.1 200 OK\r\n\r\n";

static const std::vector<EndlessBytes> kTargetBytes{
  { "nonsense", "", kFiller },
  { "header", kHead + "A: ", kFiller },
  { "headers", kHead, "A: b\r\n" },
  { "interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n" },
  { "other answers", "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nabc" },
  { "body of another answer", kEmptyHead, kFiller },
  { "body", kHead + "\r\n", kFiller },
  { "body with a vast length", kHead + "Content-Length: 999999999999999999\r\n\r\n", kFiller },
  { "chunks", kChunkedHead, "1\r\nx\r\n" },
  { "chunk extension", kChunkedHead + "5;", kFiller },
  { "trailer", kChunkedHead + "0\r\nA: ", kFiller },
  { "body of a refusal", "HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\r\n", kFiller },
  { "body of a wrong address", "HTTP/1.1 421 Other\r\nRequest-Id: {id}\r\n\r\n", kFiller },
};

/** Sends different calls to the faulty node's service all at once, and returns when all have ended. */
static void
CallAtOnce(PlatformMesh& aMesh)
{
  static int s_calls = 0;
  std::vector<std::thread> callers;
  for (size_t caller = 0; caller < kCallers; ++caller) {
    const std::string call = std::to_string(++s_calls);
    callers.emplace_back([&aMesh, call] { aMesh.Call(kNode, "/book/" + call, "call-" + call); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
}

/** Checks that the nodes run, within the memory of their VMs, and that the other service is served. */
static void
CheckNodes(PlatformMesh& aMesh, const std::vector<size_t>& aNodes)
{
  BOOST_TEST(aMesh.targets[kNode]->SendHeartbeat("ready") == 200);
  for (const size_t node : aNodes) {
    BOOST_TEST(aMesh.nodes[node].Running());
    BOOST_TEST(PeakMemoryBytes(aMesh.nodes[node].Id()) < kVmMemoryBytes);
    BOOST_TEST(WaitUntil(std::chrono::seconds(2),
                         [&] { return aMesh.Call(node, "/read/1", "sound").starts_with("HTTP/1.1 200"); }));
  }
}

// Guards against: a node keeps all that a faulty target sends without end, and runs out of memory.
BOOST_AUTO_TEST_CASE(bytes_without_end_of_a_target_take_little_memory)
{
  PlatformMesh mesh("endlesstarget");
  BOOST_REQUIRE(mesh.Start());
  PlatformTarget& target = *mesh.targets[kFaultyNode];
  target.StopServing();
  for (const EndlessBytes& bytes : kTargetBytes) {
    BOOST_TEST_CONTEXT(bytes.name)
    {
      EndlessServer server(bytes.start, bytes.piece, mesh.TargetAddress(kFaultyNode));
      BOOST_TEST(WaitUntil(std::chrono::seconds(15), [&] {
        // A gate that sees failures keeps calls from its target for a while.
        target.SendHeartbeat("ready");
        CallAtOnce(mesh);
        return server.SentBytes() > 0;
      }));
      CheckNodes(mesh, { kNode, kFaultyNode });
    }
  }
}

// Guards against: the same, for something else that answers at the address of a node that is gone.
BOOST_AUTO_TEST_CASE(bytes_without_end_at_the_address_of_a_gate_take_little_memory)
{
  PlatformMesh mesh("endlessgate");
  BOOST_REQUIRE(mesh.Start());
  mesh.nodes[kFaultyNode].Kill();
  EndlessServer server(kEmptyHead, kFiller, mesh.GateAddress(kFaultyNode));
  CallAtOnce(mesh);
  BOOST_TEST(server.SentBytes() > 0);
  CheckNodes(mesh, { kNode });
}
