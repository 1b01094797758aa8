#include "standin/faultproxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <set>

namespace mimosarun {

static constexpr size_t kReadBytes = 64UL * 1024;
static constexpr size_t kQueueLimitBytes = 1024UL * 1024;
/** As on an Ethernet; peers size their send buffers by the segments. */
static constexpr int kSegmentBytes = 1448;
static constexpr std::chrono::milliseconds kLongestPoll{ 50 };

struct FaultProxy::Link
{
  LinkOptions options;
  /** Time at which each direction has sent all bytes that it received. */
  std::array<Deadline, 2> freeAt{};
  std::atomic<uint64_t> bytes{ 0 };
};

struct FaultProxy::Path
{
  PathOptions options;
  Link* link = nullptr;
  PathFault fault;
  uint64_t bytes = 0;
  int socket = -1;
};

/** Bytes that are queued from one side to the other. */
struct FaultProxy::Direction
{
  struct Chunk
  {
    Deadline releaseAt;
    std::string bytes;
  };

  std::deque<Chunk> chunks;
  size_t queuedBytes = 0;
  /** The receiving socket's buffer is full; sending goes on when epoll reports it writable. */
  bool blocked = false;
  bool ended = false;
  bool endForwarded = false;
  /** Time at which the connection's own bandwidth has sent all bytes that it received. */
  Deadline freeAt{};
};

struct FaultProxy::Connection
{
  Path* path = nullptr;
  /** Side 0 is the accepted connection, side 1 the connection to the path's destination. */
  std::array<int, 2> sockets{ -1, -1 };
  std::array<Direction, 2> directions;
  /** Events registered with epoll for each socket; a disconnected socket isn't registered any more. */
  std::array<uint32_t, 2> watchedEvents{ EPOLLIN, EPOLLIN };
  std::array<bool, 2> disconnected{ false, false };
  size_t queueLimitBytes = kQueueLimitBytes;
  bool dropsBytes = false;
  bool closed = false;
};

/** Reserves time for bytes on a bandwidth, zero being unlimited, and returns when they have been sent. */
static Deadline
Reserve(Deadline& aFreeAt, Deadline aNow, ssize_t aBytes, int64_t aBytesPerSecond)
{
  aFreeAt = std::max(aFreeAt, aNow);
  if (aBytesPerSecond > 0) {
    const std::chrono::duration<double> time(static_cast<double>(aBytes) /
                                             static_cast<double>(aBytesPerSecond));
    aFreeAt += std::chrono::duration_cast<Deadline::duration>(time);
  }
  return aFreeAt;
}

static sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  ::inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  return address;
}

