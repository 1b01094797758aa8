#include "http/server.h"

#include "http/serverconnection.h"

#include <boost/asio/dispatch.hpp>

#include <future>
#include <thread>

namespace mimosarun {

using boost::asio::ip::tcp;

/** Delay after a failed accept, for example when the process has run out of file descriptors. */
static constexpr std::chrono::milliseconds kAcceptRetryDelay{ 20 };
static constexpr std::chrono::milliseconds kDrainPollInterval{ 10 };
/** Longer than a request is under way on a full link. */
static constexpr std::chrono::milliseconds kQuietTime{ 500 };

Result<std::unique_ptr<HttpServer>>
HttpServer::Start(Options aOptions)
{
  std::unique_ptr<HttpServer> server(new HttpServer());
  server->m_loops = aOptions.loops;
  if (server->m_loops == nullptr) {
    server->m_ownLoops = std::make_unique<EventLoops>(1);
    server->m_loops = server->m_ownLoops.get();
  }
  server->m_shared->limits = aOptions.limits;
  server->m_shared->options = std::move(aOptions);
  BOOST_OUTCOME_TRYV(server->Listen());
  server->Accept();
  return server;
}

HttpServer::~HttpServer()
{
  m_shared->ended = true;
  StopListening();
  if (m_ownLoops) {
    m_ownLoops->Stop();
  }
}

Result<void>
HttpServer::Listen()
{
  const Address& address = m_shared->options.address;
  boost::system::error_code error;
  m_acceptor = std::make_shared<tcp::acceptor>(m_loops->First().Context());
  const tcp::endpoint endpoint(boost::asio::ip::make_address(address.host, error), address.port);
  m_acceptor->open(tcp::v4(), error);
  m_acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  m_acceptor->bind(endpoint, error);
  if (!error) {
    m_acceptor->listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorKind::Unreachable,
                address.Text() + ": can't listen (" + error.message() +
                  "); free the port or change the settings");
  }
  return boost::outcome_v2::success();
}

void
HttpServer::Accept()
{
  EventLoop& loop = m_loops->Next();
  m_acceptor->async_accept(
    loop.Context(),
    [this, shared = m_shared, acceptor = m_acceptor, &loop](const auto& aError, tcp::socket aSocket) {
      if (!aError) {
        Serve(shared, std::move(aSocket), loop);
      }
      // The server may have ended together with its acceptor.
      if (aError == boost::asio::error::operation_aborted || !acceptor->is_open()) {
        return;
      }
      if (aError) {
        m_loops->First().RunAt(SteadyClock::now() + kAcceptRetryDelay, [this, acceptor] {
          if (acceptor->is_open()) {
            Accept();
          }
        });
        return;
      }
      Accept();
    });
}

void
HttpServer::Serve(const std::shared_ptr<Shared>& aShared, tcp::socket aSocket, EventLoop& aLoop)
{
  aShared->lastArrivalAt = SteadyClock::now();
  if (!aShared->ended && aShared->connections < aShared->options.maximumConnections) {
    ServerConnection::Begin(std::move(aSocket), aShared, aLoop);
  }
}

void
HttpServer::AcceptEstablished()
{
  boost::system::error_code error;
  m_acceptor->non_blocking(true, error);
  while (!error) {
    EventLoop& loop = m_loops->Next();
    tcp::socket socket(loop.Context());
    m_acceptor->accept(socket, error);
    if (!error) {
      Serve(m_shared, std::move(socket), loop);
    }
  }
}

void
HttpServer::StopListening()
{
  if (!m_acceptor) {
    return;
  }
  // The loop may be accepting a connection, so the acceptor is closed on the loop's thread.
  std::promise<void> closed;
  const auto close = [&] {
    boost::system::error_code ignored;
    m_acceptor->close(ignored);
    closed.set_value();
  };
  if (m_loops->First().Context().stopped()) {
    close();
  } else {
    m_loops->First().Dispatch([&] {
      // Closing the acceptor resets the connections that the kernel has established and nobody has accepted.
      AcceptEstablished();
      close();
    });
  }
  closed.get_future().wait();
}

void
HttpServer::CloseAfterResponses()
{
  m_shared->closing = true;
}

std::map<EventLoop*, std::vector<std::shared_ptr<ServerConnection>>>
HttpServer::ConnectionsByLoop() const
{
  std::map<EventLoop*, std::vector<std::shared_ptr<ServerConnection>>> connections;
  const std::lock_guard lock(m_shared->mutex);
  for (ServerConnection* const connection : m_shared->openConnections) {
    if (auto locked = connection->weak_from_this().lock()) {
      connections[&locked->Loop()].push_back(std::move(locked));
    }
  }
  return connections;
}

std::vector<UndeliveredResponse>
HttpServer::UndeliveredResponses() const
{
  std::vector<UndeliveredResponse> undelivered;
  for (auto& [loop, connections] : ConnectionsByLoop()) {
    std::promise<void> collected;
    // The connections are passed on, as their last references must end on the loop.
    loop->Dispatch([&undelivered, &collected, onLoop = std::move(connections)] {
      for (const auto& connection : onLoop) {
        connection->AppendUndelivered(undelivered);
      }
      collected.set_value();
    });
    collected.get_future().wait();
  }
  return undelivered;
}

bool
HttpServer::HasDelivered() const
{
  return m_shared->openExchanges == 0 && UndeliveredResponses().empty();
}

bool
HttpServer::IsQuiet() const
{
  return SteadyClock::now() >= m_shared->lastArrivalAt.load() + kQuietTime;
}

bool
HttpServer::Drain(Deadline aDeadline)
{
  StopListening();
  CloseAfterResponses();
  while (SteadyClock::now() < aDeadline) {
    if (HasDelivered() && IsQuiet()) {
      return true;
    }
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  return HasDelivered();
}

void
HttpServer::SetLimits(const HttpLimits& aLimits)
{
  const std::lock_guard lock(m_shared->mutex);
  m_shared->limits = aLimits;
}

} // namespace mimosarun
