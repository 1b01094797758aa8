#pragma once

#include "wire/gen-cpp/mesh_types.h"

#include <string>
#include <vector>

namespace mimosarun {

/** Members with a replica as a learner in the place of any of the same name. */
std::vector<wire::Replica>
MembersWithLearner(std::vector<wire::Replica> aMembers, wire::Replica aReplica);

/** Members with a learner made a voter. */
std::vector<wire::Replica>
MembersWithVoter(std::vector<wire::Replica> aMembers, const std::string& aName);

/** Members without a replica. */
std::vector<wire::Replica>
MembersWithout(std::vector<wire::Replica> aMembers, const std::string& aName);

/** Whether a member of this name and incarnation is among the members. */
bool
Contains(const std::vector<wire::Replica>& aMembers, const std::string& aName, int64_t aIncarnation);

/** The members as one line for logs. */
std::string
Describe(const std::vector<wire::Replica>& aMembers);

} // namespace mimosarun
