#pragma once

#include "common/address.h"
#include "harness/process.h"
#include "http/server.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mimosarun {

/** A stand-in for a target of the platform: runs requests, signs answers, sends heartbeats. */
class PlatformTarget
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    Address address;
    /** Where heartbeats go. */
    Address heartbeatAddress;
    std::chrono::milliseconds workTime{ 20 };
  };

  explicit PlatformTarget(Options aOptions);
  ~PlatformTarget();

  PlatformTarget(const PlatformTarget&) = delete;
  PlatformTarget& operator=(const PlatformTarget&) = delete;

  /** Sends a heartbeat with a state; gives the status of the answer. */
  int SendHeartbeat(const std::string& aState);

  /** Sheds all requests from now on, saying that they didn't run. */
  void SetShedding(bool aShedding) { m_shedding = aShedding; }

  /** How often each request ran, by its identifier. */
  std::map<std::string, int> RunCounts() const;

  /** Requests that came with something that the system must never send on. */
  int InvalidRequestCount() const { return m_invalidRequestCount; }

private:
  void Handle(const ExchangePointer& aExchange);

  Options m_options;
  int64_t m_sequence = 0;
  std::atomic<bool> m_shedding{ false };
  std::atomic<int> m_invalidRequestCount{ 0 };
  mutable std::mutex m_mutex;
  std::map<std::string, int> m_runCounts;
  std::unique_ptr<HttpServer> m_server;
};

/** A small deployment on the platform: three control replicas, and a node with a target for each service. */
class PlatformMesh
{
public:
  explicit PlatformMesh(const std::string& aName);

  /** Starts all processes and waits until the first configuration is accepted and all nodes are ready. */
  bool Start();

  /** Sends a configuration; gives the status. */
  int ReplaceConfiguration(const std::string& aBase, const std::string& aDocument, size_t aAt = 0);

  /** Reads the configuration at a replica. */
  std::string ReadConfiguration(size_t aAt = 0);

  /** A configuration with routes for both services. */
  static std::string Document(int aVersion, const std::string& aKind = "unsafe");

  /** Sends a request at a node's entry; gives the whole answer. */
  std::string Call(size_t aNode, const std::string& aPath, const std::string& aId);

  std::vector<std::unique_ptr<PlatformTarget>> targets;
  std::vector<Process> nodes;
  std::vector<Process> replicas;

  void StartReplica(size_t aIndex);
  void StartNode(size_t aIndex);
  bool IsReady(size_t aNode);

private:
  std::string Host(size_t aMachine) const;
  void WriteSettings(const std::string& aPath, const std::string& aText) const;
  std::string CommonSettings(size_t aMachine) const;

  std::string m_folder;
  bool m_isFirstStart = true;
};

/** Sends one request over a new connection and gives what comes back. */
std::string
Exchange(const Address& aTo, const std::string& aRequest);

} // namespace mimosarun
