#pragma once

#include "common/address.h"
#include "harness/process.h"
#include "http/server.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** Simulates a target of the platform: runs requests, signs responses and sends heartbeats. */
class PlatformTarget
{
public:
  struct Options
  {
    std::string id;
    std::string service;
    Address address;
    /** Address of the node that receives the heartbeats. */
    Address heartbeatAddress;
    std::chrono::milliseconds workTime{ 20 };
  };

  explicit PlatformTarget(Options aOptions);
  ~PlatformTarget();

  PlatformTarget(const PlatformTarget&) = delete;
  PlatformTarget& operator=(const PlatformTarget&) = delete;

  /** Sends a heartbeat with a state and returns the status of the response. */
  int SendHeartbeat(const std::string& aState);

  /** Sets whether all requests are rejected with status 503 and Not-Executed. */
  void SetShedding(bool aShedding) { m_shedding = aShedding; }

  /** Stops serving, so that another server can take the address; heartbeats can still be sent. */
  void StopServing() { m_server.reset(); }

  /** Begins a new incarnation with the same identifier. */
  void BeginIncarnation();

  /** Sets how long later requests run. */
  void SetWorkTime(std::chrono::milliseconds aTime);

  /** Sets headers that all responses bear. */
  void SetResponseHeaders(HttpHeaders aHeaders);

  /** Returns how often each request ran, by its identifier. */
  std::map<std::string, int> RunCounts() const;

  /** Returns the headers of the request that arrived last. */
  HttpHeaders LastHeaders() const;

  /** Returns the number of requests whose headers the system must not have sent. */
  int InvalidRequestCount() const { return m_invalidRequestCount; }

private:
  void Handle(const ExchangePointer& aExchange);

  Options m_options;
  int64_t m_startedAtMillis = 1000;
  int64_t m_sequence = 0;
  std::atomic<bool> m_shedding{ false };
  std::atomic<int> m_invalidRequestCount{ 0 };
  mutable std::mutex m_mutex;
  std::map<std::string, int> m_runCounts;
  HttpHeaders m_responseHeaders;
  HttpHeaders m_lastHeaders;
  std::unique_ptr<HttpServer> m_server;
};

/** A small deployment on the platform: three control replicas, and a node with a target for each service. */
class PlatformMesh
{
public:
  /** @param aBounds further elements of the settings' list of bounds, each with a comma before it */
  explicit PlatformMesh(const std::string& aName, std::string aBounds = "");

  /** Starts all processes and waits until the first configuration is accepted and all nodes are ready. */
  bool Start();

  /** Sends a configuration to a replica and returns the status of the response. */
  int ReplaceConfiguration(const std::string& aBase, const std::string& aDocument, size_t aReplica = 0);

  /** Reads the configuration from a replica and returns the whole response. */
  std::string ReadConfiguration(size_t aReplica = 0);

  /** Returns a configuration with routes for both services. */
  static std::string Document(int aVersion, const std::string& aKind = "unsafe");

  /** Sends a request to a node's entry and returns the whole response. */
  std::string Call(size_t aNode, const std::string& aPath, const std::string& aId);
  /** Same as Call(), with further headers, each with its line end. */
  std::string CallWithHeaders(size_t aNode,
                              const std::string& aPath,
                              const std::string& aId,
                              const std::string& aHeaders);

  std::vector<std::unique_ptr<PlatformTarget>> targets;
  std::vector<Process> nodes;
  std::vector<Process> replicas;

  /** Starts a replica; one beyond the first three is added to the deployment. */
  void StartReplica(size_t aIndex);
  /** Returns the replica whose log says last that it was elected, or nothing if none leads. */
  std::optional<size_t> FindLeader() const;
  /** Returns what a replica has logged so far. */
  std::string ReplicaOutput(size_t aIndex) const;
  std::string DataFolder(size_t aIndex) const;
  void StartNode(size_t aIndex);
  bool IsReady(size_t aNode);
  /** Returns the address at which a node accepts calls. */
  Address EntryAddress(size_t aNode) const;
  /** Returns the address at which a node accepts calls of other nodes. */
  Address GateAddress(size_t aNode) const;
  /** Returns the address of the target beside a node. */
  Address TargetAddress(size_t aNode) const;

private:
  std::string Host(size_t aVm) const;
  /** Returns the VM of a replica; VMs are numbered in the order in which they were planned. */
  static size_t VmOfReplica(size_t aIndex);
  std::string ReplicaPath(size_t aIndex) const;
  void WriteSettings(const std::string& aPath, const std::string& aText) const;
  std::string CommonSettings(size_t aVm) const;

  std::string m_folder;
  std::string m_bounds;
  bool m_isFirstStart = true;
};

/** Sends one request over a new connection and returns the response. */
std::string
SendRawRequest(const Address& aTo, const std::string& aRequest);

} // namespace mimosarun
