#pragma once

#include "common/clock.h"
#include "configuration/snapshot.h"

#include <string>

namespace mimosarun {

/** What an entry knows about a call when it starts it. */
struct CallOptions
{
  std::string callId;
  SnapshotPointer snapshot;
  /** Owned by the snapshot. */
  const Route* route = nullptr;
  /** Name of the caller's team; empty on public routes and where there are no teams. */
  std::string team;
  int64_t teamPriority = 0;
  /** Requests per second of the quota of the team; zero if it has none. */
  double teamRate = 0;
  Deadline deadline;
  /** Until then a response has its full value to the caller. */
  Deadline objectiveDeadline;
};

} // namespace mimosarun
