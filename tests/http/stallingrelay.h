#pragma once

#include "common/clock.h"
#include "harness/rawserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>
#include <utility>
#include <vector>

namespace mimosarun {

/**
 * Passes connections on to an address. Each of them reads nothing for a while first, with a small window, so
 * that the sender of a large request gets no acknowledgements. It reads on after the sender has closed, as a
 * network delivers late what was sent.
 */
class StallingRelay
{
public:
  /** Never ends before the relay does. */
  static constexpr std::chrono::milliseconds kForever{ 3600000 };

  /** @param aStalls how long each connection reads nothing, in the order of their arrival; others don't stall
   */
  StallingRelay(const Address& aTo, std::vector<std::chrono::milliseconds> aStalls)
    : m_to(aTo)
    , m_stalls(std::move(aStalls))
    , m_address(RawServer::FreeAddress())
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const int bytes = kReceiveBufferBytes;
    ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    const sockaddr_in address = ToSocketAddress(m_address);
    static_cast<void>(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    static_cast<void>(::listen(m_listener, kBacklog) == 0);
    m_thread = std::thread([this] { Accept(); });
  }

  ~StallingRelay()
  {
    m_stop = true;
    m_thread.join();
    for (std::thread& connection : m_connections) {
      connection.join();
    }
    ::close(m_listener);
  }

  StallingRelay(const StallingRelay&) = delete;
  StallingRelay& operator=(const StallingRelay&) = delete;

  const Address& ListenAddress() const { return m_address; }
  int AcceptedConnections() const { return m_acceptedConnections; }

private:
  static constexpr int kReceiveBufferBytes = 4096;
  static constexpr int kBacklog = 64;
  static constexpr int kPollMs = 10;

  static sockaddr_in ToSocketAddress(const Address& aAddress)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aAddress.port);
    ::inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
    return address;
  }

  void Accept()
  {
    while (!m_stop) {
      pollfd ready{ .fd = m_listener, .events = POLLIN, .revents = 0 };
      if (::poll(&ready, 1, kPollMs) <= 0) {
        continue;
      }
      const int accepted = ::accept(m_listener, nullptr, nullptr);
      const auto number = static_cast<size_t>(m_acceptedConnections++);
      const auto stall = number < m_stalls.size() ? m_stalls[number] : std::chrono::milliseconds(0);
      m_connections.emplace_back([this, accepted, stall] { Relay(accepted, SteadyClock::now() + stall); });
    }
  }

  void Relay(int aAccepted, Deadline aReadsFrom)
  {
    while (!m_stop && SteadyClock::now() < aReadsFrom) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
    }
    const int connected = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ToSocketAddress(m_to);
    static_cast<void>(::connect(connected, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    std::array<pollfd, 2> sides{ pollfd{ .fd = aAccepted, .events = POLLIN, .revents = 0 },
                                 pollfd{ .fd = connected, .events = POLLIN, .revents = 0 } };
    while (!m_stop && (sides[0].fd >= 0 || sides[1].fd >= 0)) {
      ::poll(sides.data(), sides.size(), kPollMs);
      PassOn(sides[0], connected);
      PassOn(sides[1], aAccepted);
    }
    ::close(connected);
    ::close(aAccepted);
  }

  /** Passes on what has arrived, and the end of the stream. */
  static void PassOn(pollfd& aFrom, int aTo)
  {
    if (aFrom.fd < 0 || aFrom.revents == 0) {
      return;
    }
    std::array<char, 16384> bytes{};
    const ssize_t length = ::recv(aFrom.fd, bytes.data(), bytes.size(), 0);
    if (length > 0) {
      static_cast<void>(::send(aTo, bytes.data(), static_cast<size_t>(length), MSG_NOSIGNAL) > 0);
      return;
    }
    ::shutdown(aTo, SHUT_WR);
    aFrom.fd = -1;
  }

  const Address m_to;
  const std::vector<std::chrono::milliseconds> m_stalls;
  const Address m_address;
  int m_listener = -1;
  std::atomic<int> m_acceptedConnections{ 0 };
  std::atomic<bool> m_stop{ false };
  std::vector<std::thread> m_connections;
  std::thread m_thread;
};

} // namespace mimosarun
