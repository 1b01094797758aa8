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

/** Reverses PackMembers(); if the batch is damaged, returns an error and the message has no members. */
Result<void>
UnpackMembers(wire::Gossip& aGossip);
Result<void>
UnpackMembers(wire::GossipReply& aReply);

} // namespace mimosarun
