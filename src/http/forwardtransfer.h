#pragma once

#include "http/acknowledgementwatch.h"
#include "http/connectionpool.h"
#include "http/forwarder.h"
#include "http/growingbody.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>

namespace mimosarun {

/** One outgoing request with its connection and response. All its functions run on one event loop. */
class ForwardTransfer : public std::enable_shared_from_this<ForwardTransfer>
{
public:
  ForwardTransfer(EventLoop& aLoop,
                  std::shared_ptr<ConnectionPool> aPool,
                  ForwardRequest aRequest,
                  std::shared_ptr<ForwardListener> aListener);

  void Begin();
  void Resume();
  void Cancel();

private:
  using Parser = boost::beast::http::response_parser<GrowingBody>;

  void Connect();
  void OnConnected(const boost::system::error_code& aError);
  void Send();
  void Write();
  void OnWritten(const boost::system::error_code& aError, size_t aLength);
  /**
   * Returns whether a write has met a failure of the connection, such as a reset. The system reports it only
   * once, and a read then reports the end of the stream, though the peer hasn't sent that. If the peer had
   * sent it before the failure, the write gets a broken pipe instead.
   */
  bool HasConnectionFailed() const;
  void ResetParser();
  void Read();
  void OnRead(const boost::system::error_code& aError, size_t aLength);
  void ParseBuffered();
  bool HandleHead();
  void DeliverBody();
  void OnMessageEnd();
  void KeepConnectionIfReusable();
  /** Starts the timer for the end of the transfer or, if that is earlier, for the next check for silence. */
  void StartTimer(Deadline aEndsAt);
  void OnTimer();
  /** Goes on without a receiver, if the listener wants that; returns whether it does. */
  bool Abandon();
  /** Frees what only the sending of the request needs. */
  void ReleaseRequest();
  void CheckForSilence();
  void End(ForwardResult aResult);
  ForwardResult ReadErrorResult() const;

  EventLoop& m_loop;
  std::shared_ptr<ConnectionPool> m_pool;
  ForwardRequest m_request;
  std::shared_ptr<ForwardListener> m_listener;
  const std::string m_poolKey;
  ConnectionPool::ConnectionPointer m_connection;
  boost::asio::steady_timer m_timer;
  Deadline m_endsAt{};
  std::string m_output;
  size_t m_writtenBytes = 0;
  boost::system::error_code m_writeError;
  /** Set while the listener is to be told of silence. */
  std::optional<AcknowledgementWatch> m_acknowledgements;
  /** Grows while reads fill the buffer. */
  size_t m_readSizeBytes;
  boost::beast::flat_buffer m_buffer;
  std::optional<Parser> m_parser;
  bool m_reusedConnection = false;
  bool m_connected = false;
  bool m_requestWritten = false;
  bool m_receivedAnyByte = false;
  bool m_headHandled = false;
  bool m_skipping = false;
  /** Received before the head of the response that the listener accepted. */
  size_t m_skippedBytes = 0;
  bool m_paused = false;
  /** Keeps the transfer alive while it is paused. */
  std::shared_ptr<ForwardTransfer> m_selfWhilePaused;
  /** Nobody waits for the response any more. */
  bool m_abandoned = false;
  bool m_ended = false;
};

} // namespace mimosarun
