#include "wire/rpcclient.h"

#include "wire/limits.h"

namespace mimosarun {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;

RpcConnection::RpcConnection(const Address& aAddress)
  : m_socket(std::make_shared<TSocket>(aAddress.host, aAddress.port, MessageLimits()))
  , m_transport(std::make_shared<TFramedTransport>(m_socket, MessageLimits()))
  , m_protocol(std::make_shared<TCompactProtocol>(m_transport))
{
  m_socket->setNoDelay(true);
}

RpcConnection::~RpcConnection()
{
  try {
    m_transport->close();
  } catch (const std::exception&) {
    // The connection is closed in any case.
  }
}

void
RpcConnection::Open(std::chrono::milliseconds aTimeLeft)
{
  m_socket->setConnTimeout(static_cast<int>(aTimeLeft.count()));
  m_transport->open();
}

void
RpcConnection::SetTimeout(std::chrono::milliseconds aTimeLeft)
{
  const int milliseconds = static_cast<int>(aTimeLeft.count());
  m_socket->setRecvTimeout(milliseconds);
  m_socket->setSendTimeout(milliseconds);
}

std::shared_ptr<apache::thrift::protocol::TProtocol>
RpcConnection::Protocol() const
{
  return m_protocol;
}

} // namespace mimosarun
