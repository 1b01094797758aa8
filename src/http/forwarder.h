#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "http/eventloop.h"
#include "http/message.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace mimosarun {

/** How an outgoing request ended. */
enum class ForwardResult
{
  /** The whole answer arrived. */
  Complete,
  /** No connection could be made, so the peer never saw the request. */
  NotSent,
  /** A kept connection broke before any byte of an answer; the peer may have closed it while it was idle. */
  ReusedConnectionClosed,
  /** The connection broke or the answer was damaged after the request may have been sent. */
  Broken,
  /** The deadline passed. */
  TimedOut,
  /** The sender gave it up. */
  Cancelled,
};

/** An outgoing request. */
struct ForwardRequest
{
  Address destination;
  HttpRequest request;
  Deadline deadline;
  /** Longest time to wait for a new connection. */
  std::chrono::milliseconds connectTimeout{ 1000 };
  /** Kept connections that were idle for longer aren't used. */
  std::chrono::milliseconds longestIdle{ 20000 };
  /** Sent bytes that stay unacknowledged for this long break the connection. */
  std::chrono::milliseconds unacknowledgedTimeout{ 2000 };
  /** Kept connections are shared only among requests with the same value; raise it to leave old ones behind.
   */
  uint32_t connectionGeneration = 0;
};

/** What becomes of an answer whose head has arrived. */
enum class HeadAction
{
  Accept,
  /** It belongs to another request; drop it and wait for the next one on the connection. */
  Skip,
};

/** Receives the answer of an outgoing request on the loop that sent it. */
class ForwardListener
{
public:
  virtual ~ForwardListener() = default;

  virtual HeadAction OnHead(const HttpResponseHead& aHead) = 0;

  /** A piece of the body; false pauses the transfer until ForwardTransfer::Resume(). */
  virtual bool OnBody(std::string_view aBytes) = 0;

  /** The end; nothing follows. */
  virtual void OnEnd(ForwardResult aEnd) = 0;
};

class ConnectionPool;
class ForwardTransfer;

/** Handle of a request that was started. */
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

  /** Gives a request up; its connection is closed, so that the peer sees it. OnEnd() isn't called. */
  void Cancel() const;

private:
  std::weak_ptr<ForwardTransfer> m_transfer;
};

/** Sends requests over kept connections, without a thread that waits. Each loop has its own connections. */
class Forwarder
{
public:
  Forwarder() = default;
  ~Forwarder();

  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  /** Sends a request; called on the loop, on which the listener is called too, never within this call. */
  ForwardHandle Start(EventLoop& aLoop, ForwardRequest aRequest, std::shared_ptr<ForwardListener> aListener);

private:
  std::shared_ptr<ConnectionPool> PoolFor(EventLoop& aLoop);

  std::mutex m_mutex;
  std::map<EventLoop*, std::shared_ptr<ConnectionPool>> m_pools;
};

} // namespace mimosarun
