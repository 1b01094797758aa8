#pragma once

#include "wire/gen-cpp/mesh_types.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** Returns the members with a replica added as a learner, in place of a member of the same name. */
std::vector<wire::Replica>
MembersWithLearner(std::vector<wire::Replica> aMembers, wire::Replica aReplica);

/** Returns the members with the region, failure domain and address of the replica updated. */
std::vector<wire::Replica>
MembersWithDescription(std::vector<wire::Replica> aMembers, const wire::Replica& aReplica);

/** Returns the members with a learner promoted to voter. */
std::vector<wire::Replica>
MembersWithPromoted(std::vector<wire::Replica> aMembers, const std::string& aName);

/** Returns the members without a replica. */
std::vector<wire::Replica>
MembersWithout(std::vector<wire::Replica> aMembers, const std::string& aName);

/** Time since the leader last had a reply of each member. */
using SilenceDurations = std::map<std::string, std::chrono::milliseconds>;

/** Desired membership of a group. */
struct MembershipGoal
{
  /** Number of voters; 0 makes every caught-up learner a voter. */
  int voterCount = 0;
  /** Name of the leader, which is never demoted. */
  std::string leader;
};

/**
 * Returns the next member list on the way to the goal, one change at a time, or nullopt if no change is
 * needed. A silent voter is replaced by a caught-up learner: first the learner is promoted, then the silent
 * voter is demoted to learner. With a fixed number of voters, a learner that stays silent is removed.
 */
std::optional<std::vector<wire::Replica>>
NextMembers(const std::vector<wire::Replica>& aMembers,
            const MembershipGoal& aGoal,
            const SilenceDurations& aSilences,
            const std::function<bool(const std::string& aName)>& aCaughtUp);

/** Returns whether a member has this name and incarnation. */
bool
HasMember(const std::vector<wire::Replica>& aMembers, const std::string& aName, int64_t aIncarnation);

/** Returns whether a member has the replica's name, incarnation, region, failure domain and address. */
bool
HasMemberAsDescribed(const std::vector<wire::Replica>& aMembers, const wire::Replica& aReplica);

/** Returns the members as one line for logs. */
std::string
MembersText(const std::vector<wire::Replica>& aMembers);

} // namespace mimosarun
