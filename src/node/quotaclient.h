#pragma once

#include "configuration/snapshot.h"
#include "process/metrics.h"
#include "quota/quotapool.h"
#include "quota/worksignal.h"
#include "settings/processsettings.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/**
 * Reports a node's use of the teams' quotas to the leader of the control replicas and gets more granted.
 * Sends nothing where no team has a limit.
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

  /** Sets the teams of a configuration; the first one with a limit starts the threads. */
  void SetConfiguration(const SnapshotPointer& aSnapshot);

  /** Requests the end of the threads without waiting for it. */
  void BeginStop();
  void Stop();

  /** Updates the counters of the teams' requests. */
  void RefreshMetrics(Metrics& aMetrics) const;

private:
  using Client = RpcClient<wire::ControlPeerClient>;

  /** One of the connections to the leader. */
  struct Connection
  {
    std::unique_ptr<Client> client;
    /** Whether the current replica was named as the leader by the one before. */
    bool isFollowing = false;
    Deadline nextAttemptAt{};
    /** Whether a report is in flight; guarded by m_mutex. */
    bool isBusy = false;
    /** When the report in flight was sent; guarded by m_mutex. */
    Deadline sentAt{};
    std::thread thread;
  };

  void Run(size_t aConnection);
  /** Waits until the connection has a report to send; returns false as soon as BeginStop() is called. */
  bool WaitForWork(size_t aConnection);
  /** Returns when the connection has a report to send, or nothing if it has none. */
  std::optional<Deadline> WorkAt(size_t aConnection, Deadline aNow);
  void SetBusy(Connection& aConnection, bool aIsBusy);
  void Exchange(Connection& aConnection);
  void HandleFailure(Connection& aConnection, const std::string& aReason);
  /** Connects to the leader that a replica named; returns false if it isn't known or is that replica. */
  bool Follow(Connection& aConnection, const std::string& aLeader);
  /** Connects to the leader that answered last, or to the replica after the last one that was tried. */
  void Connect(Connection& aConnection);
  void RecordContact(const std::optional<Address>& aLeader, const std::string& aReason);

  const ReplicaSource m_replicas;
  /** Tells the threads that a report is due earlier than they expect. */
  WorkSignal m_reportDue;
  QuotaPool m_pool;
  std::mutex m_mutex;
  size_t m_nextReplica = 0;
  /** The leader that answered last, if it still did. */
  std::optional<Address> m_leader;
  bool m_hasContact = true;
  /** The second one is used only for requests that begin to wait while a report of the first is in flight. */
  std::array<Connection, 2> m_connections;
};

} // namespace mimosarun
