#pragma once

#include "caller/entry.h"
#include "control/groupclient.h"
#include "http/forwarder.h"
#include "node/controllink.h"
#include "node/crashreporter.h"
#include "node/fetcher.h"
#include "node/gossiper.h"
#include "node/holder.h"
#include "node/membertable.h"
#include "node/peers.h"
#include "node/quotaclient.h"
#include "node/rolloutlink.h"
#include "operators/answer.h"
#include "operators/request.h"
#include "process/metrics.h"
#include "settings/processsettings.h"
#include "target/announcementserver.h"
#include "target/claimclient.h"
#include "target/gate.h"
#include "team/credentiallease.h"
#include "team/leasemonitor.h"
#include "wire/rpcserver.h"

#include <atomic>
#include <memory>
#include <thread>

namespace mimosarun {

/** The node role of a process: runs entry and gate, membership, and the distribution of configurations. */
class Node
{
public:
  /** Formats and protocols, policies, and delays of a node. */
  struct Options
  {
    CallerCodec callerCodec = CallerCodecOf<NativeCallerProtocol>();
    TargetCodec targetCodec = TargetCodecOf<NativeTargetProtocol>();
    DocumentParser parser = ParserOf<NativeFormat>();
    Balancer::Options balancer;
    RetryBudget::Options retryBudget;
    double hedgesPerCall = 0.05;
    unsigned int loopCount = 2;
    std::chrono::milliseconds targetLease{ 3000 };
    /** Time from Shutdown() for which entry and gate accept calls, so that callers can switch over. */
    std::chrono::milliseconds acceptTime{ 1200 };
    /** Delay from Shutdown() until the node announces that it leaves, and other entries avoid its gate. */
    std::chrono::milliseconds leaveDelay{ 0 };
  };

  Node(ProcessSettings aSettings, Metrics& aMetrics, Options aOptions);
  ~Node();

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  Result<void> Start();

  /** Leaves the mesh and waits for the calls in flight, at most for the drain timeout of the settings. */
  void Shutdown();

  /** Stops all threads and closes all connections. */
  void Stop();

  /** Sets the control replicas that are contacted when none of the known replicas answers. */
  void SetSeeds(std::vector<ReplicaSettings> aSeeds) { m_control.SetSeeds(std::move(aSeeds)); }

  TargetWatch& Target() { return m_target; }
  EventLoops& Loops() { return m_loops; }
  Forwarder& OutgoingForwarder() { return m_forwarder; }
  Entry& CallerEntry() { return *m_entry; }

  /** Returns the configuration that this node currently holds. */
  SnapshotPointer Configuration() const { return m_holder.Current(); }

  /** Whether callers can be served: a configuration and other members are known, and it isn't stopping. */
  bool IsReady() const;

  /** Runs an operator's command; a node knows only a few of them. */
  Answer RunCommand(const OperatorRequest& aRequest) const;

  /** Updates the gauges. */
  void RefreshMetrics();

private:
  Result<void> StartServers();
  void OnSnapshot(const SnapshotPointer& aSnapshot);
  void OnTarget(const TargetState& aState);
  /** Passes the configured intent of the target to the gate and to the target. */
  void ApplyIntent(const SnapshotPointer& aSnapshot);
  void MaintainDirectory();
  /** Passes the gates that calls may be sent to, and which versions of targets may get calls, to the entry.
   */
  void RefreshDirectory();
  GateDirectoryPointer MakeDirectory(const SnapshotPointer& aSnapshot,
                                     const std::vector<wire::Member>& aMembers) const;
  /** Logs whether the version of the own target may get calls, if that has changed. */
  void LogVersionStanding();
  void LeaveMesh();
  void ScheduleLeaseCheck();
  /** Ends the exchange with members and control; may wait for slow peers. */
  void EndBackground();
  /** Returns whether all calls have ended and the peers have their responses. */
  bool HasAnswered() const;
  /** Waits until the node has answered and no further call is on its way; returns false at the deadline. */
  bool WaitUntilDrained(Deadline aDeadline) const;
  /** Waits until the node has answered, at most until the deadline. */
  void WaitUntilAnswered(Deadline aDeadline) const;
  /** From now on, neither entry nor gate takes a call. */
  void RefuseNewCalls();
  /** Waits until the node is drained, and refuses calls that don't end in time. */
  void FinishCalls(Deadline aEnd);
  /** Logs the end of the drain, and the responses that are cut off by the end of the process. */
  void LogDrained(bool aFinished) const;
  Answer ShowInForce() const;
  Answer ExplainCall(const std::string& aCall) const;
  Answer ExplainRoute(const std::vector<Condition>& aRequest) const;

  ProcessSettings m_settings;
  Metrics& m_metrics;
  const Options m_options;
  MemberTable m_table;
  PeerConnections m_peers;
  ConfigurationHolder m_holder;
  ConfigurationFetcher m_fetcher;
  Gossiper m_gossiper;
  Quarantine m_quarantine;
  SuspectList m_suspects;
  CredentialLease m_lease;
  LeaseMonitor m_leaseMonitor;
  RolloutView m_rollouts;
  OutcomeCounter m_outcomes;
  RolloutLink m_rolloutLink;
  ControlLink m_control;
  CrashReporter m_crashReporter;
  QuotaClient m_quotas;
  GroupClient m_groups;
  ClaimClient m_claims;
  EventLoops m_loops;
  Forwarder m_forwarder;
  TargetWatch m_target;
  std::unique_ptr<Entry> m_entry;
  std::unique_ptr<Gate> m_gate;
  std::unique_ptr<AnnouncementServer> m_announcementServer;
  std::unique_ptr<RpcServer> m_server;
  std::atomic<bool> m_stop{ false };
  /** Runs EndBackground() beside the drain, so that the process ends soon after it. */
  std::thread m_backgroundEnd;
  /** Once ready, a node stays ready until Shutdown(). */
  mutable std::atomic<bool> m_ready{ false };
  std::atomic<bool> m_leaving{ false };
  std::atomic<bool> m_isVersionForbidden{ false };
  std::thread m_directoryThread;
};

} // namespace mimosarun
