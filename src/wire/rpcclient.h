#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "common/error.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <string>

namespace mimosarun {

/** A framed Thrift connection with timeouts. */
class RpcConnection
{
public:
  explicit RpcConnection(const Address& aAddress);
  ~RpcConnection();

  RpcConnection(const RpcConnection&) = delete;
  RpcConnection& operator=(const RpcConnection&) = delete;

  /** Connects; throws TTransportException on failure. */
  void Open(std::chrono::milliseconds aTimeLeft);

  /** Sets the timeout of each subsequent read and write. */
  void SetTimeout(std::chrono::milliseconds aTimeLeft);

  std::shared_ptr<apache::thrift::protocol::TProtocol> Protocol() const;

private:
  std::shared_ptr<apache::thrift::transport::TSocket> m_socket;
  std::shared_ptr<apache::thrift::transport::TFramedTransport> m_transport;
  std::shared_ptr<apache::thrift::protocol::TProtocol> m_protocol;
};

/**
 * A client with one persistent connection to a peer. A call that gets no reply before its deadline closes the
 * connection, so the next call replaces an unresponsive one. Thread-safe; calls run one at a time.
 */
template<typename Client>
class RpcClient
{
public:
  explicit RpcClient(Address aAddress)
    : m_address(std::move(aAddress))
  {
  }

  const Address& Peer() const { return m_address; }

  /**
   * Runs a function on the generated client. If an existing connection turns out to be closed, it is reopened
   * and the function runs once more, so it must be safe to repeat. Returns Unreachable if the call fails.
   */
  template<typename Function>
  Result<void> Call(Deadline aDeadline, Function aFunction)
  {
    const std::lock_guard lock(m_mutex);
    const bool wasConnected = m_client != nullptr;
    Result<void> result = Attempt(aDeadline, aFunction);
    if (!result && wasConnected && !m_timedOut && TimeLeft(aDeadline).count() > 0) {
      result = Attempt(aDeadline, aFunction);
    }
    return result;
  }

private:
  template<typename Function>
  Result<void> Attempt(Deadline aDeadline, Function& aFunction)
  {
    using apache::thrift::transport::TTransportException;
    m_timedOut = false;
    try {
      Connect(aDeadline);
      aFunction(*m_client);
      return boost::outcome_v2::success();
    } catch (const TTransportException& error) {
      m_timedOut = error.getType() == TTransportException::TIMED_OUT || TimeLeft(aDeadline).count() == 0;
      return CloseWithError(error.what());
    } catch (const std::exception& error) {
      return CloseWithError(error.what());
    }
  }

  void Connect(Deadline aDeadline)
  {
    const auto timeLeft = std::max(TimeLeft(aDeadline), std::chrono::milliseconds(1));
    if (m_client == nullptr) {
      m_connection = std::make_unique<RpcConnection>(m_address);
      m_connection->Open(timeLeft);
      m_client = std::make_unique<Client>(m_connection->Protocol());
    }
    m_connection->SetTimeout(timeLeft);
  }

  /** Closes the connection and returns an error. */
  Result<void> CloseWithError(const char* aReason)
  {
    m_client.reset();
    m_connection.reset();
    return Fail(ErrorKind::Unreachable, m_address.Text() + ": " + aReason + "; check that the peer runs");
  }

  Address m_address;
  std::mutex m_mutex;
  std::unique_ptr<RpcConnection> m_connection;
  std::unique_ptr<Client> m_client;
  bool m_timedOut = false;
};

} // namespace mimosarun
