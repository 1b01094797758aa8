#define BOOST_TEST_MODULE lateconnect
#include "harness/rawserver.h"
#include "http/forwarder.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace mimosarun;
using std::chrono::milliseconds;

/**
 * A server whose queue of new connections is full until it starts to accept, so that the opening packets of
 * further ones are dropped and sent again after a second. It answers each request with an empty response.
 */
class BusyServer
{
public:
  BusyServer()
    : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_address.port);
    ::inet_pton(AF_INET, m_address.host.c_str(), &address.sin_addr);
    static_cast<void>(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    static_cast<void>(::listen(m_listener, 0) == 0);
    m_filler.emplace(m_address);
  }

  ~BusyServer()
  {
    m_stop = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
    for (const int connection : m_connections) {
      ::close(connection);
    }
    ::close(m_listener);
  }

  BusyServer(const BusyServer&) = delete;
  BusyServer& operator=(const BusyServer&) = delete;

  const Address& ListenAddress() const { return m_address; }
  void StartToAccept()
  {
    m_thread = std::thread([this] { Run(); });
  }
  /** Returns the number of accepted connections beside the one that filled the queue. */
  int AcceptedConnections() const { return m_accepted - 1; }

private:
  static constexpr int kPollMs = 10;

  static bool IsReadable(int aSocket)
  {
    pollfd ready{ .fd = aSocket, .events = POLLIN, .revents = 0 };
    return ::poll(&ready, 1, kPollMs) > 0;
  }

  void Run()
  {
    while (!m_stop) {
      if (IsReadable(m_listener)) {
        m_connections.push_back(::accept(m_listener, nullptr, nullptr));
        ++m_accepted;
      }
      for (const int connection : m_connections) {
        Answer(connection);
      }
    }
  }

  static void Answer(int aConnection)
  {
    static const std::string kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    char bytes[4096];
    if (IsReadable(aConnection) && ::recv(aConnection, bytes, sizeof bytes, 0) > 0) {
      static_cast<void>(::send(aConnection, kResponse.data(), kResponse.size(), MSG_NOSIGNAL) > 0);
    }
  }

  const Address m_address = RawServer::FreeAddress();
  int m_listener = -1;
  std::optional<RawConnection> m_filler;
  std::atomic<int> m_accepted{ 0 };
  std::atomic<bool> m_stop{ false };
  std::vector<int> m_connections;
  std::thread m_thread;
};

/** Records how a request ended. */
class EndRecorder : public ForwardListener
{
public:
  HeadAction OnHead(const HttpResponseHead&) override { return HeadAction::Accept; }
  bool OnBody(std::string_view) override { return true; }
  void OnEnd(ForwardResult aResult) override { result.set_value(aResult); }

  std::promise<ForwardResult> result;
};

/** Sends requests from one loop, which keeps its connections. */
class Sender
{
public:
  ~Sender() { m_loops.Stop(); }

  ForwardResult Send(const Address& aTo, std::optional<milliseconds> aLateConnectTimeout)
  {
    const auto recorder = std::make_shared<EndRecorder>();
    m_loops.First().Dispatch([&] {
      m_forwarder.Start(
        m_loops.First(),
        { .destination = aTo,
          .request = { .method = "GET", .path = "/", .requestTarget = "/", .headers = {}, .body = {} },
          .deadline = SteadyClock::now() + milliseconds(5000),
          .connectTimeout = milliseconds(250),
          .lateConnectTimeout = aLateConnectTimeout },
        recorder);
    });
    return recorder->result.get_future().get();
  }

private:
  EventLoops m_loops{ 1 };
  Forwarder m_forwarder;
};

// Guards against: every request to a peer behind a full link fails, as its connection is closed before it is
// established, and the next request begins with a new one.
BOOST_AUTO_TEST_CASE(a_late_connection_is_used_by_the_next_request)
{
  BusyServer server;
  Sender sender;
  BOOST_TEST((sender.Send(server.ListenAddress(), milliseconds(3000)) == ForwardResult::NotSent));
  server.StartToAccept();
  BOOST_TEST(WaitUntil(std::chrono::seconds(5), [&] { return server.AcceptedConnections() == 1; }));
  BOOST_TEST((sender.Send(server.ListenAddress(), milliseconds(3000)) == ForwardResult::Complete));
  BOOST_TEST(server.AcceptedConnections() == 1);
}

// Guards against: connections to a peer that is gone are kept for as long as the kernel tries.
BOOST_AUTO_TEST_CASE(a_connection_that_is_too_late_is_closed)
{
  for (const std::optional<milliseconds> limit :
       { std::optional<milliseconds>(), std::optional(milliseconds(200)) }) {
    BusyServer server;
    Sender sender;
    BOOST_TEST((sender.Send(server.ListenAddress(), limit) == ForwardResult::NotSent));
    std::this_thread::sleep_for(milliseconds(300));
    server.StartToAccept();
    std::this_thread::sleep_for(milliseconds(1500));
    BOOST_TEST(server.AcceptedConnections() == 0);
  }
}
