#pragma once

#include "common/clock.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace mimosarun {

/** A client connection, which carries one request at a time. */
struct ClientConnection
{
  explicit ClientConnection(boost::asio::io_context& aContext)
    : socket(aContext)
  {
  }

  boost::asio::ip::tcp::socket socket;
  /** Time at which the peer closes the connection if it is still idle. */
  Deadline usableUntil = Deadline::max();
  Deadline idleSince{};
  /** Increases with each use, so that WatchForClose() can tell whether its idle period has ended. */
  uint64_t useCount = 0;
};

/**
 * Idle connections of one event loop. An idle connection that becomes readable is closed, because the peer
 * has disconnected or sent bytes that belong to no request.
 */
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  using ConnectionPointer = std::shared_ptr<ClientConnection>;

  /** Removes and returns the connection that was used last; null if all were idle for longer than given. */
  ConnectionPointer Acquire(const std::string& aKey, std::chrono::milliseconds aLongestIdle);

  /** Adds a connection on which no request is in progress. */
  void Release(const std::string& aKey, ConnectionPointer aConnection);

private:
  void WatchForClose(const std::string& aKey, const ConnectionPointer& aConnection);
  void Remove(const std::string& aKey, const ConnectionPointer& aConnection);

  std::map<std::string, std::deque<ConnectionPointer>> m_idle;
};

} // namespace mimosarun
