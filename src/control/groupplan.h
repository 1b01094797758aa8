#pragma once

#include "settings/processsettings.h"

#include <string>
#include <vector>

namespace mimosarun {

/** Name of the group that holds the configuration. */
inline constexpr const char* kConfigurationGroup = "configuration";

/** Which replicas form a group at first and where its leader should be. */
struct GroupPlan
{
  std::string name;
  std::vector<ReplicaSettings> members;
  /** Replicas elsewhere wait longer before they stand for election; empty means no preference. */
  std::string preferredRegion;
};

/** Name of the group that holds the claims of a region. */
std::string
ClaimGroupName(const std::string& aRegion);

/**
 * The groups of a deployment: one of all replicas for the configuration, and one for each region's claims.
 * A claim group has the replicas of its region, filled up from other regions to five, so that it survives
 * the loss of a failure domain of its region and, where the region holds three replicas, being cut off.
 */
std::vector<GroupPlan>
PlanGroups(const std::vector<ReplicaSettings>& aReplicas);

} // namespace mimosarun
