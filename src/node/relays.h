#pragma once

#include "node/membertable.h"

#include <string>

namespace mimosarun {

/**
 * Whether this node is one of the few of its failure domain that talk to control and to other domains.
 * Every node works it out from its own member table by rendezvous hashing, so no list is kept and losing a
 * relay costs the time to notice its death.
 */
bool
IsRelay(const MemberTable& aTable, const std::string& aFailureDomain);

} // namespace mimosarun
