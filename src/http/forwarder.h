#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "http/message.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mimosarun {

/** How an outgoing request ended. */
enum class ForwardEnd
{
  /** The whole answer arrived. */
  Complete,
  /** No connection could be made, so the peer never saw the request. */
  NotSent,
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
  Address to;
  HttpRequest request;
  Deadline deadline;
  /** Use a new connection, so that the library never sends the request a second time by itself. */
  bool freshConnection = false;
  /** Kept connections are shared only among requests with the same value; raise it to leave old ones behind.
   */
  uint32_t connectionGeneration = 0;
};

/** Receives the answer of an outgoing request on a thread of the Forwarder. */
class ForwardListener
{
public:
  virtual ~ForwardListener() = default;

  virtual void OnHead(const HttpHead& aHead) = 0;

  /** A piece of the body; false pauses the transfer until Forwarder::Resume(). */
  virtual bool OnBody(std::string_view aBytes) = 0;

  /** The end; nothing follows. */
  virtual void OnEnd(ForwardEnd aEnd) = 0;
};

/** Names a request that was started. */
struct ForwardTicket
{
  uint64_t number = 0;
};

class ForwarderShard;

/**
 * Sends requests over kept connections on a few threads, none of which waits for an answer. Each thread has
 * its own connections.
 */
class Forwarder
{
public:
  explicit Forwarder(unsigned int aThreads);
  ~Forwarder();

  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  ForwardTicket Start(ForwardRequest aRequest, std::shared_ptr<ForwardListener> aListener);

  /** Continues a paused transfer. */
  void Resume(ForwardTicket aTicket);

  /** Gives a request up; its connection is closed, so that the peer sees it. */
  void Cancel(ForwardTicket aTicket);

private:
  ForwarderShard& ShardOf(ForwardTicket aTicket);

  std::vector<std::unique_ptr<ForwarderShard>> m_shards;
  std::atomic<uint64_t> m_next{ 0 };
};

} // namespace mimosarun
