#pragma once

#include "node/fetcher.h"
#include "node/holder.h"
#include "node/membertable.h"
#include "node/peers.h"
#include "node/replicarotation.h"
#include "node/rolloutlink.h"
#include "quarantine/quarantine.h"
#include "quarantine/suspectlist.h"
#include "settings/processsettings.h"
#include "team/credentiallease.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/**
 * Connects a node to the control replicas: it introduces itself at the start, then long-polls one of them,
 * preferably in its own failure domain or region, for new configurations. A relay also reports on its failure
 * domain. A node that knows no replica, or that none answers, asks other nodes for those that answer them.
 */
class ControlLink
{
public:
  ControlLink(const ProcessSettings& aSettings,
              ConfigurationHolder& aHolder,
              MemberTable& aTable,
              PeerConnections& aPeers,
              ConfigurationFetcher& aFetcher,
              Quarantine& aQuarantine,
              SuspectList& aSuspects,
              CredentialLease& aLease,
              RolloutLink& aRollouts);
  ~ControlLink();

  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  void Start();
  /** Requests the end of all threads without waiting for it. */
  void BeginStop();
  void Stop();

  /** Sets the replicas that are contacted when none of the known replicas answers. Thread-safe. */
  void SetSeeds(std::vector<ReplicaSettings> aSeeds) { m_replicas.SetSeeds(std::move(aSeeds)); }

  /** Returns the known replicas, of which there may be none. Thread-safe. */
  std::vector<ReplicaSettings> Replicas() const { return m_replicas.Replicas(); }

  /** Returns the known replicas for another node; none if they don't answer this node either. Thread-safe. */
  std::vector<wire::Replica> AnsweringReplicas() const;

private:
  using Client = ReplicaRotation::Client;

  void Run();
  /** Returns false as soon as Stop() is called, and true once the time has passed. */
  bool WaitUnlessStopped(std::chrono::milliseconds aDuration);
  /** Makes one exchange with control; returns whether a replica answered. */
  bool Step();
  /** Asks another node for the replicas that answer it, if that is due. */
  void AskPeerIfDue();
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
  void AddQuarantined(const wire::WatchReply& aReply);
  /** Applies the update of a reply; fetches the full configuration if the update can't be applied. */
  void ApplyReply(const wire::WatchReply& aReply);
  wire::DomainReport MakeReport(bool aWithMembers);
  /** Returns whether members are to be exchanged with control now, and schedules the next exchange if so. */
  bool StartMemberExchangeIfDue(Deadline aNow);
  bool KnowsAllRegions() const;
  void RecordReachability(bool aAnswered);

  const ProcessSettings& m_settings;
  ConfigurationHolder& m_holder;
  MemberTable& m_table;
  ConfigurationFetcher& m_fetcher;
  Quarantine& m_quarantine;
  SuspectList& m_suspects;
  CredentialLease& m_lease;
  RolloutLink& m_rollouts;
  PeerConnections& m_peers;
  ReplicaRotation m_replicas;
  /** Name of the replica that sent the last reply of a long poll. */
  std::string m_lastReplier;
  std::atomic<bool> m_isReachable{ true };
  bool m_isIntroduced = false;
  bool m_isWidelyIntroduced = false;
  Deadline m_nextPeerQuestion{};
  bool m_isRelay = false;
  /** Generation of the member table at the last exchange of members with control. */
  uint64_t m_reportedGeneration = 0;
  Deadline m_nextMemberExchange{};
  /** State of the lists of quarantined and suspected requests that the last reply carried. */
  wire::QuarantineMark m_quarantineSeen;
  /** Whether the current replica may lack quarantined requests that this node knows. */
  bool m_offersQuarantined = false;
  /** Guards m_stop. */
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
