#include "control/resultcache.h"

namespace mimosarun {

static constexpr size_t kResultLimit = 4096;

std::optional<wire::CommandResult>
ResultCache::Find(const std::string& aRequestId) const
{
  const auto result = m_results.find(aRequestId);
  return result == m_results.end() ? std::nullopt : std::optional(result->second);
}

void
ResultCache::Store(const std::string& aRequestId, const wire::CommandResult& aResult)
{
  if (aRequestId.empty() || !m_results.emplace(aRequestId, aResult).second) {
    return;
  }
  m_order.push_back(aRequestId);
  if (m_order.size() > kResultLimit) {
    m_results.erase(m_order.front());
    m_order.pop_front();
  }
}

std::vector<wire::StoredResult>
ResultCache::Image() const
{
  std::vector<wire::StoredResult> image;
  for (const std::string& requestId : m_order) {
    wire::StoredResult stored;
    stored.requestId = requestId;
    stored.result = m_results.at(requestId);
    image.push_back(std::move(stored));
  }
  return image;
}

void
ResultCache::Restore(const std::vector<wire::StoredResult>& aImage)
{
  m_results.clear();
  m_order.clear();
  for (const wire::StoredResult& stored : aImage) {
    Store(stored.requestId, stored.result);
  }
}

} // namespace mimosarun
