#pragma once

#include "wire/gen-cpp/mesh_types.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** Members with a replica as a learner in the place of any of the same name. */
std::vector<wire::Replica>
MembersWithLearner(std::vector<wire::Replica> aMembers, wire::Replica aReplica);

/** Members with the place and address of one of them as it says itself. */
std::vector<wire::Replica>
MembersWithDescription(std::vector<wire::Replica> aMembers, const wire::Replica& aReplica);

/** Members with a learner made a voter. */
std::vector<wire::Replica>
MembersWithPromoted(std::vector<wire::Replica> aMembers, const std::string& aName);

/** Members without a replica. */
std::vector<wire::Replica>
MembersWithout(std::vector<wire::Replica> aMembers, const std::string& aName);

/** How long each member has been silent, as the leader sees it. */
using SilenceDurations = std::map<std::string, std::chrono::milliseconds>;

/** What the leader aims at. */
struct MembershipGoal
{
  /** Number of voters; zero makes every caught-up learner a voter. */
  int voters = 0;
  /** The leader itself. */
  std::string leader;
};

/**
 * The next list of members on the way to the goal, one change at a time, or nothing where all is well. A
 * voter that has fallen silent is replaced by a learner that has caught up: first the learner is promoted,
 * then the silent voter is made a learner. A learner that stays silent for long is removed.
 */
std::optional<std::vector<wire::Replica>>
NextMembers(const std::vector<wire::Replica>& aMembers,
            const MembershipGoal& aGoal,
            const SilenceDurations& aSilences,
            const std::function<bool(const std::string& aName)>& aCaughtUp);

/** Whether a member of this name and incarnation is among the members. */
bool
Contains(const std::vector<wire::Replica>& aMembers, const std::string& aName, int64_t aIncarnation);

/** Whether a member with this identity, place and address is among the members. */
bool
HasMemberAsDescribed(const std::vector<wire::Replica>& aMembers, const wire::Replica& aReplica);

/** The members as one line for logs. */
std::string
Describe(const std::vector<wire::Replica>& aMembers);

} // namespace mimosarun
