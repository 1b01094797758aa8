#pragma once

#include "http/growingbody.h"
#include "http/headwriter.h"
#include "http/peersilence.h"
#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/**
 * A connection of a server. It keeps reading while responses are pending, so that it serves pipelined
 * requests concurrently and notices a disconnect at once; responses are sent in the order of the requests.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  using SharedPointer = std::shared_ptr<HttpServer::Shared>;

  /** Starts serving a socket on the given loop. */
  static void Begin(boost::asio::ip::tcp::socket aSocket, SharedPointer aShared, EventLoop& aLoop);

  ServerConnection(boost::asio::ip::tcp::socket aSocket, SharedPointer aShared, EventLoop& aLoop);
  ~ServerConnection();

  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  EventLoop& Loop() const { return m_loop; }

  /**
   * Appends the responses of which the peer lacks bytes, also one for a request that is being read; only on
   * the connection's loop.
   */
  void AppendUndelivered(std::vector<UndeliveredResponse>& aResponses);

  /** Sends the available output of the first exchange. */
  void SendPending();

private:
  using Parser = boost::beast::http::request_parser<GrowingBody>;

  void ResetParser();
  void Read();
  void OnRead(const boost::system::error_code& aError, size_t aLength);
  bool ParseBuffered();
  bool IsPipelineFull() const;
  /** Returns whether a part of the next request has arrived. */
  bool HasRequestBegun() const;
  void SendContinueIfExpected();
  void HandleRequest();
  void RejectUnreadable(const boost::system::error_code& aError);
  void RespondWithError(const UnreadableRequest& aRequest);
  void AddExchange(const ExchangePointer& aExchange);

  static BodyFraming FramingOf(const Exchange& aExchange);
  std::string NextOutput(Exchange& aFirst);
  /** Makes the response of the first exchange the connection's last one. */
  void CloseAfterFirst();
  /** Returns whether a response has begun that looks complete if the connection ends now. */
  bool IsWithinResponseUntilClose() const;
  /** Sends m_output. */
  void WriteOutput();
  void OnWritten(const boost::system::error_code& aError);
  void FinishFirst();

  /** Has the peer checked once a second until it has all bytes. */
  void WatchPeer();
  /** Closes the connection if the peer is gone or stalled. */
  void CheckPeer();

  void Linger();
  void ResetTimer();
  void WaitForTimer();
  void OnTimer();
  void Close();

  boost::asio::ip::tcp::socket m_socket;
  SharedPointer m_shared;
  EventLoop& m_loop;
  HttpLimits m_limits;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  boost::asio::steady_timer m_timer;
  boost::asio::steady_timer m_peerTimer;
  PeerSilence m_peerSilence;
  std::deque<ExchangePointer> m_exchanges;
  /** Identifier of the call whose response was written last. */
  std::string m_lastCallId;
  /** Keeps the connection alive while it doesn't read, as its pipeline is full. */
  std::shared_ptr<ServerConnection> m_selfWhileFull;
  std::string m_output;
  size_t m_discardedBytes = 0;
  std::optional<Deadline> m_headDeadline;
  bool m_lingering = false;
  bool m_reading = false;
  bool m_writing = false;
  /** The system tells whether the peer answers, so CheckPeer() takes the place of the kernel's limit. */
  bool m_canWatchPeer = false;
  bool m_watchingPeer = false;
  /** Nothing was written since the peer had acknowledged all bytes. */
  bool m_allAcknowledged = true;
  bool m_rejected = false;
  bool m_closed = false;
  bool m_lastRequestRead = false;
  bool m_continueSent = false;
};

} // namespace mimosarun
