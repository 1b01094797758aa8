#pragma once

#include "node/membertable.h"

#include <string>
#include <vector>

namespace mimosarun {

/**
 * Whether this node is one of the few of its failure domain that talk to control and to other domains.
 * Every node works it out from its own member table by rendezvous hashing, so no list is kept and losing a
 * relay costs the time to notice its death.
 */
bool
IsRelay(const MemberTable& aTable, const std::string& aFailureDomain);

/** The other nodes of the failure domain that this node takes for its relays. */
std::vector<wire::Member>
RelaysOf(const MemberTable& aTable, const std::string& aFailureDomain);

} // namespace mimosarun
