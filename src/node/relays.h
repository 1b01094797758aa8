#pragma once

#include "node/membertable.h"

#include <string>
#include <vector>

namespace mimosarun {

/**
 * Whether this node is one of the few of its failure domain that communicate with control and other domains.
 * Each node computes this from its own member table by rendezvous hashing, so no list is stored, and a relay
 * that fails is replaced as soon as its failure is detected.
 */
bool
IsRelay(const MemberTable& aTable, const std::string& aFailureDomain);

/** Returns the relays of a failure domain as computed from the other members, without this node. */
std::vector<wire::Member>
RelaysOf(const MemberTable& aTable, const std::string& aFailureDomain);

} // namespace mimosarun
