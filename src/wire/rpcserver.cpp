#include "wire/rpcserver.h"

#include "wire/limits.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/TOutput.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <future>

namespace mimosarun {

using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TServerEventHandler;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransportFactory;
using apache::thrift::transport::TServerSocket;

/** Connections without a complete request for this long are closed; heartbeats come far more often. */
static constexpr std::chrono::milliseconds kIdleTimeout{ 30000 };
static constexpr std::chrono::seconds kStartTimeout{ 5 };

/** Creates framed transports with the message limits. */
class LimitedTransportFactory : public TFramedTransportFactory
{
public:
  std::shared_ptr<apache::thrift::transport::TTransport> getTransport(
    std::shared_ptr<apache::thrift::transport::TTransport> aTransport) override
  {
    return std::make_shared<apache::thrift::transport::TFramedTransport>(aTransport, MessageLimits());
  }
};

/** Signals that the server is listening. */
class StartListener : public TServerEventHandler
{
public:
  void preServe() override { m_started.set_value(); }
  std::future<void> Started() { return m_started.get_future(); }

private:
  std::promise<void> m_started;
};

static void
IgnoreThriftOutput(const char* /*aMessage*/)
{
}

Result<std::unique_ptr<RpcServer>>
RpcServer::Start(const Options& aOptions)
{
  apache::thrift::GlobalOutput.setOutputFunction(&IgnoreThriftOutput);
  const auto serverSocket = std::make_shared<TServerSocket>(aOptions.address.host, aOptions.address.port);
  serverSocket->setRecvTimeout(static_cast<int>(kIdleTimeout.count()));
  serverSocket->setSendTimeout(static_cast<int>(kIdleTimeout.count()));
  const auto threadedServer = std::make_shared<TThreadedServer>(aOptions.processor,
                                                                serverSocket,
                                                                std::make_shared<LimitedTransportFactory>(),
                                                                std::make_shared<TCompactProtocolFactory>());
  threadedServer->setConcurrentClientLimit(aOptions.maximumConnections);
  const auto listener = std::make_shared<StartListener>();
  threadedServer->setServerEventHandler(listener);
  auto started = listener->Started();
  std::unique_ptr<RpcServer> server(new RpcServer());
  server->m_server = threadedServer;
  std::promise<void> ended;
  auto endedEarly = ended.get_future();
  server->m_thread = std::thread([threadedServer, ended = std::move(ended)]() mutable {
    try {
      threadedServer->serve();
    } catch (const std::exception&) {
      // If the port can't be bound, the server ends without having started, which Start() detects below.
    }
    ended.set_value();
  });
  const auto startDeadline = std::chrono::steady_clock::now() + kStartTimeout;
  while (started.wait_for(std::chrono::milliseconds(1)) != std::future_status::ready) {
    const bool failed = endedEarly.wait_for(std::chrono::milliseconds(0)) == std::future_status::ready;
    if (failed || std::chrono::steady_clock::now() > startDeadline) {
      return Fail(ErrorKind::Unreachable,
                  aOptions.address.Text() + ": can't listen; free the port or change the settings");
    }
  }
  return server;
}

RpcServer::~RpcServer()
{
  m_server->stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

} // namespace mimosarun
