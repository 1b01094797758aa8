#pragma once

#include "common/clock.h"
#include "settings/processsettings.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace mimosarun {

/**
 * The control replicas that a node knows, in the order in which it turns to them: those of its own failure
 * domain first, then those of its region, then the others. There may be none. Only one thread changes the
 * list; seeds may be set, and the list read, by any thread.
 */
class ReplicaRotation
{
public:
  using Client = RpcClient<wire::ControlPeerClient>;

  struct Options
  {
    std::string region;
    std::string failureDomain;
    /** Whether replicas name the others, so that the seeds only lead to them. */
    bool isDiscovering = false;
  };

  ReplicaRotation(Options aOptions, std::vector<ReplicaSettings> aSeeds);

  /** Sets the replicas to turn to when no known one answers. An empty list leaves the former ones. */
  void SetSeeds(std::vector<ReplicaSettings> aSeeds);

  std::vector<ReplicaSettings> Replicas() const;

  /** Returns the current replica, or the preferred one if it is due for another try; null if none is known.
   */
  Client* Current(Deadline aNow);

  /** Returns the name of the current replica, or an empty text if none is known. */
  std::string CurrentName() const;

  void RecordAnswer() { m_consecutiveFailures = 0; }

  /** Counts a failed call and turns to the next replica. */
  void RecordFailure(Deadline aNow);

  /** Turns to the next replica; to the seeds if none of the known replicas has answered. */
  void TurnToNext();

  /** Whether some known replica may answer: not all of them have failed in turn. */
  bool MayReachControl() const { return m_consecutiveFailures < m_clients.size(); }

  /** Takes over the replicas that a process named, if they are to be discovered and any can be used. */
  void Adopt(const std::vector<wire::Replica>& aReplicas);

  /** Turns to the seeds if no replica is known; returns whether one is known then. */
  bool UseSeedsIfEmpty();

private:
  std::vector<ReplicaSettings> Seeds() const;
  /** Replaces the replicas and their connections, unless the list is empty. */
  void Replace(std::vector<ReplicaSettings> aReplicas);
  int DistanceTo(const ReplicaSettings& aReplica) const;

  const Options m_options;
  /** Guards m_seeds, and changes of m_replicas. */
  mutable std::mutex m_mutex;
  std::vector<ReplicaSettings> m_seeds;
  std::vector<ReplicaSettings> m_replicas;
  /** One for each of m_replicas. */
  std::vector<std::unique_ptr<Client>> m_clients;
  /** Index into m_replicas and m_clients; 0 is the preferred replica. */
  size_t m_current = 0;
  size_t m_consecutiveFailures = 0;
  Deadline m_nextPreferredTry{};
};

} // namespace mimosarun
