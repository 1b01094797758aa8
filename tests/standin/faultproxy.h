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

/** How a path treats bytes. */
struct PathFault
{
  /** Nothing passes and nobody is told, on open and on new connections. */
  bool dropAll = false;
  /** Only bytes from the connecting side are lost. */
  bool dropForward = false;
  /** Only bytes from the accepting side are lost. */
  bool dropBackward = false;
};

/** Delay and bandwidth that several paths share, each way. */
struct LinkOptions
{
  std::chrono::microseconds delay{ 0 };
  /** Zero means without bound. */
  int64_t bytesPerSecond = 0;
};

/**
 * TCP proxy between real processes. A path is one listening address, the address it leads to, and two labels
 * for the ends; faults are set by labels. Counts the bytes of each path. One thread.
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
    /** Link that the path uses; empty for none. */
    std::string link;
    /** What the path carries, for the count of bytes. */
    std::string trafficKind;
  };

  FaultProxy();
  ~FaultProxy();

  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  void AddLink(const std::string& aName, LinkOptions aOptions);
  bool AddPath(const PathOptions& aOptions);
  void Start();

  /** Sets the fault of all paths between two labels, one way of connecting. */
  void SetFault(const std::string& aFrom, const std::string& aTo, PathFault aFault);

  /** Loses all further bytes of the connections that are open now; new ones work. */
  void DropBytesOfOpenConnections(const std::string& aFrom, const std::string& aTo);

  /** Closes the open connections between two labels with a reset. */
  void ResetOpenConnections(const std::string& aFrom, const std::string& aTo);

  /** Bytes that crossed a link, both ways. */
  uint64_t LinkBytes(const std::string& aName) const;

  /** Bytes that crossed a link for one kind of path, both ways. */
  uint64_t LinkBytes(const std::string& aName, const std::string& aKind) const;

private:
  struct Path;
  struct Link;
  struct Connection;
  struct Direction;

  void Run();
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
  /** Connections with bytes on their way. */
  std::set<std::shared_ptr<Connection>> m_activeConnections;
  std::thread m_thread;
};

} // namespace mimosarun
