#pragma once

#include "harness/mesh.h"

#include <atomic>

namespace mimosarun {

/**
 * Injects random faults in series until aStop is set: killed processes and broken connections, planned stops,
 * hang-up signals to all processes, most nodes of a failure domain suspended during a change, and requests
 * that end the targets that run them. Targets that have ended are started again.
 */
void
InjectSoakFaults(Mesh& aMesh, const std::atomic<bool>& aStop, uint64_t aSeed);

/**
 * Sends SIGTERM to nodes in series and at overlapping times, and hang-up signals to all processes, until
 * aStop is set. Each stopped node is started again when it has ended; returns when all have. No node is
 * stopped in its first seconds.
 */
void
InjectPlannedStops(Mesh& aMesh, const std::atomic<bool>& aStop, uint64_t aSeed);

} // namespace mimosarun
