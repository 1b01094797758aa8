#pragma once

#include "node/holder.h"
#include "node/membertable.h"
#include "settings/processsettings.h"
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
 * The link of a node to control. A relay keeps a long poll on one replica, the own region's first, which
 * brings new configurations and takes the report of the failure domain. Other nodes ask once, at the start,
 * for members to talk to.
 */
class ControlLink
{
public:
  ControlLink(const ProcessSettings& aSettings, ConfigurationHolder& aHolder, MemberTable& aTable);
  ~ControlLink();

  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  void Start();
  void Stop();

  /** Sets the replicas to begin with where none of the known ones answers. */
  void SetSeeds(std::vector<ReplicaSettings> aSeeds);

private:
  using Client = RpcClient<wire::ControlPeerClient>;

  void Run();
  bool WaitUnlessStopped(std::chrono::milliseconds aTime);
  bool IntroduceToCurrentReplica();
  void IntroduceToAllReplicas();
  Result<wire::WatchReply> IntroduceTo(Client& aReplica, bool aWantsMembers);
  bool Watch();
  Result<wire::WatchReply> CallCurrentReplica(const wire::WatchRequest& aRequest);
  void SetReplicas(std::vector<ReplicaSettings> aReplicas);
  int DistanceTo(const ReplicaSettings& aReplica) const;
  void UpdateReplicas(const std::vector<wire::Replica>& aReplicas);
  void SwitchToNextReplica();
  void ApplyReply(const wire::WatchReply& aReply);
  wire::DomainReport MakeReport(bool aWithMembers);
  bool StartMemberExchangeIfDue(Deadline aNow);
  bool KnowsAllRegions() const;
  void RecordReachability(bool aReachable);

  const ProcessSettings& m_settings;
  ConfigurationHolder& m_holder;
  MemberTable& m_table;
  /** Replicas in the order of preference: own failure domain first, then own region. */
  std::vector<ReplicaSettings> m_replicas;
  std::vector<std::unique_ptr<Client>> m_clients;
  size_t m_currentReplica = 0;
  size_t m_consecutiveFailures = 0;
  bool m_isReachable = true;
  bool m_isRelay = false;
  Deadline m_nextPreferredReplicaTry{};
  uint64_t m_reportedGeneration = 0;
  Deadline m_nextMemberExchange{};
  std::mutex m_mutex;
  std::vector<ReplicaSettings> m_seeds;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