static void
SetNoDelay(int aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/** Must be called before the socket listens or connects. */
static void
LimitHeldBytes(int aSocket, size_t aBytes)
{
  const int bytes = static_cast<int>(aBytes);
  ::setsockopt(aSocket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  ::setsockopt(aSocket, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes, sizeof kSegmentBytes);
}

FaultProxy::FaultProxy()
  : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
  , m_wakeup(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

FaultProxy::~FaultProxy()
{
  m_stop = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
  std::set<std::shared_ptr<Connection>> open;
  for (const auto& [socket, connection] : m_connectionsBySocket) {
    open.insert(connection);
  }
  for (const auto& connection : open) {
    Close(*connection, false);
  }
  for (const auto& path : m_paths) {
    ::close(path->socket);
  }
  ::close(m_wakeup);
  ::close(m_epoll);
}

void
FaultProxy::AddLink(const std::string& aName, LinkOptions aOptions)
{
  const std::lock_guard lock(m_mutex);
  m_links[aName] = std::make_unique<Link>();
  m_links[aName]->options = aOptions;
}

bool
FaultProxy::AddPath(const PathOptions& aOptions)
{
  auto path = std::make_unique<Path>();
  path->options = aOptions;
  const std::lock_guard lock(m_mutex);
  path->link = aOptions.link.empty() ? nullptr : m_links.at(aOptions.link).get();
  const bool listens = Listen(*path);
  m_paths.push_back(std::move(path));
  return listens;
}

bool
FaultProxy::Listen(Path& aPath) const
{
  aPath.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(aPath.socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (aPath.link != nullptr && aPath.link->options.heldBytes > 0) {
    LimitHeldBytes(aPath.socket, aPath.link->options.heldBytes);
  }
  const sockaddr_in address = ToSocketAddress(aPath.options.listen);
  const bool listens =
    ::bind(aPath.socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
    ::listen(aPath.socket, 512) == 0;
  epoll_event event{ .events = EPOLLIN, .data = { .ptr = &aPath } };
  ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, aPath.socket, &event);
  return listens;
}

void
FaultProxy::Start()
{
  m_thread = std::thread([this] { Run(); });
}

void
FaultProxy::SetFault(const std::string& aFrom, const std::string& aTo, PathFault aFault)
{
  const std::lock_guard lock(m_mutex);
  for (const auto& path : m_paths) {
    if (path->options.from == aFrom && path->options.to == aTo) {
      path->fault = aFault;
    }
  }
}

void
FaultProxy::DropBytesOfOpenConnections(const std::string& aFrom, const std::string& aTo)
{
  const std::lock_guard lock(m_mutex);
  for (const auto& [socket, connection] : m_connectionsBySocket) {
    const PathOptions& options = connection->path->options;
    if (options.from == aFrom && options.to == aTo) {
      connection->dropsBytes = true;
    }
  }
}

void
FaultProxy::EndHost(const Address& aListener)
{
  const std::lock_guard lock(m_mutex);
  for (const auto& path : m_paths) {
    if (path->options.connect == aListener && path->socket >= 0) {
      ::close(path->socket);
      path->socket = -1;
    }
  }
  for (const auto& [socket, connection] : m_connectionsBySocket) {
    const bool isAccepted = socket == connection->sockets[0];
    if (isAccepted || connection->closed || connection->path->options.connect != aListener) {
      continue;
    }
    if (!connection->directions[1].ended) {
      Read(*connection, 1);
    }
    if (!connection->closed) {
      connection->directions[1].ended = true;
      connection->disconnected[1] = true;
      ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
      m_activeConnections.insert(connection);
    }
  }
  RemoveClosedConnections();
}

bool
FaultProxy::BeginHost(const Address& aListener)
{
  const std::lock_guard lock(m_mutex);
  bool listens = true;
  for (const auto& path : m_paths) {
    if (path->options.connect == aListener && path->socket < 0) {
      listens = Listen(*path) && listens;
    }
  }
  return listens;
}

void
FaultProxy::ResetOpenConnections(const std::string& aFrom, const std::string& aTo)
{
  const std::lock_guard lock(m_mutex);
  for (const auto& [socket, connection] : m_connectionsBySocket) {
    const PathOptions& options = connection->path->options;
    if (options.from == aFrom && options.to == aTo) {
      Close(*connection, true);
    }
  }
  RemoveClosedConnections();
}

uint64_t
FaultProxy::LinkBytes(const std::string& aName) const
{
  const std::lock_guard lock(m_mutex);
  return m_links.at(aName)->bytes;
}

uint64_t
FaultProxy::LinkBytes(const std::string& aName, const std::string& aTrafficKind) const
{
  const std::lock_guard lock(m_mutex);
  uint64_t bytes = 0;
  for (const auto& path : m_paths) {
    bytes += path->options.link == aName && path->options.trafficKind == aTrafficKind ? path->bytes : 0;
  }
  return bytes;
}

void
FaultProxy::UpdateWatchedEvents(Connection& aConnection)
{
  for (size_t side = 0; side < 2; ++side) {
    const Direction& outgoing = aConnection.directions[side];
    const Direction& incoming = aConnection.directions[1 - side];
    uint32_t events = 0;
    if (!outgoing.ended && outgoing.queuedBytes < aConnection.queueLimitBytes) {
      events |= EPOLLIN;
    }
    if (incoming.blocked) {
      events |= EPOLLOUT;
    }
    if (aConnection.disconnected[side] || events == aConnection.watchedEvents[side]) {
      continue;
    }
    aConnection.watchedEvents[side] = events;
    epoll_event event{ .events = events, .data = { .fd = aConnection.sockets[side] } };
    ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, aConnection.sockets[side], &event);
  }
}

void
FaultProxy::Accept(Path& aPath)
{
  while (true) {
    const int accepted = ::accept4(aPath.socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    const int connecting = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    SetNoDelay(accepted);
    SetNoDelay(connecting);
    const size_t heldBytes = aPath.link == nullptr ? 0 : aPath.link->options.heldBytes;
    if (heldBytes > 0) {
      LimitHeldBytes(connecting, heldBytes);
    }
    const sockaddr_in address = ToSocketAddress(aPath.options.connect);
    const int connected = ::connect(connecting, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (connected != 0 && errno != EINPROGRESS) {
      ::close(connecting);
      ::close(accepted);
      continue;
    }
    const auto connection = std::make_shared<Connection>();
    connection->path = &aPath;
    connection->sockets = { accepted, connecting };
    connection->queueLimitBytes = heldBytes > 0 ? heldBytes : kQueueLimitBytes;
    for (const int socket : connection->sockets) {
      m_connectionsBySocket[socket] = connection;
      epoll_event event{ .events = EPOLLIN, .data = { .fd = socket } };
      ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
    }
  }
}

void
FaultProxy::Close(Connection& aConnection, bool aReset)
{
  if (aConnection.closed) {
    return;
  }
  aConnection.closed = true;
  for (int& socket : aConnection.sockets) {
    if (aReset) {
      const linger abort{ .l_onoff = 1, .l_linger = 0 };
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    }
    ::close(socket);
  }
}

void
FaultProxy::RemoveClosedConnections()
{
  std::erase_if(m_connectionsBySocket, [](const auto& aEntry) { return aEntry.second->closed; });
}

void
FaultProxy::Read(Connection& aConnection, int aSide)
{
  Direction& direction = aConnection.directions[aSide];
  std::string buffer(kReadBytes, '\0');
  const ssize_t count = ::recv(aConnection.sockets[aSide], buffer.data(), buffer.size(), 0);
  if (count < 0) {
    if (errno != EAGAIN && errno != EINTR) {
      Close(aConnection, true);
    }
    return;
  }
  if (count == 0) {
    direction.ended = true;
    return;
  }
  const PathFault& fault = aConnection.path->fault;
  const bool dropsDirection = aSide == 0 ? fault.dropForward : fault.dropBackward;
  if (fault.dropAll || dropsDirection || aConnection.dropsBytes) {
    return;
  }
  buffer.resize(static_cast<size_t>(count));
  const Deadline now = SteadyClock::now();
  Deadline release = now;
  if (Link* link = aConnection.path->link) {
    Deadline& freeAt = link->freeAt[static_cast<size_t>(aSide)];
    const Deadline linkSent = Reserve(freeAt, now, count, link->options.bytesPerSecond);
    const Deadline connectionSent =
      Reserve(direction.freeAt, now, count, link->options.connectionBytesPerSecond);
    release = std::max(linkSent, connectionSent) + link->options.delay;
    link->bytes += static_cast<uint64_t>(count);
    aConnection.path->bytes += static_cast<uint64_t>(count);
  }
  direction.queuedBytes += buffer.size();
  direction.chunks.push_back({ .releaseAt = release, .bytes = std::move(buffer) });
}

void
FaultProxy::SendReleasedChunks(Connection& aConnection, Direction& aDirection, Deadline aNow)
{
  const int side = &aDirection == &aConnection.directions[0] ? 1 : 0;
  while (!aDirection.chunks.empty() && aDirection.chunks.front().releaseAt <= aNow) {
    Direction::Chunk& chunk = aDirection.chunks.front();
    const ssize_t sent =
      ::send(aConnection.sockets[side], chunk.bytes.data(), chunk.bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
        Close(aConnection, true);
      }
      aDirection.blocked = true;
      return;
    }
    aDirection.queuedBytes -= static_cast<size_t>(sent);
    chunk.bytes.erase(0, static_cast<size_t>(sent));
    if (!chunk.bytes.empty()) {
      aDirection.blocked = true;
      return;
    }
    aDirection.chunks.pop_front();
  }
  const bool dropsEnd = aConnection.dropsBytes || aConnection.path->fault.dropAll;
  if (aDirection.ended && aDirection.chunks.empty() && !aDirection.endForwarded && !dropsEnd) {
    aDirection.endForwarded = true;
    ::shutdown(aConnection.sockets[side], SHUT_WR);
  }
}

Deadline
FaultProxy::NextRelease() const
{
  Deadline next = SteadyClock::now() + kLongestPoll;
  for (const auto& connection : m_activeConnections) {
    for (const Direction& direction : connection->directions) {
      if (!direction.chunks.empty() && !direction.blocked) {
        next = std::min(next, direction.chunks.front().releaseAt);
      }
    }
  }
  return next;
}

void
FaultProxy::Run()
{
  std::array<epoll_event, 256> events{};
  while (!m_stop) {
    Deadline next;
    {
      const std::lock_guard lock(m_mutex);
      next = NextRelease();
    }
    const auto wait = TimeLeft(next);
    const int count = ::epoll_wait(m_epoll, events.data(), events.size(), static_cast<int>(wait.count()));
    const std::lock_guard lock(m_mutex);
    for (int i = 0; i < count; ++i) {
      const auto path = std::find_if(
        m_paths.begin(), m_paths.end(), [&](const auto& aPath) { return aPath.get() == events[i].data.ptr; });
      if (path != m_paths.end()) {
        Accept(**path);
        continue;
      }
      HandleEvent(events[i].data.fd, events[i].events);
    }
    const Deadline now = SteadyClock::now();
    for (auto active = m_activeConnections.begin(); active != m_activeConnections.end();) {
      const std::shared_ptr<Connection>& connection = *active;
      ForwardBytes(*connection, now);
      const bool idle = connection->directions[0].chunks.empty() && connection->directions[1].chunks.empty();
      active = connection->closed || idle ? m_activeConnections.erase(active) : std::next(active);
    }
    RemoveClosedConnections();
  }
}

void
FaultProxy::HandleEvent(int aSocket, uint32_t aEvents)
{
  const auto found = m_connectionsBySocket.find(aSocket);
  if (found == m_connectionsBySocket.end() || found->second->closed) {
    return;
  }
  const std::shared_ptr<Connection> connection = found->second;
  m_activeConnections.insert(connection);
  const size_t side = connection->sockets[0] == aSocket ? 0 : 1;
  if ((aEvents & EPOLLOUT) != 0) {
    connection->directions[1 - side].blocked = false;
  }
  if (!connection->directions[side].ended && (aEvents & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
    Read(*connection, static_cast<int>(side));
  } else if ((aEvents & (EPOLLHUP | EPOLLERR)) != 0) {
    connection->disconnected[side] = true;
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, aSocket, nullptr);
  }
}

void
FaultProxy::ForwardBytes(Connection& aConnection, Deadline aNow)
{
  for (Direction& direction : aConnection.directions) {
    if (!aConnection.closed) {
      SendReleasedChunks(aConnection, direction, aNow);
    }
  }
  if (aConnection.directions[0].endForwarded && aConnection.directions[1].endForwarded) {
    Close(aConnection, false);
  }
  if (!aConnection.closed) {
    UpdateWatchedEvents(aConnection);
  }
}

} // namespace mimosarun
