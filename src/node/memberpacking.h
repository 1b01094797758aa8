#pragma once

#include "common/error.h"
#include "wire/gen-cpp/mesh_types.h"

namespace mimosarun {

/**
 * Replaces the members of a message by a compressed batch if there are several: their records share most of
 * their text, and on a slow link they would compete with calls.
 */
void
PackMembers(wire::Gossip& aGossip);
void
PackMembers(wire::GossipReply& aReply);

/** Reverses PackMembers(); returns an error if the batch is damaged, and leaves the members as they are. */
Result<void>
UnpackMembers(wire::Gossip& aGossip);
Result<void>
UnpackMembers(wire::GossipReply& aReply);

} // namespace mimosarun
