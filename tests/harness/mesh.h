#pragma once

#include "common/address.h"
#include "harness/process.h"
#include "harness/testclient.h"
#include "operators/answer.h"
#include "standin/faultproxy.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosarun {

/** One process of the system in a test deployment. */
struct MeshProcess
{
  std::string name;
  std::string role;
  std::string region;
  std::string failureDomain;
  Address peerAddress;
  Address operatorAddress;
  /** Nodes only. */
  Address callerAddress;
  Address gateAddress;
  Address announceAddress;
  std::string settingsFile;
  std::string logFile;
  std::string dataFolder;
  Process process;
};

/** One stand-in target of a test deployment. */
struct MeshTarget
{
  std::string name;
  std::string service;
  std::string node;
  Address address;
  std::string ledgerPath;
  Process process;
};

/** Size and properties of a test deployment. */
struct MeshOptions
{
  /** Regions with their failure domains. */
  std::map<std::string, std::vector<std::string>> regions;
  std::vector<std::string> services;
  /** Targets of each service in each failure domain. */
  int targetsPerDomain = 1;
  /** Failure domain of each control replica. */
  std::vector<std::string> replicaDomains;
  int slots = 6;
  /** Number of slots that targets announce; zero means the real number. */
  int announcedSlots = 0;
  std::chrono::milliseconds callCost{ 10 };
  std::chrono::microseconds domainDelay{ 0 };
  std::chrono::microseconds regionDelay{ 0 };
  int64_t regionBytesPerSecond = 0;
  /** LinkOptions::connectionBytesPerSecond and heldBytes of all links. */
  int64_t connectionBytesPerSecond = 0;
  size_t linkHeldBytes = 0;
  /** Also sends traffic inside a failure domain through the proxy, so that its bytes are counted. */
  bool countDomainTraffic = false;
  /** Additional options of the nodes' command line. */
  std::vector<std::string> nodeOptions;
  /** Settings of all processes for strict revocation; zero leaves it off. */
  std::chrono::milliseconds revocationBound{ 0 };
  /** Longest time from the stop signal of a node to the end of its calls; zero leaves the default. */
  std::chrono::milliseconds drainTimeout{ 0 };
  /** Additional environment variables ("NAME=value") of processes, by process name. */
  std::map<std::string, std::vector<std::string>> environment;
  std::string folder;
};

/** Deployments that model the two users Pettigrew & Sons and Lavanderia Software Brianza. */
MeshOptions
PettigrewMesh();
MeshOptions
BrianzaMesh();

/** A small deployment for tests of single faults: two regions of one failure domain each. */
MeshOptions
SmallMesh(const std::string& aName);

/**
 * A deployment of real processes on loopback addresses. All traffic between failure domains passes through
 * the fault proxy, whose labels are the failure domains.
 */
class Mesh
{
public:
  explicit Mesh(MeshOptions aOptions);
  ~Mesh();

  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  /** Starts all processes; returns false if a port of the proxy is in use. */
  bool Start();

  void StartProcess(const std::string& aName);
  void StartTarget(const std::string& aName);
  void StopAll();

  MeshProcess& ProcessOf(const std::string& aName);
  MeshTarget& TargetOf(const std::string& aName);
  std::vector<std::string> Nodes(const std::string& aFailureDomain = "") const;
  std::vector<std::string> Replicas() const;
  std::vector<std::string> Targets() const;
  FaultProxy& Proxy() { return m_proxy; }
  const MeshOptions& Options() const { return m_options; }

  /** Sends an operator command to the process aAt or, without one, to the replicas. */
  Answer Command(const std::string& aCommand,
                 const std::string& aAt = "",
                 const std::string& aDocument = "",
                 const std::string& aRequestId = "",
                 std::chrono::milliseconds aTimeout = std::chrono::seconds(10)) const;

  /** Proposes and accepts a document based on the current version; returns the new version or 0. */
  int64_t Install(const std::string& aDocument);

  /** Same as Install(), but based on the version aBase. */
  int64_t InstallOn(int64_t aBase, const std::string& aDocument);

  /** Returns the version that a node reports as in force, or -1 without a valid answer. */
  int64_t VersionOf(const std::string& aNode) const;

  /** Waits until all running nodes, or those in aNodes, have at least a version in force. */
  bool WaitInForce(int64_t aVersion,
                   std::chrono::milliseconds aTime,
                   const std::vector<std::string>& aNodes = {});

  /** Waits until every service responds with status 200 through every node's entry. */
  bool WaitServing(std::chrono::milliseconds aTime);

  /** Waits until every node lists all nodes as alive and their targets as ready. */
  bool WaitForFullMembership(std::chrono::milliseconds aTime);

  /** Returns all lines of all ledgers. */
  std::vector<std::string> LedgerLines() const;

  /** Sets the fault of all paths between two failure domains, in both directions. */
  void SetFault(const std::string& aLeft, const std::string& aRight, PathFault aFault);

  /** Sets the fault of all paths between two regions, in both directions. */
  void SetRegionFault(const std::string& aLeft, const std::string& aRight, PathFault aFault);

  /** Returns the leader of a group as the replicas or the process aAt report it, or an empty text. */
  std::string LeaderOf(const std::string& aGroup, const std::string& aAt = "") const;

  /** Returns a configuration with a short idempotent, a long and a keyed route for each service. */
  std::string Document(const std::string& aMarker = "") const;

  /** Returns the description of all processes as JSON. */
  std::string Description(const std::string& aProxyControl) const;

private:
  void Plan();
  void PlanReplica(const std::string& aDomain);
  void PlanNode(const std::string& aDomain, const std::string& aService, int aNumber);
  Address NextAddress();
  std::string RegionOf(const std::string& aDomain) const;
  Address ReachableAddress(const std::string& aFromDomain,
                           const MeshProcess& aTo,
                           const Address& aAddress,
                           const std::string& aKind);
  std::string SettingsOf(const MeshProcess& aProcess);
  void WriteSettings();

  MeshOptions m_options;
  uint16_t m_nextPort = 0;
  std::map<std::string, MeshProcess> m_processes;
  std::map<std::string, MeshTarget> m_targets;
  std::map<std::string, Address> m_proxiedAddresses;
  FaultProxy m_proxy;
  bool m_portsFree = true;
};

/** Returns the build folder, which holds the built programs. */
std::string
BuildFolder();

} // namespace mimosarun
