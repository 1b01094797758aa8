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
 * One request at a server and its answer, whole or in pieces; no thread waits for it. Respond() may be called
 * on any thread, everything else on the loop of the connection only.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(HttpRequest aRequest, EventLoop& aLoop);

  const HttpRequest& Request() const { return m_request; }
  EventLoop& Loop() const { return m_loop; }

  /** When the whole request had been read. */
  Deadline ReceivedAt() const { return m_receivedAt; }

  /** Answers with a whole body; ignored once an answer has begun. */
  void Respond(HttpResponse aResponse);

  /** Begins an answer whose body follows by Write(); false if an answer has begun already. */
  bool Start(HttpResponseHead aHead);

  /** Adds a piece of the body; false when much of it waits and the writer should wait for a drain. */
  bool Write(std::string_view aBytes);

  /** Ends the body. An incomplete one closes the connection so that the cut shows. */
  void Finish(bool aComplete);

  /** Called once when the other end has gone before the answer was complete. */
  void OnCancel(std::function<void()> aCallback);

  /** Called when a full buffer has room again. */
  void OnDrain(std::function<void()> aCallback);

  /**
   * Called once, perhaps at once, when all requests that came before this one on its connection have been
   * answered; not at all if the connection closes before.
   */
  void OnFirstInPipeline(std::function<void()> aCallback);

  bool Started() const { return m_stage != Stage::Waiting; }

private:
  friend class ServerConnection;

  /** How far the answer is. */
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
  EventLoop& m_loop;
  const Deadline m_receivedAt;
  Stage m_stage = Stage::Waiting;
  HttpResponseHead m_head;
  /** Part of the body that waits to be sent. */
  std::string m_body;
  bool m_headSent = false;
  bool m_writerWaits = false;
  bool m_cancelled = false;
  bool m_firstInPipeline = false;
  bool m_keepAlive = true;
  std::weak_ptr<ServerConnection> m_connection;
  std::function<void()> m_onCancel;
  std::function<void()> m_onDrain;
  std::function<void()> m_onFirstInPipeline;
};

using ExchangePointer = std::shared_ptr<Exchange>;

} // namespace mimosarun
