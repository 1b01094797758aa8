#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** A roll-out with the times at which this replica applied its entries. */
struct AppliedRollout
{
  wire::RolloutRecord record;
  Deadline orderAppliedAt;
  Deadline appliedAt;
  /** Whether the entries may be older than their application, as after a restart of the replica. */
  bool isReplayed = false;

  /** Returns the time since the order. */
  std::chrono::milliseconds Elapsed(Deadline aNow, WallTime aWallNow) const;
};

/** Replicated state of roll-outs: the latest one of each service. Not thread-safe. */
class RolloutState
{
public:
  RolloutState();

  /**
   * Starts the roll-out that the command describes. The same order again succeeds without effect while the
   * roll-out runs and for 15 s after its end; another one is rejected while it runs.
   */
  wire::CommandResult Start(const wire::Command& aCommand, Deadline aNow);

  /** Changes a running roll-out whose revision the command names in basedOn. */
  wire::CommandResult Advance(const wire::Command& aCommand, Deadline aNow);

  /** Returns the latest revision of any roll-out. */
  int64_t Revision() const { return m_revision; }

  wire::RolloutSet Set() const;
  std::vector<AppliedRollout> All() const;
  std::optional<AppliedRollout> Find(const std::string& aService) const;

  void Restore(const std::vector<wire::RolloutRecord>& aRecords, int64_t aRevision, Deadline aNow);

private:
  wire::CommandResult Store(wire::RolloutRecord aRecord, Deadline aOrderAppliedAt, Deadline aNow);

  Deadline m_createdAt;
  int64_t m_revision = 0;
  std::map<std::string, AppliedRollout> m_rollouts;
};

/** Returns the name of a roll-out's state in logs and in answers to operators. */
const char*
Name(wire::RolloutState::type aState);

} // namespace mimosarun
