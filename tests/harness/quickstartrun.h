#pragma once

#include "harness/mesh.h"
#include "process/shutdownsignal.h"

namespace mimosarun {

/** Runs the steps of the quickstart and prints a table; gives the exit status. */
int
RunQuickstart(Mesh& aMesh, ShutdownSignal* aHoldUntil);

} // namespace mimosarun
