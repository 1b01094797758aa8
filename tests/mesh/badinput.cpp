#define BOOST_TEST_MODULE badinput
#include "harness/running.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <random>

using namespace mimosarun;

/** A plain TCP connection. */
class Connection
{
public:
  explicit Connection(const Address& aDestination)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aDestination.port);
    ::inet_pton(AF_INET, aDestination.host.c_str(), &address.sin_addr);
    BOOST_REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  }
  ~Connection() { ::close(m_socket); }

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& aBytes)
  {
    return ::send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(aBytes.size());
  }

  /** Returns the first bytes that arrive within a time, or an empty text. */
  std::string Receive(int aMilliseconds)
  {
    pollfd pollDescriptor{ .fd = m_socket, .events = POLLIN, .revents = 0 };
    if (::poll(&pollDescriptor, 1, aMilliseconds) <= 0) {
      return {};
    }
    std::string buffer(4096, '\0');
    const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    buffer.resize(count > 0 ? static_cast<size_t>(count) : 0);
    return buffer;
  }

private:
  int m_socket;
};

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

static long
MemoryKilobytes(pid_t aPid)
{
  std::ifstream stream("/proc/" + std::to_string(aPid) + "/statm");
  long total = 0;
  long resident = 0;
  stream >> total >> resident;
  return resident * 4;
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
      Connection connection(address);
      connection.Send(bytes);
    }
  }
  CheckAllServe();
}

BOOST_AUTO_TEST_CASE(a_frame_header_that_announces_gigabytes_allocates_no_memory)
{
  for (const std::string& name : { SharedMesh().Nodes().front(), std::string("control-1") }) {
    MeshProcess& process = SharedMesh().ProcessOf(name);
    const long kilobytesBefore = MemoryKilobytes(process.process.Id());
    std::vector<std::unique_ptr<Connection>> connections;
    for (int i = 0; i < 20; ++i) {
      connections.push_back(std::make_unique<Connection>(process.peerAddress));
      connections.back()->Send(std::string("\x7f\xff\xff\xff", 4) + std::string(1000, 'x'));
    }
    BOOST_TEST(process.process.Running());
    BOOST_TEST(MemoryKilobytes(process.process.Id()) < kilobytesBefore + 64 * 1024);
  }
  CheckAllServe();
}

BOOST_AUTO_TEST_CASE(a_request_with_a_too_large_body_is_refused_as_not_run)
{
  const MeshProcess& node = SharedMesh().ProcessOf(SharedMesh().Nodes().front());
  Connection connection(node.callerAddress);
  connection.Send("POST /books/book HTTP/1.1\r\nHost: x\r\nContent-Length: 90000000\r\n\r\nstart");
  const std::string response = connection.Receive(3000);
  BOOST_TEST(response.starts_with("HTTP/1.1 413"), response);
  BOOST_TEST(response.find("not-run") != std::string::npos);
  CheckAllServe();
}

BOOST_AUTO_TEST_CASE(the_connection_of_an_endless_chunked_body_is_closed)
{
  const MeshProcess& node = SharedMesh().ProcessOf(SharedMesh().Nodes().front());
  const long kilobytesBefore = MemoryKilobytes(node.process.Id());
  Connection connection(node.callerAddress);
  connection.Send("POST /books/book HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  bool isOpen = true;
  for (int i = 0; i < 400 && isOpen; ++i) {
    isOpen = connection.Send(chunk);
  }
  BOOST_TEST(!isOpen);
  BOOST_TEST(MemoryKilobytes(node.process.Id()) < kilobytesBefore + 32 * 1024);
  CheckAllServe();
}

BOOST_AUTO_TEST_CASE(incomplete_requests_do_not_block_other_callers)
{
  std::vector<std::unique_ptr<Connection>> connections;
  for (const Address& address : AllPorts()) {
    for (int i = 0; i < 30; ++i) {
      connections.push_back(std::make_unique<Connection>(address));
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
