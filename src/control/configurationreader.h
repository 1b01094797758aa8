#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "control/configurationstate.h"

#include <functional>

namespace mimosarun {

/** Reads the configuration of this replica once it is known to be the newest. Thread-safe. */
class ConfigurationReader
{
public:
  struct Options
  {
    /** Asks the leader for its commit index, confirmed by a quorum after the start of the call. */
    std::function<Result<wire::ReadIndex>(Deadline)> requestReadIndex;
  };

  ConfigurationReader(Options aOptions, const ConfigurationState& aState);

  /** Returns the newest version, or NotLeader if no quorum confirms by the deadline that it is the newest. */
  Result<SnapshotPointer> ReadNewest(Deadline aDeadline) const;

  /**
   * Waits until this replica has applied all entries that the leader had committed when asked. Returns false
   * if no leader confirms or the deadline passes.
   */
  bool WaitUntilCaughtUp(Deadline aDeadline) const;

private:
  SnapshotPointer WaitForNewest(Deadline aDeadline) const;
  SnapshotPointer WaitUntilApplied(int64_t aIndex, Deadline aDeadline) const;

  const Options m_options;
  const ConfigurationState& m_state;
};

} // namespace mimosarun
