#include "target/oncecalls.h"

namespace mimosarun {

/** Longer than any deadline within which an entry would ask again. */
static constexpr std::chrono::milliseconds kKept{ 15000 };

std::shared_ptr<GateCall>
OnceCalls::FindOrAdd(const std::string& aId, const std::shared_ptr<GateCall>& aCall, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  while (!m_order.empty() && aNow > m_order.front().at + kKept) {
    m_calls.erase(m_order.front().id);
    m_order.pop_front();
  }
  const auto [place, added] = m_calls.try_emplace(aId, aCall);
  if (!added) {
    return place->second;
  }
  m_order.push_back({ .id = aId, .at = aNow });
  return nullptr;
}

void
OnceCalls::Forget(const std::string& aId)
{
  const std::lock_guard lock(m_mutex);
  m_calls.erase(aId);
}

} // namespace mimosarun
