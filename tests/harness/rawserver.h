#pragma once

#include "common/address.h"
#include "harness/process.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/** A connection that sends and receives bytes as a test says. */
class RawConnection
{
public:
  explicit RawConnection(const Address& aTo);
  ~RawConnection();

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(const std::string& aBytes) const;

  /** What arrives within a time. */
  std::string Receive(std::chrono::milliseconds aTime) const;

  /** What arrives until a text has come, the peer closes or the time is over. */
  std::string ReceiveUntil(const std::string& aText, std::chrono::milliseconds aTime) const;

private:
  int m_socket = -1;
};

/**
 * Answers each connection's requests with given bytes, one script entry a connection after its first request,
 * then closes the connection a moment later.
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

  /** An address of this process's own on which nobody listens. */
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

} // namespace mimosarun
