#pragma once

#include "common/workers.h"
#include "settings/processsettings.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <functional>
#include <vector>

namespace mimosarun {

/**
 * Reports the ends of targets, and what runs to its end, to all control replicas, so that each can decide
 * whichever nodes it happens at, without agreement between replicas. Thread-safe.
 */
class CrashReporter
{
public:
  using ReplicaSource = std::function<std::vector<ReplicaSettings>()>;

  explicit CrashReporter(ReplicaSource aReplicas);

  /** Sends a report without blocking. Replicas that can't be reached miss it. */
  void Report(const wire::TargetCrash& aCrash);
  void Report(const wire::ProvenRuns& aRuns);

  /** Drops the reports that haven't been sent. */
  void Stop()
  {
    m_workers.Stop();
    m_runWorkers.Stop();
  }

private:
  using Client = RpcClient<wire::ControlPeerClient>;

  /** Calls a function of each replica. */
  void CallAll(WorkerPool& aWorkers, const std::function<void(wire::ControlPeerClient&)>& aCall);

  const ReplicaSource m_replicas;
  WorkerPool m_workers;
  WorkerPool m_runWorkers;
};

} // namespace mimosarun
