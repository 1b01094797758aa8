#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "http/eventloop.h"
#include "http/message.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace mimosarun {

/** How an outgoing request ended. */
enum class ForwardResult
{
  /** The complete response arrived. */
  Complete,
  /** No connection could be established, so the peer never received the request. */
  NotSent,
  /** A reused connection broke before any byte of a response; the peer may have closed it when idle. */
  ReusedConnectionClosed,
  /** The connection broke or the response was invalid, after the request may have been sent. */
  Broken,
  /** The deadline passed. */
  TimedOut,
  /** The sender cancelled the request. */
  Cancelled,
};

/** Largest head of a response that is accepted from a target. */
inline constexpr uint32_t kResponseHeadLimitBytes = 64U * 1024;

/** An outgoing request. */
struct ForwardRequest
{
  Address destination;
  HttpRequest request;
  Deadline deadline;
  /** Limit for establishing a new connection. */
  std::chrono::milliseconds connectTimeout{ 1000 };
  /** Connections that were idle for longer aren't reused. */
  std::chrono::milliseconds longestIdle{ 20000 };
  /** The connection breaks when sent bytes stay unacknowledged for this long. */
  std::chrono::milliseconds unacknowledgedTimeout{ 2000 };
  /** The listener is told when no sent byte was acknowledged for this long; nothing means never. */
  std::optional<std::chrono::milliseconds> silenceTime;
  /** Only requests with the same value share connections; increase it to stop using older ones. */
  uint32_t connectionGeneration = 0;
  /** A response with a larger head is invalid. */
  uint32_t headLimitBytes = kResponseHeadLimitBytes;
};

/** What to do with a response whose head has arrived. */
enum class HeadAction
{
  Accept,
  /** The response belongs to another request: discard it and wait for the next one on the connection. */
  Skip,
};

/** Receives the response to an outgoing request, on the loop that sent the request. */
class ForwardListener
{
public:
  virtual ~ForwardListener() = default;

  virtual HeadAction OnHead(const HttpResponseHead& aHead) = 0;

  /** Receives a piece of the body; returning false pauses the transfer until ForwardHandle::Resume(). */
  virtual bool OnBody(std::string_view aBytes) = 0;

  /**
   * Called at most once, if the peer has acknowledged nothing of the request for
   * ForwardRequest::silenceTime and no response has begun. The connection stays open, and the response may
   * still arrive.
   */
  virtual void OnSilence() {}

  /** Called with the result of the request, last unless OnAbandoned() was called. */
  virtual void OnEnd(ForwardResult aResult) = 0;

  /**
   * Returns for how long the transfer goes on without a receiver once its deadline has passed or it was
   * cancelled, if the peer has the request and no response has begun. Its connection is then closed for
   * sending only, which a peer that watches for the end of its connections takes for that, and OnAbandoned()
   * is called. Zero closes the connection.
   */
  virtual std::chrono::milliseconds AbandonedTime() const { return std::chrono::milliseconds(0); }

  /** Called before OnEnd() when the transfer goes on without a receiver. */
  virtual void OnAbandoned() {}

  /**
   * Called last if OnAbandoned() was called: Complete means that the peer has responded, TimedOut that it did
   * nothing for AbandonedTime(), any other result that the connection has ended.
   */
  virtual void OnAbandonedEnd(ForwardResult /*aResult*/) {}
};

class ConnectionPool;
class ForwardTransfer;

/** Handle of a request that is being sent. */
class ForwardHandle
{
public:
  ForwardHandle() = default;
  explicit ForwardHandle(std::weak_ptr<ForwardTransfer> aTransfer)
    : m_transfer(std::move(aTransfer))
  {
  }

  /** Continues a paused transfer. */
  void Resume() const;

  /**
   * Cancels the request and closes its connection, at least for sending, so that the peer notices. OnEnd()
   * isn't called.
   */
  void Cancel() const;

private:
  std::weak_ptr<ForwardTransfer> m_transfer;
};

/** Sends requests asynchronously over pooled connections; each event loop has its own pool. */
class Forwarder
{
public:
  Forwarder() = default;
  ~Forwarder();

  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  /** Sends a request; call it on the given loop, where the listener is called after this function returns. */
  ForwardHandle Start(EventLoop& aLoop, ForwardRequest aRequest, std::shared_ptr<ForwardListener> aListener);

private:
  std::shared_ptr<ConnectionPool> PoolFor(EventLoop& aLoop);

  std::mutex m_mutex;
  std::map<EventLoop*, std::shared_ptr<ConnectionPool>> m_pools;
};

} // namespace mimosarun
