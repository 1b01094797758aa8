#pragma once

#include "common/clock.h"
#include "http/eventloop.h"
#include "http/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mimosarun {

class ServerConnection;

/**
 * A request to a server and its response, which is sent whole or in pieces and blocks no thread. Respond() is
 * thread-safe; all other functions may only be called on the loop of the connection.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(HttpRequest aRequest, EventLoop& aLoop);

  const HttpRequest& Request() const { return m_request; }
  EventLoop& Loop() const { return m_loop; }

  /** Sets the identifier by which logs name the request. */
  void SetCallId(std::string aCallId) { m_callId = std::move(aCallId); }

  /** Returns when the request had been read completely. */
  Deadline ReceivedAt() const { return m_receivedAt; }

  /** Sends a complete response; ignored if a response was started before. */
  void Respond(HttpResponse aResponse);

  /** Starts a response whose body is sent by Write(); returns false if one was started before. */
  bool Start(HttpResponseHead aHead);

  /** Sends a piece of the body; returns false if the buffer is full until the OnDrain() callback runs. */
  bool Write(std::string_view aBytes);

  /** Ends the body. If it is incomplete, closes the connection, so that the peer sees the truncation. */
  void Finish(bool aComplete);

  /** Sets a callback that runs once if the peer disconnects before the response is complete. */
  void OnCancel(std::function<void()> aCallback);

  /** Sets a callback that runs when a full buffer has been sent. */
  void OnDrain(std::function<void()> aCallback);

  /**
   * Sets a callback that runs once, possibly at once, when all earlier requests of the connection have been
   * responded to. It doesn't run if the connection closes first.
   */
  void OnFirstInPipeline(std::function<void()> aCallback);

  bool Started() const { return m_stage != Stage::Waiting; }

private:
  friend class ServerConnection;

  /** Progress of the response. */
  enum class Stage
  {
    Waiting,
    Started,
    Finished,
    Broken,
  };

  void Cancel();
  void NotifyDrained();
  void BecomeFirstInPipeline();
  void NotifyConnection();

  HttpRequest m_request;
  std::string m_callId;
  EventLoop& m_loop;
  const Deadline m_receivedAt;
  Stage m_stage = Stage::Waiting;
  HttpResponseHead m_head;
  /** Part of the body that hasn't been sent yet. */
  std::string m_body;
  bool m_headSent = false;
  /** The end of the response was passed to the socket, which with chunks is a write of its own. */
  bool m_endSent = false;
  bool m_writerWaits = false;
  bool m_cancelled = false;
  bool m_firstInPipeline = false;
  bool m_keepAlive = true;
  /** Whether the peer's version of the protocol has chunks. */
  bool m_acceptsChunks = true;
  std::weak_ptr<ServerConnection> m_connection;
  std::function<void()> m_onCancel;
  std::function<void()> m_onDrain;
  std::function<void()> m_onFirstInPipeline;
};

using ExchangePointer = std::shared_ptr<Exchange>;

} // namespace mimosarun
