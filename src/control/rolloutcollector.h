#pragma once

#include "common/workers.h"
#include "rollout/outcometable.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

/** Pulls the outcomes that the other replicas hold into the table of the leader. Thread-safe. */
class RolloutCollector
{
public:
  using PeerClient = RpcClient<wire::ControlPeerClient>;

  struct Options
  {
    /** Returns all replicas but this one. */
    std::function<std::vector<wire::Replica>()> otherReplicas;
    /** Returns the client of a replica, or null if its address isn't known. */
    std::function<std::shared_ptr<PeerClient>(const std::string& aReplica)> peerOf;
  };

  RolloutCollector(Options aOptions, OutcomeTable& aOutcomes);

  /** Starts a pull from each replica from which none is under way; returns at once. */
  void Collect();

  /** Ends the collection; calls in flight are waited for. */
  void Stop() { m_workers.Stop(); }

private:
  void CollectFrom(const std::string& aReplica);

  const Options m_options;
  OutcomeTable& m_outcomes;
  std::mutex m_mutex;
  std::set<std::string> m_underWay;
  WorkerPool m_workers;
};

} // namespace mimosarun
