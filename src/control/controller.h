#pragma once

#include "common/error.h"
#include "control/claimstate.h"
#include "control/configurationreader.h"
#include "control/configurationstate.h"
#include "control/group.h"
#include "control/groupclient.h"
#include "control/groupplan.h"
#include "control/quotaservice.h"
#include "control/reportcollector.h"
#include "control/reportstore.h"
#include "control/rolloutmanager.h"
#include "control/transport.h"
#include "control/validityconfirmer.h"
#include "quarantine/crashledger.h"
#include "rollout/outcometable.h"
#include "settings/processsettings.h"
#include "wire/rpcserver.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/** Runs the control role of a process: its replicas of the groups and the service for other processes. */
class Controller
{
public:
  explicit Controller(ProcessSettings aSettings,
                      DocumentParser aParser = ParserOf<NativeFormat>(),
                      KeyRedactor aRedactor = RedactorOf<NativeFormat>());
  ~Controller();

  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  /** Opens the data folder, and starts the groups and the service. */
  Result<void> Start();

  /** Sets the replicas through which others are discovered. */
  void SetSeeds(std::vector<ReplicaSettings> aSeeds);

  const ProcessSettings& Settings() const { return m_settings; }
  const ConfigurationState& Configuration() const { return m_configuration; }
  ReportStore& DomainReports() { return m_domainReports; }
  CrashLedger& Crashes() { return m_crashes; }
  const ValidityConfirmer& Validity() const { return m_validity; }
  OutcomeTable& Outcomes() { return m_outcomes; }
  const RolloutManager& Rollouts() const { return m_rollouts; }
  GroupClient& Client() { return m_client; }
  QuotaService& Quotas() { return m_quotas; }

  /** Returns the number of claimed keys in all claim groups of this replica. */
  size_t ClaimCount() const;

  void Deliver(const wire::RaftBatch& aBatch);

  /** Delivers messages and returns those that this replica queues for their sender within a short wait. */
  std::vector<wire::RaftMessage> DeliverAndReply(const wire::RaftBatch& aBatch);
  wire::CommandResult Submit(const std::string& aGroup, wire::Command aCommand, Deadline aDeadline);
  wire::CommandResult Join(const std::string& aGroup, const wire::Replica& aReplica, Deadline aDeadline);
  wire::GroupStatus Status(const std::string& aGroup) const;

  /** Returns whether this replica hears a leader and has applied all entries that it knows to be committed.
   */
  bool IsCaughtUp() const;
  std::vector<std::string> GroupNames() const;

  /** Returns the status of a group as a replica sees it. */
  Result<wire::GroupStatus> StatusAt(const std::string& aReplica,
                                     const std::string& aGroup,
                                     Deadline aDeadline);

  /**
   * Returns the newest accepted configuration, or NotLeader if no quorum confirms by the deadline that it is
   * the newest.
   */
  Result<SnapshotPointer> ReadNewestConfiguration(Deadline aDeadline);

  /** Returns the commit index of the configuration group if a quorum confirms that this replica leads it. */
  wire::ReadIndex ConfirmLeadership(const std::string& aGroup, Deadline aDeadline);

  /** Runs a command on the leader of the configuration group, which may be another replica. */
  wire::CommandResult SubmitToLeader(const wire::Command& aCommand, Deadline aDeadline);

  /**
   * Waits until this replica has applied all entries that the leader of the configuration group had committed
   * when asked. Returns false if no leader confirms or the deadline passes.
   */
  bool WaitUntilCaughtUp(Deadline aDeadline);

  /** Fetches the reports of the other regions, which cross the link only on demand and at long intervals. */
  void CollectReportsOfOtherRegions() { m_reportCollector.CollectFromOtherRegions(); }

  /** Hands the leadership of all groups over to other replicas; returns whether they had it by a deadline. */
  bool Leave(Deadline aDeadline);

  /** Removes a replica from all groups. */
  wire::CommandResult RemoveReplica(const std::string& aName, Deadline aDeadline);

  /** Adds a replica to all groups whose plan includes it. */
  wire::CommandResult AddReplica(const std::string& aName, Deadline aDeadline);

private:
  using PeerClient = ReportCollector::PeerClient;

  ValidityConfirmer::Options ConfirmerOptions();
  void CreateGroups();
  std::shared_ptr<PeerClient> PeerOf(const std::string& aName);
  std::shared_ptr<PeerClient> PeerForLeaderCall(const std::string& aName);
  Result<wire::ReadIndex> RequestReadIndex(Deadline aDeadline);
  std::vector<wire::Replica> OtherReplicas() const;
  std::vector<wire::Replica> InitialMembers() const;
  void MaintainMembership(const GroupPlan& aPlan, const wire::GroupStatus& aStatus);
  void Discover(const GroupPlan& aPlan);
  void WatchGroups();
  void Form(const std::string& aGroup, const std::vector<wire::Replica>& aMembers);
  void FormOrJoin(const GroupPlan& aPlan);
  bool TryToJoin(const std::string& aReplica, const std::string& aGroup);
  void TryToJoinAnywhere(const GroupPlan& aPlan);
  void ExpireClaims();
  void LogSilenceChanges();
  wire::Replica Self() const;
  const ReplicaSettings* FindReplica(const std::string& aName) const;

  ProcessSettings m_settings;
  int64_t m_incarnation = 0;
  std::vector<GroupPlan> m_groupPlans;
  ConfigurationState m_configuration;
  std::map<std::string, std::unique_ptr<ClaimState>> m_claims;
  ReportStore m_domainReports;
  ReportCollector m_reportCollector;
  CrashLedger m_crashes;
  ConfigurationReader m_reader;
  ValidityConfirmer m_validity;
  OutcomeTable m_outcomes;
  RolloutManager m_rollouts;
  PeerTransport m_transport;
  GroupClient m_client;
  std::mutex m_peersMutex;
  std::vector<ReplicaSettings> m_seeds;
  std::map<std::string, std::shared_ptr<PeerClient>> m_peers;
  std::map<std::string, std::vector<std::shared_ptr<PeerClient>>> m_leaderPeers;
  size_t m_nextLeaderPeer = 0;
  Deadline m_leaderSeenAt{};
  std::map<std::string, bool> m_silentReplicas;
  std::unique_ptr<Group<ConfigurationState>> m_configurationGroup;
  std::map<std::string, std::unique_ptr<Group<ClaimState>>> m_claimGroups;
  QuotaService m_quotas;
  std::unique_ptr<RpcServer> m_server;
  std::atomic<bool> m_stop{ false };
  std::thread m_watcher;
};

} // namespace mimosarun
