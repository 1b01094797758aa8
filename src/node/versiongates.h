#pragma once

#include "common/clock.h"
#include "node/directory.h"
#include "rollout/rolloutview.h"

#include <vector>

namespace mimosarun {

/** Counts the targets of each version from the records of the members that can be reached. */
ServiceVersions
CountVersions(const std::vector<wire::Member>& aMembers);

/**
 * Leaves only the gates of allowed versions in GateDirectory::gates: those of a running roll-out's version
 * become candidates, and those of forbidden versions are removed.
 *
 * @param aNodes number of nodes that send calls to them
 */
void
SeparateVersions(GateDirectory& aDirectory, const RolloutView& aRollouts, size_t aNodes, Deadline aNow);

} // namespace mimosarun
