#pragma once

#include "settings/processsettings.h"

#include <string>
#include <vector>

namespace mimosarun {

/** Name of the group that holds the configuration. */
inline constexpr const char* kConfigurationGroup = "configuration";

/** Initial members of a group and the preferred region of its leader. */
struct GroupPlan
{
  std::string name;
  std::vector<ReplicaSettings> members;
  /** Replicas of other regions wait longer before they stand for election; empty means no preference. */
  std::string preferredRegion;
};

/** Returns the name of the group that holds the claims of a region. */
std::string
ClaimGroupName(const std::string& aRegion);

/**
 * Returns the groups of a deployment: one of all replicas for the configuration, and one for each region's
 * claims. A claim group consists of the replicas of its region, filled up to five with others. It survives
 * the loss of a failure domain of its region and, if the region has three replicas, a partition from the
 * other regions.
 */
std::vector<GroupPlan>
PlanGroups(const std::vector<ReplicaSettings>& aReplicas);

} // namespace mimosarun
