#pragma once

#include "configuration/snapshot.h"
#include "process/metrics.h"
#include "quota/quotapool.h"
#include "settings/processsettings.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/**
 * Reports a node's use of the teams' quotas to the leader of the control replicas and gets more granted, one
 * exchange at a time. Sends nothing where no team has a limit.
 */
class QuotaClient
{
public:
  using ReplicaSource = std::function<std::vector<ReplicaSettings>()>;

  QuotaClient(const std::string& aNode, ReplicaSource aReplicas);
  ~QuotaClient();

  QuotaClient(const QuotaClient&) = delete;
  QuotaClient& operator=(const QuotaClient&) = delete;

  QuotaPool& Pool() { return m_pool; }

  /** Sets the teams of a configuration; the first one with a limit starts the thread. */
  void SetConfiguration(const SnapshotPointer& aSnapshot);

  /** Requests the end of the thread without waiting for it. */
  void BeginStop();
  void Stop();

  /** Updates the counters of the teams' requests. */
  void RefreshMetrics(Metrics& aMetrics) const;

private:
  using Client = RpcClient<wire::ControlPeerClient>;

  void Run();
  /** Waits until a report is due; returns false as soon as BeginStop() is called. */
  bool WaitUntilReportIsDue();
  void Exchange();
  void HandleFailure(const std::string& aReason);
  /** Connects to the leader that a replica named; returns false if it isn't known or is that replica. */
  bool Follow(const std::string& aLeader);
  /** Connects to the replica after the current one. */
  void SwitchToNextReplica();
  void ConnectTo(const Address& aAddress);
  void RecordContact(bool aHasContact, const std::string& aReason);

  const ReplicaSource m_replicas;
  QuotaPool m_pool;
  std::unique_ptr<Client> m_client;
  size_t m_nextReplica = 0;
  bool m_hasContact = true;
  /** Whether the current replica was named as the leader by the one before. */
  bool m_isFollowing = false;
  Deadline m_nextAttemptAt{};
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_isWoken = false;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
