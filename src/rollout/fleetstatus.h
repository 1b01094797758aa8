#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosarun {

/** State of the nodes beside a service's targets, as their newest reports show it. */
struct FleetStatus
{
  /** Targets whose nodes have reported lately. */
  int candidateTargets = 0;
  int oldTargets = 0;
  /** Nodes whose last report is older than two seconds, but that may still run. */
  int silentNodes = 0;
  /** Reporting nodes that apply an older revision of the roll-outs. */
  int outdatedNodes = 0;
  /** Calls that hold a slot of an old target or wait for one. */
  int64_t oldOpenCalls = 0;
};

/** Names what a FleetStatus is about. */
struct RolloutIdentity
{
  std::string candidate;
  int64_t revision = 0;
};

/** Returns the state that the newest reports on a service's targets show. */
FleetStatus
StatusOf(const std::vector<wire::NodeOutcomes>& aReports, const RolloutIdentity& aRollout);

} // namespace mimosarun
