#pragma once

#include "common/address.h"
#include "harness/process.h"
#include "http/server.h"
#include "standin/badbehaviour.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** One request that ran on a target. */
struct TargetRun
{
  Deadline at;
  bool isBad = false;
};

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
    std::string version = "v1";
    BadBehaviour bad = {};
  };

  explicit PlatformTarget(Options aOptions);
  ~PlatformTarget();

  PlatformTarget(const PlatformTarget&) = delete;
  PlatformTarget& operator=(const PlatformTarget&) = delete;

  /** Sends a heartbeat with a state and returns the status of the response. */
  int SendHeartbeat(const std::string& aState);

  /** Returns the address of the node that receives the heartbeats. */
  const Address& HeartbeatAddress() const { return m_options.heartbeatAddress; }

  /** Sets whether all requests are rejected with status 503 and Not-Executed. */
  void SetShedding(bool aShedding) { m_shedding = aShedding; }

  /** Stops serving, so that another server can take the address; heartbeats can still be sent. */
  void StopServing() { m_server.reset(); }

  /** Begins a new incarnation with the same identifier. */
  void BeginIncarnation();

  /** Begins a new incarnation with the same identifier and another version. */
  void BeginVersion(const std::string& aVersion);

  /** Sets how long later requests run. */
  void SetWorkTime(std::chrono::milliseconds aTime);

  /** Sets which later requests are bad. */
  void SetBadBehaviour(const BadBehaviour& aBad);

  /** Sets headers that all responses bear. */
  void SetResponseHeaders(HttpHeaders aHeaders);

  /** Returns how often each request ran, by its identifier. */
  std::map<std::string, int> RunCounts() const;

  /** Returns the headers of the request that arrived last. */
  HttpHeaders LastHeaders() const;

  /** Returns the requests that ran, in the order in which they began. */
  std::vector<TargetRun> Runs() const;

  std::string Version() const;

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
  std::vector<TargetRun> m_runs;
  int m_runningRequests = 0;
  HttpHeaders m_responseHeaders;
  HttpHeaders m_lastHeaders;
  std::unique_ptr<HttpServer> m_server;
};

/** A node of a deployment, by the target beside it. */
struct PlatformNode
{
  std::string service;
  std::string version = "v1";
};

/** What a PlatformMesh consists of. */
struct PlatformMeshOptions
{
  /** The first node serves "books", the second one "desk". */
  std::vector<PlatformNode> nodes{ { .service = "books" }, { .service = "desk" } };
  /** Further elements of the settings' list of bounds, each with a comma before it. */
  std::string bounds;
};

/** A small deployment on the platform: three control replicas, and nodes with one target each. */
class PlatformMesh
{
public:
  explicit PlatformMesh(const std::string& aName, PlatformMeshOptions aOptions = {});

  /** Starts all processes and waits until the first configuration is accepted and all nodes are ready. */
  bool Start();

  /** Sends a configuration to a replica and returns the status of the response. */
  int ReplaceConfiguration(const std::string& aBase, const std::string& aDocument, size_t aReplica = 0);

  /** Reads the configuration from a replica and returns the whole response. */
  std::string ReadConfiguration(size_t aReplica = 0);

  /** Orders a roll-out at a replica and returns the status of the response. */
  int StartRollout(const std::string& aService,
                   const std::string& aVersion,
                   std::chrono::milliseconds aDuration,
                   size_t aReplica = 0);

  /** Returns the state of a service's roll-out as a replica reports it; empty without a valid response. */
  std::string RolloutState(const std::string& aService, size_t aReplica = 0);

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
  /** Sets whether settings that are written from now on name control replicas. */
  void SetReplicasListed(bool aAreListed) { m_areReplicasListed = aAreListed; }
  /** Writes the settings of a running node anew. */
  void WriteNodeSettings(size_t aIndex) const;
  bool IsReady(size_t aNode);
  /** Returns the address at which a replica accepts requests of operators. */
  Address ControlAddress(size_t aReplica) const;
  /** Returns the address at which a node accepts calls. */
  Address EntryAddress(size_t aNode) const;
  /** Returns the address at which a node accepts calls of other nodes. */
  Address GateAddress(size_t aNode) const;
  /** Returns the address of the target beside a node. */
  Address TargetAddress(size_t aNode) const;

private:
  std::string Host(size_t aVm) const;
  /** Returns the VM of a replica; VMs are numbered in the order in which they were planned. */
  size_t VmOfReplica(size_t aIndex) const;
  std::string ReplicaPath(size_t aIndex) const;
  std::string NodePath(size_t aIndex) const;
  void WriteSettings(const std::string& aPath, const std::string& aText) const;
  std::string CommonSettings(size_t aVm) const;

  std::string m_folder;
  std::string m_bounds;
  std::vector<PlatformNode> m_nodes;
  bool m_isFirstStart = true;
  bool m_areReplicasListed = true;
};

/** Sends one request over a new connection and returns the response. */
std::string
SendRawRequest(const Address& aTo, const std::string& aRequest);

} // namespace mimosarun
