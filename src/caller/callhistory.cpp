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
  shard.records.push_back(std::move(aRecord));
  if (shard.records.size() > kRecordsPerShard) {
    shard.records.pop_front();
  }
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
