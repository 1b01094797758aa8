#pragma once

#include "node/fetcher.h"
#include "node/holder.h"
#include "node/membertable.h"
#include "quarantine/quarantine.h"
#include "settings/processsettings.h"
#include "team/credentiallease.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/**
 * Connects a node to the control replicas: it introduces itself at the start, then long-polls one of them,
 * preferably in its own failure domain or region, for new configurations. A relay also reports on its failure
 * domain.
 */
class ControlLink
{
public:
  ControlLink(const ProcessSettings& aSettings,
              ConfigurationHolder& aHolder,
              MemberTable& aTable,
              ConfigurationFetcher& aFetcher,
              Quarantine& aQuarantine,
              CredentialLease& aLease);
  ~ControlLink();

  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  void Start();
  /** Requests the end of all threads without waiting for it. */
  void BeginStop();
  void Stop();

  /** Sets the replicas that are contacted when none of the known replicas answers. Thread-safe. */
  void SetSeeds(std::vector<ReplicaSettings> aSeeds);

  /** Returns the known replicas. Thread-safe. */
  std::vector<ReplicaSettings> Replicas() const;

private:
  using Client = RpcClient<wire::ControlPeerClient>;

  void Run();
  /** Returns false as soon as Stop() is called, and true once the time has passed. */
  bool WaitUnlessStopped(std::chrono::milliseconds aDuration);
  /** Introduces this node to the current replica and gets members from it; returns whether it answered. */
  bool IntroduceToCurrentReplica();
  /** Introduces this node to the replicas from which other starting nodes learn of it. */
  void IntroduceWidely();
  Result<wire::WatchReply> IntroduceTo(Client& aReplica, bool aWantsMembers);
  void UpdateRelayRole();
  /** Returns how long a replica may hold the next long poll. */
  std::chrono::milliseconds PollTime() const;
  /** Sends one long poll; returns false if the replica didn't answer or may hold an old configuration. */
  bool Watch();
  /** Calls the current replica, or the preferred one if its retry is due; switches replicas on failure. */
  Result<wire::WatchReply> CallCurrentReplica(const wire::WatchRequest& aRequest);
  /** Replaces the replicas and their connections, ordered by distance. */
  void SetReplicas(std::vector<ReplicaSettings> aReplicas);
  int DistanceTo(const ReplicaSettings& aReplica) const;
  /** Adopts the replicas of a reply if they are to be discovered and differ from the known ones. */
  void UpdateReplicas(const std::vector<wire::Replica>& aReplicas);
  void SwitchToNextReplica();
  void AddQuarantined(const wire::WatchReply& aReply);
  /** Applies the update of a reply; fetches the full configuration if the update can't be applied. */
  void ApplyReply(const wire::WatchReply& aReply);
  wire::DomainReport MakeReport(bool aWithMembers);
  /** Returns whether members are to be exchanged with control now, and schedules the next exchange if so. */
  bool StartMemberExchangeIfDue(Deadline aNow);
  bool KnowsAllRegions() const;
  void RecordReachability(bool aReachable);

  const ProcessSettings& m_settings;
  ConfigurationHolder& m_holder;
  MemberTable& m_table;
  ConfigurationFetcher& m_fetcher;
  Quarantine& m_quarantine;
  CredentialLease& m_lease;
  /** Replicas by preference: the own failure domain first, then the own region, then the others. */
  std::vector<ReplicaSettings> m_replicas;
  std::vector<std::unique_ptr<Client>> m_clients;
  /** Index into m_replicas and m_clients; 0 is the preferred replica. */
  size_t m_currentReplica = 0;
  /** Name of the replica that sent the last reply of a long poll. */
  std::string m_lastReplier;
  size_t m_consecutiveFailures = 0;
  bool m_isReachable = true;
  bool m_isRelay = false;
  Deadline m_nextPreferredReplicaTry{};
  /** Generation of the member table at the last exchange of members with control. */
  uint64_t m_reportedGeneration = 0;
  Deadline m_nextMemberExchange{};
  /** State of the list of quarantined requests that the last reply carried. */
  wire::QuarantineMark m_quarantineSeen;
  /** Whether the current replica may lack quarantined requests that this node knows. */
  bool m_offersQuarantined = false;
  /** Guards m_seeds, m_stop, and changes of m_replicas, which only the thread of this object makes. */
  mutable std::mutex m_mutex;
  std::vector<ReplicaSettings> m_seeds;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
