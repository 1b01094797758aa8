#pragma once

#include "common/workers.h"
#include "settings/processsettings.h"
#include "wire/gen-cpp/mesh_types.h"

#include <functional>
#include <vector>

namespace mimosarun {

/**
 * Reports the ends of targets to all control replicas, so that each can count them whichever nodes they
 * happen at, without agreement between replicas. Thread-safe.
 */
class CrashReporter
{
public:
  using ReplicaSource = std::function<std::vector<ReplicaSettings>()>;

  explicit CrashReporter(ReplicaSource aReplicas);

  /** Sends a report without blocking. Replicas that can't be reached miss it. */
  void Report(const wire::TargetCrash& aCrash);

  /** Drops the reports that haven't been sent. */
  void Stop() { m_workers.Stop(); }

private:
  const ReplicaSource m_replicas;
  WorkerPool m_workers;
};

} // namespace mimosarun
