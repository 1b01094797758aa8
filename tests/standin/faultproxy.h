#pragma once

#include "common/address.h"
#include "common/clock.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/** Faults that the proxy injects on a path. */
struct PathFault
{
  /** Drops all bytes and ends of streams without an error, on open and on new connections. */
  bool dropAll = false;
  /** Drops only the bytes from the connecting side. */
  bool dropForward = false;
  /** Drops only the bytes from the accepting side. */
  bool dropBackward = false;
};

/** Delay and bandwidth of a link that several paths share; both apply to each direction separately. */
struct LinkOptions
{
  std::chrono::microseconds delay{ 0 };
  /** Zero means unlimited. */
  int64_t bytesPerSecond = 0;
  /** Bandwidth of each connection in each direction, in addition; zero means unlimited. */
  int64_t connectionBytesPerSecond = 0;
  /** Bytes that each direction of a connection holds, and each socket about as many; zero means a megabyte.
   */
  size_t heldBytes = 0;
};

/**
 * TCP proxy that injects faults between real processes and counts the bytes of each path, in one thread. A
 * path forwards one listening address to another address; the labels of its two ends select the paths of a
 * fault.
 */
class FaultProxy
{
public:
  struct PathOptions
  {
    Address listen;
    Address connect;
    std::string from;
    std::string to;
    /** Name of the link whose delay and bandwidth apply; empty means no link. */
    std::string link;
    /** Kind of traffic under which the path's bytes are counted. */
    std::string trafficKind;
  };

  FaultProxy();
  ~FaultProxy();

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void AddLink(const std::string& aName, LinkOptions aOptions);
  /** Adds a path whose link exists already; returns false if its listening address can't be bound. */
  bool AddPath(const PathOptions& aOptions);
  void Start();

  /** Sets the fault of all paths on which aFrom connects to aTo. */
  void SetFault(const std::string& aFrom, const std::string& aTo, PathFault aFault);

  /** Drops all further bytes of the connections that are open now; new connections aren't affected. */
  void DropBytesOfOpenConnections(const std::string& aFrom, const std::string& aTo);

  /**
   * Ends the connections to a listening address whose VM has just ended: what its kernel still holds is lost,
   * what has been received from it is forwarded. New connections are refused until BeginHost().
   */
  void EndHost(const Address& aListener);

  /** Accepts connections to a listening address again; returns false if an address can't be bound. */
  bool BeginHost(const Address& aListener);

  /** Resets the open connections from aFrom to aTo. */
  void ResetOpenConnections(const std::string& aFrom, const std::string& aTo);

  /** Returns the bytes that crossed a link, in both directions. */
  uint64_t LinkBytes(const std::string& aName) const;

  /** Returns the bytes of one kind of traffic that crossed a link, in both directions. */
  uint64_t LinkBytes(const std::string& aName, const std::string& aTrafficKind) const;

private:
  struct Path;
  struct Link;
  struct Connection;
  struct Direction;

  void Run();
  bool Listen(Path& aPath) const;
  void Accept(Path& aPath);
  void HandleEvent(int aSocket, uint32_t aEvents);
  void ForwardBytes(Connection& aConnection, Deadline aNow);
  void Read(Connection& aConnection, int aSide);
  void SendReleasedChunks(Connection& aConnection, Direction& aDirection, Deadline aNow);
  void Close(Connection& aConnection, bool aReset);
  void RemoveClosedConnections();
  Deadline NextRelease() const;
  void UpdateWatchedEvents(Connection& aConnection);

  int m_epoll = -1;
  int m_wakeup = -1;
  std::atomic<bool> m_stop{ false };
  mutable std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<Link>> m_links;
  std::vector<std::unique_ptr<Path>> m_paths;
  std::map<int, std::shared_ptr<Connection>> m_connectionsBySocket;
  /** Connections that have queued bytes or new events. */
  std::set<std::shared_ptr<Connection>> m_activeConnections;
  std::thread m_thread;
};

} // namespace mimosarun
