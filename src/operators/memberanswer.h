#pragma once

#include "operators/answer.h"
#include "wire/gen-cpp/mesh_types.h"

#include <vector>

namespace mimosarun {

const char*
PhaseName(wire::TargetPhase::type aPhase);
const char*
StateName(wire::MemberState::type aState);

/** Returns a table of nodes. */
Answer
NodeTable(const std::vector<wire::Member>& aMembers);

} // namespace mimosarun
