#include "control/resultcache.h"

namespace mimosarun {

static constexpr size_t kMaxResults = 4096;

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
  m_insertionOrder.push_back(aRequestId);
  if (m_insertionOrder.size() > kMaxResults) {
    m_results.erase(m_insertionOrder.front());
    m_insertionOrder.pop_front();
  }
}

std::vector<wire::StoredResult>
ResultCache::Image() const
{
  std::vector<wire::StoredResult> image;
  for (const std::string& requestId : m_insertionOrder) {
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
  m_insertionOrder.clear();
  for (const wire::StoredResult& stored : aImage) {
    Store(stored.requestId, stored.result);
  }
}

} // namespace mimosarun
