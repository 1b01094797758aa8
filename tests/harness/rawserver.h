#pragma once

#include "common/address.h"
#include "harness/process.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/** TCP connection on which a test sends and receives raw bytes. */
class RawConnection
{
public:
  /** Limits of the kernel for a connection; zero leaves its defaults. */
  struct Limits
  {
    int receiveBufferBytes = 0;
    /** Largest segment of the peer, which sizes its send buffer by it. */
    int segmentBytes = 0;
  };

  explicit RawConnection(const Address& aTo);
  RawConnection(const Address& aTo, const Limits& aLimits);
  ~RawConnection();

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool IsConnected() const { return m_connected; }

  /** Returns whether all bytes were sent. */
  bool Send(const std::string& aBytes) const;

  /** Returns the bytes that arrive within aTime. */
  std::string Receive(std::chrono::milliseconds aTime) const;

  /** Returns the bytes that arrive until they contain aText, the peer closes or aTime is over. */
  std::string ReceiveUntil(const std::string& aText, std::chrono::milliseconds aTime) const;

  /**
   * Appends the bytes that arrive next within aTime, up to a limit; returns false if the peer has closed.
   * Then errno is zero unless the connection was reset.
   */
  bool ReceiveSome(std::string& aBytes, size_t aLimit, std::chrono::milliseconds aTime) const;

  /** Returns how many received bytes the kernel holds. */
  size_t HeldBytes() const;

private:
  int m_socket = -1;
  bool m_connected = false;
};

/**
 * TCP server that sends the next entry of its script after the first bytes on each connection, and closes the
 * connection after a short delay.
 */
class RawServer
{
public:
  explicit RawServer(std::vector<std::string> aScript);
  ~RawServer();

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const Address& ListenAddress() const { return m_address; }
  int AcceptedConnections() const { return m_acceptedConnections; }

  /** Returns a new loopback address that other test processes don't use and that has no listener. */
  static Address FreeAddress();

private:
  void Run();

  const std::vector<std::string> m_script;
  Address m_address;
  int m_socket = -1;
  std::atomic<int> m_acceptedConnections{ 0 };
  std::atomic<bool> m_stop{ false };
  std::thread m_thread;
};

/**
 * TCP server that answers a request with a prefix and then repeats a piece until the peer closes. "{id}" in
 * the prefix stands for the Request-Id of the request.
 */
class EndlessServer
{
public:
  EndlessServer(std::string aPrefix, std::string aPiece, const Address& aAddress = RawServer::FreeAddress());
  ~EndlessServer();

  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  const Address& ListenAddress() const { return m_address; }
  size_t SentBytes() const { return m_sentBytes; }
  /** Returns whether the peer has closed a connection. */
  bool IsPeerGone() const { return m_peerGone; }

private:
  void Run();
  void Serve(int aConnection);
  std::string PrefixFor(const std::string& aRequest) const;

  const std::string m_prefix;
  const std::string m_piece;
  Address m_address;
  int m_socket = -1;
  std::atomic<size_t> m_sentBytes{ 0 };
  std::atomic<bool> m_peerGone{ false };
  std::atomic<bool> m_stop{ false };
  std::vector<std::thread> m_connections;
  std::thread m_thread;
};

} // namespace mimosarun
