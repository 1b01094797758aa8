#pragma once

#include "common/address.h"
#include "common/error.h"
#include "http/exchange.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

class ServerConnection;

/** Limits on the requests that a server accepts. */
struct HttpLimits
{
  size_t headerBytes = 16UL * 1024;
  size_t bodyBytes = 1024UL * 1024;
  /** Bytes behind a rejected request that are read and dropped, so that a peer still sending gets the
   * response. */
  size_t discardedBytes = 512UL * 1024;
  /** Longest time from the first byte of a request to the end of its head. */
  std::chrono::milliseconds headerTimeout{ 30000 };
  /** Longest time without a byte between requests or within a body. */
  std::chrono::milliseconds idleTimeout{ 30000 };
};

/** A response of which the peer doesn't have all bytes yet. */
struct UndeliveredResponse
{
  /** Empty if the handler named none. */
  std::string callId;
  /** Whether further bytes of the response are expected from the handler. */
  bool isWaiting = false;
  /** Bytes that haven't been written to the socket. */
  size_t unsentBytes = 0;
  /** Bytes that were written to the socket and that the peer hasn't acknowledged; nothing if unknown. */
  std::optional<size_t> unacknowledgedBytes;
};

/** Why a request can't be read, with the status of the response. */
struct UnreadableRequest
{
  int status = 400;
  std::string reason;
};

/** An HTTP/1.1 server on one address that passes each complete request to a handler. */
class HttpServer
{
public:
  using Handler = std::function<void(const ExchangePointer&)>;
  using ErrorResponseMaker = std::function<HttpResponse(const UnreadableRequest&)>;

  struct Options
  {
    Address address;
    Handler handler;
    /** Makes the response to a request that can't be read; if empty, the response is plain text. */
    ErrorResponseMaker makeErrorResponse;
    /** Event loops that serve the connections; if null, the server creates one. */
    EventLoops* loops = nullptr;
    size_t maximumConnections = 2000;
    HttpLimits limits;
  };

  /** Binds the address and starts serving; fails if the address can't be bound. */
  static Result<std::unique_ptr<HttpServer>> Start(Options aOptions);

  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Accepts no further connections; those that are established aren't affected. */
  void StopListening();

  /** From now on, closes each connection after the response to the last request that it has read. */
  void CloseAfterResponses();

  /** Returns the responses of which the peers lack bytes; not to be called on a loop of the server. */
  std::vector<UndeliveredResponse> UndeliveredResponses() const;

  /** Returns whether the peers have all bytes of all responses; not to be called on a loop of the server. */
  bool HasDelivered() const;

  /** Returns whether nothing has arrived for so long that no request should be on its way. */
  bool IsQuiet() const;

  /**
   * Stops listening, and waits until the peers have all responses to the requests of which a part was read
   * and the server is quiet. Returns whether they have all responses; not to be called on a loop of the
   * server.
   */
  bool Drain(Deadline aDeadline);

  /** Changes the limits for requests that begin after this call. */
  void SetLimits(const HttpLimits& aLimits);

private:
  friend class ServerConnection;

  /** State that connections share with their server; it may outlive the server. */
  struct Shared
  {
    Options options;
    std::mutex mutex;
    HttpLimits limits;
    std::atomic<size_t> connections{ 0 };
    /** Requests that were read and whose responses weren't written completely. */
    std::atomic<size_t> openExchanges{ 0 };
    /** When a connection was accepted or bytes of a request were read last. */
    std::atomic<Deadline> lastArrivalAt{ Deadline{} };
    /** Guarded by the mutex. */
    std::set<ServerConnection*> openConnections;
    std::atomic<bool> closing{ false };
    /** The server is being destroyed, so no connection may begin to use its handler. */
    std::atomic<bool> ended{ false };
  };

  HttpServer() = default;

  Result<void> Listen();
  std::map<EventLoop*, std::vector<std::shared_ptr<ServerConnection>>> ConnectionsByLoop() const;
  void Accept();
  /** Serves a connection, unless there are too many or the server has ended. */
  static void Serve(const std::shared_ptr<Shared>& aShared,
                    boost::asio::ip::tcp::socket aSocket,
                    EventLoop& aLoop);
  /** Serves the connections that the kernel has established; only on the acceptor's loop. */
  void AcceptEstablished();

  std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
  std::unique_ptr<EventLoops> m_ownLoops;
  EventLoops* m_loops = nullptr;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
};

} // namespace mimosarun
