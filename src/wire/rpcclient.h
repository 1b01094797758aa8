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

/** Opens framed Thrift connections and sets their timeouts. */
class RpcConnection
{
public:
  explicit RpcConnection(const Address& aAddress);
  ~RpcConnection();

  RpcConnection(const RpcConnection&) = delete;
  RpcConnection& operator=(const RpcConnection&) = delete;

  /** Connects; throws TTransportException on failure. */
  void Open(std::chrono::milliseconds aTimeLeft);

  /** Bounds the wait for each read and write that follows. */
  void SetTimeout(std::chrono::milliseconds aTimeLeft);

  std::shared_ptr<apache::thrift::protocol::TProtocol> Protocol() const;

private:
  std::shared_ptr<apache::thrift::transport::TSocket> m_socket;
  std::shared_ptr<apache::thrift::transport::TFramedTransport> m_transport;
  std::shared_ptr<apache::thrift::protocol::TProtocol> m_protocol;
};

/**
 * One kept connection to a peer. A call that gets no answer before its deadline closes the connection, so a
 * connection that has gone silent is replaced by the next call. Thread-safe; calls run one at a time.
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
   * Runs a function on the generated client. A kept connection that turns out to be closed is reopened once,
   * so the function must be safe to repeat.
   */
  template<typename Function>
  Result<void> Call(Deadline aDeadline, Function aFunction)
  {
    const std::lock_guard lock(m_mutex);
    const bool kept = m_client != nullptr;
    Result<void> result = Attempt(aDeadline, aFunction);
    if (!result && kept && !m_timedOut && TimeLeft(aDeadline).count() > 0) {
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
    } catch (const TTransportException& fault) {
      m_timedOut = fault.getType() == TTransportException::TIMED_OUT || TimeLeft(aDeadline).count() == 0;
      return Broken(fault.what());
    } catch (const std::exception& fault) {
      return Broken(fault.what());
    }
  }

  void Connect(Deadline aDeadline)
  {
    const auto left = std::max(TimeLeft(aDeadline), std::chrono::milliseconds(1));
    if (m_client == nullptr) {
      m_connection = std::make_unique<RpcConnection>(m_address);
      m_connection->Open(left);
      m_client = std::make_unique<Client>(m_connection->Protocol());
    }
    m_connection->SetTimeout(left);
  }

  Result<void> Broken(const char* aReason)
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
