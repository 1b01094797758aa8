#pragma once

#include "common/clock.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace mimosarun {

/** A connection that serves one request at a time. */
struct ClientConnection
{
  explicit ClientConnection(boost::asio::io_context& aContext)
    : socket(aContext)
  {
  }

  boost::asio::ip::tcp::socket socket;
  /** The peer closes it when it has been idle until then. */
  Deadline usableUntil = Deadline::max();
  Deadline idleSince{};
  /** Rises with each use, so that a watch of an idle time knows whether it still applies. */
  uint64_t useCount = 0;
};

/**
 * Idle connections of one loop. One that becomes readable while it is idle is closed: the peer has hung up or
 * sent bytes that belong to no request.
 */
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  using ConnectionPointer = std::shared_ptr<ClientConnection>;

  /** The connection used last among those that were idle for at most a time, or none. */
  ConnectionPointer Acquire(const std::string& aKey, std::chrono::milliseconds aLongestIdle);

  /** Keeps a connection that has nothing under way. */
  void Release(const std::string& aKey, ConnectionPointer aConnection);

private:
  void WatchForClose(const std::string& aKey, const ConnectionPointer& aConnection);
  void Remove(const std::string& aKey, const ConnectionPointer& aConnection);

  std::map<std::string, std::deque<ConnectionPointer>> m_idle;
};

} // namespace mimosarun
