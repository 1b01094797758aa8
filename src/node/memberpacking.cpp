#include "node/memberpacking.h"

#include "common/compression.h"
#include "wire/codec.h"

#include <utility>

namespace mimosarun {

/** Fewer records are about as small without compression. */
static constexpr size_t kSmallestBatch = 3;
static constexpr size_t kBatchLimitBytes = 4UL * 1024 * 1024;

template<typename Message>
static void
Pack(Message& aMessage)
{
  if (aMessage.members.size() < kSmallestBatch) {
    return;
  }
  wire::MemberBatch batch;
  batch.members = std::exchange(aMessage.members, {});
  aMessage.packedMembers = Compress(Encode(batch));
}

template<typename Message>
static Result<void>
Unpack(Message& aMessage)
{
  if (aMessage.packedMembers.empty()) {
    return boost::outcome_v2::success();
  }
  MIMOSARUN_TRY(const std::string bytes, Decompress(aMessage.packedMembers, kBatchLimitBytes));
  MIMOSARUN_TRY(wire::MemberBatch batch, Decode<wire::MemberBatch>(bytes));
  aMessage.members = std::move(batch.members);
  aMessage.packedMembers.clear();
  return boost::outcome_v2::success();
}

void
PackMembers(wire::Gossip& aGossip)
{
  Pack(aGossip);
}

void
PackMembers(wire::GossipReply& aReply)
{
  Pack(aReply);
}

Result<void>
UnpackMembers(wire::Gossip& aGossip)
{
  return Unpack(aGossip);
}

Result<void>
UnpackMembers(wire::GossipReply& aReply)
{
  return Unpack(aReply);
}

} // namespace mimosarun
