#include "target/nonidempotentcalls.h"

namespace mimosarun {

/** Exceeds any deadline within which an entry would send a call again. */
static constexpr std::chrono::milliseconds kRetentionTime{ 15000 };

std::shared_ptr<GateCall>
NonIdempotentCalls::FindOrAdd(const std::string& aId, const std::shared_ptr<GateCall>& aCall, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  while (!m_callsByAge.empty() && aNow > m_callsByAge.front().addedAt + kRetentionTime) {
    m_calls.erase(m_callsByAge.front().id);
    m_callsByAge.pop_front();
  }
  const auto [position, inserted] = m_calls.try_emplace(aId, aCall);
  if (!inserted) {
    return position->second;
  }
  m_callsByAge.push_back({ .id = aId, .addedAt = aNow });
  return nullptr;
}

void
NonIdempotentCalls::Remove(const std::string& aId)
{
  const std::lock_guard lock(m_mutex);
  m_calls.erase(aId);
}

} // namespace mimosarun
