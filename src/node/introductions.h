#pragma once

#include "settings/processsettings.h"

#include <string>
#include <vector>

namespace mimosarun {

/**
 * Returns the replicas to which a starting node introduces itself, so that other starting nodes find it
 * before the first reports of its failure domain: all replicas of a small group; of a large one those of the
 * own failure domain and a few others of each region. Their number doesn't grow with the group.
 *
 * @param aReplicas sorted by distance from the node, in random order among equal ones
 */
std::vector<ReplicaSettings>
IntroductionTargets(const std::vector<ReplicaSettings>& aReplicas, const std::string& aFailureDomain);

} // namespace mimosarun
