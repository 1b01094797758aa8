#include "caller/callhistory.h"

#include <algorithm>
#include <functional>

namespace mimosarun {

static constexpr size_t kRecordsPerShard = 256;

const CallHistory::Shard&
CallHistory::ShardOf(const std::string& aCallId) const
{
  return m_shards[std::hash<std::string>{}(aCallId) % m_shards.size()];
}

void
CallHistory::Add(CallRecord aRecord)
{
  Shard& shard = const_cast<Shard&>(ShardOf(aRecord.callId));
  const std::lock_guard lock(shard.mutex);
  if (aRecord.isStreamed && aRecord.outcome != kStreamingOutcome && ReplaceStreaming(shard, aRecord)) {
    return;
  }
  shard.records.push_back(std::move(aRecord));
  if (shard.records.size() > kRecordsPerShard) {
    shard.records.pop_front();
  }
}

bool
CallHistory::ReplaceStreaming(Shard& aShard, const CallRecord& aRecord)
{
  const auto isBeginning = [&](const CallRecord& aOther) {
    return aOther.outcome == kStreamingOutcome && aOther.callId == aRecord.callId;
  };
  const auto found = std::find_if(aShard.records.begin(), aShard.records.end(), isBeginning);
  if (found == aShard.records.end()) {
    return false;
  }
  *found = aRecord;
  return true;
}

std::optional<CallRecord>
CallHistory::Find(const std::string& aCallId) const
{
  const Shard& shard = ShardOf(aCallId);
  const std::lock_guard lock(shard.mutex);
  const auto found = std::find_if(shard.records.begin(), shard.records.end(), [&](const CallRecord& aRecord) {
    return aRecord.callId == aCallId;
  });
  return found == shard.records.end() ? std::nullopt : std::optional(*found);
}

} // namespace mimosarun
