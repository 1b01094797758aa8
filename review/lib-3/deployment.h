#pragma once

#include "instance.h"

#include <sys/types.h>

#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

/** What a deployment consists of: one node and one instance for each of the services named, in this order. */
struct Plan
{
  std::vector<std::string> services = {};
  int capacity = 18;
  Millis work{ 100 };
  Millis heartbeat{ 1500 };
  /** Memory that the platform gives to a node, as its settings name it. */
  int nodeMemoryMb = 260;
  /** Node whose instance starts later, by StartInstance(). */
  std::optional<size_t> lateInstance = {};
  /** Further bounds beside those of piumino-cloud, each with a comma before it. */
  std::string bounds = {};
};

/** Writes lines with the time since the start of the case to record.txt. */
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Write(const std::string& aLine);

private:
  const Time m_startedAt = Clock::now();
  std::mutex m_mutex;
  std::ofstream m_file;
};

/**
 * A small deployment of the product: three control replicas, and nodes with an instance beside each. Starts
 * and stops the processes as the platform does, with the command of the deploy file. All its processes end
 * with it.
 */
class Deployment
{
public:
  Deployment(Plan aPlan, Record& aRecord);
  ~Deployment();

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Starts everything and waits until each node is ready; returns false if that takes too long. */
  bool Start(const std::string& aConfiguration);

  /** Sends a configuration until it gets a clear answer, and returns its status. */
  int Replace(const std::string& aBase, const std::string& aConfiguration, Millis aTimeout = Millis(10000));

  /** Starts the instance beside a node; it sends no pings yet. */
  void StartInstance(size_t aNode, int64_t aFirstSequence = 1);
  /** Ends the instance beside a node like a process that crashes. */
  void CrashInstance(size_t aNode);
  void StartReplica(size_t aReplica);
  void StartNode(size_t aNode);
  /** Sets whether later settings name the control replicas as seeds, as the operator's list shows them. */
  void SetReplicasListed(bool aAreListed) { m_areReplicasListed = aAreListed; }
  /** Writes a running node's settings again, and tells it by SIGHUP or leaves it to notice. */
  void ChangeSettings(size_t aNode, bool aIsSignalled);
  void KillReplica(size_t aReplica);
  /** Sends SIGKILL to a node and waits for its end. */
  void KillNode(size_t aNode);
  void SignalNode(size_t aNode, int aSignal);
  pid_t NodeProcess(size_t aNode) const { return m_nodes[aNode]; }
  /** Whether a node still runs; notes the end of one that has ended by itself. */
  bool IsNodeRunning(size_t aNode);
  bool IsReady(size_t aNode) const;

  Endpoint Outbound(size_t aNode) const;
  Endpoint Inbound(size_t aNode) const;
  Endpoint Control(size_t aNode) const;
  Endpoint ReplicaControl(size_t aReplica) const;
  Instance& InstanceAt(size_t aNode) { return *m_instances[aNode]; }
  size_t Nodes() const { return m_plan.services.size(); }
  const std::string& Folder() const { return m_folder; }

private:
  Endpoint At(size_t aMachine, int aPort) const;
  std::string CommonSettings(size_t aMachine) const;
  std::string NodeSettings(size_t aNode) const;
  pid_t StartProcess(const std::string& aName, const std::string& aSettings);
  void End(pid_t& aProcess);

  const Plan m_plan;
  Record& m_record;
  std::string m_folder;
  std::string m_network;
  int m_firstPort = 0;
  bool m_isFirstStart = true;
  bool m_areReplicasListed = true;
  /** Starts of instances; each has an identifier of its own. */
  int m_starts = 0;
  std::vector<pid_t> m_replicas;
  std::vector<pid_t> m_nodes;
  std::vector<std::unique_ptr<Instance>> m_instances;
};

/** A route of a configuration. */
struct RouteText
{
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  std::string timeout = "2000ms";
  int maxAttempts = 2;
};

/** Text of a configuration; all its routes are of the host "shop.example". */
std::string
MakeConfiguration(int aVersion,
                  const std::vector<std::string>& aServices,
                  const std::vector<RouteText>& aRoutes,
                  int64_t aMaxBodyBytes = 67108864);

/** The whole lines of a request of a consumer. */
std::string
ConsumerRequest(const std::string& aMethod,
                const std::string& aPath,
                const std::string& aId,
                Millis aTimeout,
                const std::string& aBody = {});

/** Returns the resident memory of a process in bytes, or 0 if it has ended. */
size_t
ResidentBytes(pid_t aProcess);

/** Writes the result of a case, also to standard output; returns the exit status for it. */
int
Conclude(Record& aRecord, bool aIsBroken, const std::string& aText);

/** Whether the disruption of a case is to happen: not if TROUBLE=0. */
bool
HasTrouble();

} // namespace review
