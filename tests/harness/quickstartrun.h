#pragma once

#include "harness/mesh.h"
#include "process/shutdownsignal.h"

namespace mimosarun {

/**
 * Runs the steps of the quickstart, prints a table and returns the exit status. With aHoldUntil, only starts
 * the deployment and stops it after the signal.
 */
int
RunQuickstart(Mesh& aMesh, ShutdownSignal* aHoldUntil);

} // namespace mimosarun
