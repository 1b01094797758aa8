#include "http/connectionpool.h"

#include <algorithm>

namespace mimosarun {

static constexpr size_t kMaximumIdlePerPeer = 64;
/** Connections that were idle for longer are closed. */
static constexpr std::chrono::milliseconds kLongestIdle{ 30000 };

static void
Close(ClientConnection& aConnection)
{
  boost::system::error_code ignored;
  aConnection.socket.close(ignored);
}

ConnectionPool::ConnectionPointer
ConnectionPool::Acquire(const std::string& aKey, std::chrono::milliseconds aLongestIdle)
{
  const auto found = m_idle.find(aKey);
  if (found == m_idle.end()) {
    return nullptr;
  }
  const Deadline now = SteadyClock::now();
  while (!found->second.empty()) {
    const ConnectionPointer connection = found->second.back();
    const bool usable = now < connection->usableUntil && now < connection->idleSince + aLongestIdle;
    if (!usable && now < connection->usableUntil) {
      // The other connections were idle for even longer, but other requests may still accept them.
      return nullptr;
    }
    found->second.pop_back();
    ++connection->useCount;
    boost::system::error_code ignored;
    connection->socket.cancel(ignored);
    if (usable) {
      return connection;
    }
    Close(*connection);
  }
  return nullptr;
}

void
ConnectionPool::Release(const std::string& aKey, ConnectionPointer aConnection)
{
  const Deadline now = SteadyClock::now();
  aConnection->idleSince = now;
  std::deque<ConnectionPointer>& idleConnections = m_idle[aKey];
  idleConnections.push_back(aConnection);
  while (idleConnections.size() > kMaximumIdlePerPeer ||
         now > idleConnections.front()->idleSince + kLongestIdle) {
    ++idleConnections.front()->useCount;
    Close(*idleConnections.front());
    idleConnections.pop_front();
  }
  WatchForClose(aKey, aConnection);
}

void
ConnectionPool::WatchForClose(const std::string& aKey, const ConnectionPointer& aConnection)
{
  aConnection->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                                 [weak = weak_from_this(),
                                  aKey,
                                  connection = std::weak_ptr(aConnection),
                                  useCount = aConnection->useCount](const boost::system::error_code&) {
                                   const auto self = weak.lock();
                                   const auto lockedConnection = connection.lock();
                                   if (self && lockedConnection && lockedConnection->useCount == useCount) {
                                     self->Remove(aKey, lockedConnection);
                                   }
                                 });
}

void
ConnectionPool::Remove(const std::string& aKey, const ConnectionPointer& aConnection)
{
  Close(*aConnection);
  const auto found = m_idle.find(aKey);
  if (found == m_idle.end()) {
    return;
  }
  std::erase(found->second, aConnection);
  if (found->second.empty()) {
    m_idle.erase(found);
  }
}

} // namespace mimosarun
