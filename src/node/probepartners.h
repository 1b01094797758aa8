#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace mimosarun {

/**
 * Returns the members of a failure domain with which a node exchanges gossip and whose liveness it checks:
 * its successors on a hash ring, so that each member is checked by someone, and some chosen by rendezvous
 * hashing, so that news spreads in few rounds. Their number is bounded, and so are a node's connections,
 * however large the domain is. A member that joins or leaves changes few other nodes' partners.
 */
std::vector<std::string>
ProbePartners(const std::string& aNode, const std::vector<std::string>& aMembers);

/** Returns up to aCount members that a node always prefers; different nodes prefer different ones. */
std::vector<std::string>
PreferredMembers(const std::string& aNode, const std::vector<std::string>& aMembers, size_t aCount);

} // namespace mimosarun
