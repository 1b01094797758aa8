#define BOOST_TEST_MODULE badinput
#include "harness/rawserver.h"
#include "harness/running.h"

#include <memory>
#include <random>

using namespace mimosarun;

static RunningMesh&
SharedMesh()
{
  static RunningMesh mesh(SmallMesh("badinput"));
  return mesh;
}

/** Returns all ports of one node and of one control replica. */
static std::vector<Address>
AllPorts()
{
  const MeshProcess& node = SharedMesh().ProcessOf(SharedMesh().Nodes().front());
  const MeshProcess& control = SharedMesh().ProcessOf("control-1");
  return { node.peerAddress,     node.operatorAddress, node.callerAddress,     node.gateAddress,
           node.announceAddress, control.peerAddress,  control.operatorAddress };
}

static std::unique_ptr<RawConnection>
Connect(const Address& aAddress)
{
  auto connection = std::make_unique<RawConnection>(aAddress);
  BOOST_REQUIRE(connection->IsConnected());
  return connection;
}

static void
CheckAllServe()
{
  for (const std::string& node : SharedMesh().Nodes()) {
    BOOST_TEST(SharedMesh().ProcessOf(node).process.Running());
    BOOST_TEST(Send(SharedMesh().ProcessOf(node).callerAddress, { .path = "/books/item" }).status == 200);
  }
  for (const std::string& replica : SharedMesh().Replicas()) {
    BOOST_TEST(SharedMesh().ProcessOf(replica).process.Running());
  }
  BOOST_TEST(SharedMesh().InstallWithRetries(SharedMesh().Document("still")) > 0);
}

BOOST_AUTO_TEST_CASE(random_bytes_on_every_port_do_not_affect_the_service)
{
  std::mt19937_64 random(7);
  for (const Address& address : AllPorts()) {
    for (int round = 0; round < 20; ++round) {
      std::string bytes(1 + random() % 3000, '\0');
      for (char& byte : bytes) {
        byte = static_cast<char>(random());
      }
      const std::unique_ptr<RawConnection> connection = Connect(address);
      connection->Send(bytes);
    }
  }
  CheckAllServe();
}

BOOST_AUTO_TEST_CASE(a_frame_header_that_announces_gigabytes_allocates_no_memory)
{
  for (const std::string& name : { SharedMesh().Nodes().front(), std::string("control-1") }) {
    MeshProcess& process = SharedMesh().ProcessOf(name);
    const size_t bytesBefore = ResidentMemoryBytes(process.process.Id());
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < 20; ++i) {
      connections.push_back(Connect(process.peerAddress));
      connections.back()->Send(std::string("\x7f\xff\xff\xff", 4) + std::string(1000, 'x'));
    }
    BOOST_TEST(process.process.Running());
    BOOST_TEST(ResidentMemoryBytes(process.process.Id()) < bytesBefore + 64 * 1024 * 1024);
  }
  CheckAllServe();
}

BOOST_AUTO_TEST_CASE(a_request_with_a_too_large_body_is_refused_as_not_run)
{
  const MeshProcess& node = SharedMesh().ProcessOf(SharedMesh().Nodes().front());
  const std::unique_ptr<RawConnection> connection = Connect(node.callerAddress);
  connection->Send("POST /books/book HTTP/1.1\r\nHost: x\r\nContent-Length: 90000000\r\n\r\nstart");
  const std::string response = connection->ReceiveUntil("\r\n\r\n", std::chrono::seconds(3));
  BOOST_TEST(response.starts_with("HTTP/1.1 413"), response);
  BOOST_TEST(response.find("not-run") != std::string::npos);
  CheckAllServe();
}

BOOST_AUTO_TEST_CASE(the_connection_of_an_endless_chunked_body_is_closed)
{
  const MeshProcess& node = SharedMesh().ProcessOf(SharedMesh().Nodes().front());
  const size_t bytesBefore = ResidentMemoryBytes(node.process.Id());
  const std::unique_ptr<RawConnection> connection = Connect(node.callerAddress);
  connection->Send("POST /books/book HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  bool isOpen = true;
  for (int i = 0; i < 400 && isOpen; ++i) {
    isOpen = connection->Send(chunk);
  }
  BOOST_TEST(!isOpen);
  BOOST_TEST(ResidentMemoryBytes(node.process.Id()) < bytesBefore + 32 * 1024 * 1024);
  CheckAllServe();
}

BOOST_AUTO_TEST_CASE(incomplete_requests_do_not_block_other_callers)
{
  std::vector<std::unique_ptr<RawConnection>> connections;
  for (const Address& address : AllPorts()) {
    for (int i = 0; i < 30; ++i) {
      connections.push_back(Connect(address));
      connections.back()->Send("POST /v1/");
    }
  }
  CheckAllServe();
}

BOOST_AUTO_TEST_CASE(bad_commands_and_documents_are_refused)
{
  const RunningMesh& mesh = SharedMesh();
  BOOST_TEST((mesh.Command("shw routes").code == AnswerCode::Invalid));
  BOOST_TEST((mesh.Command("show routes where colour = red").code == AnswerCode::Invalid));
  BOOST_TEST((mesh.Command("propose based on 1", "", "{ \"services\": 3 }").code != AnswerCode::Done));
  BOOST_TEST((mesh.Command("accept 999").code == AnswerCode::Refused));
  CheckAllServe();
}
