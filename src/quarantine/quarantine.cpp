#include "quarantine/quarantine.h"

#include <algorithm>

namespace mimosarun {

/** Bounds the memory and the bytes of a list; a fingerprint has 32 characters. */
static constexpr size_t kMaximumRequests = 256;

Quarantine::Key
Quarantine::KeyOf(const wire::QuarantinedRequest& aRequest)
{
  return { .fingerprint = aRequest.fingerprint,
           .node = aRequest.__isset.node ? std::optional(aRequest.node) : std::nullopt };
}

bool
Quarantine::Add(const std::vector<wire::QuarantinedRequest>& aRequests, Deadline aNow)
{
  bool isAnyNew = false;
  const std::lock_guard lock(m_mutex);
  RemoveExpiredLocked(aNow);
  for (const wire::QuarantinedRequest& request : aRequests) {
    const Deadline until = aNow + std::chrono::milliseconds(request.millisLeft);
    const Key key = KeyOf(request);
    const auto listed = m_listedUntil.find(key);
    if (listed != m_listedUntil.end()) {
      listed->second = std::max(listed->second, until);
    } else if (m_listedUntil.size() < kMaximumRequests) {
      m_listedUntil[key] = until;
      isAnyNew = true;
    }
  }
  m_size = m_listedUntil.size();
  return isAnyNew;
}

void
Quarantine::RemoveExpiredLocked(Deadline aNow)
{
  std::erase_if(m_listedUntil, [&](const auto& aEntry) { return aEntry.second <= aNow; });
}

std::optional<Deadline>
Quarantine::ListedUntil(const std::string& aFingerprint, Deadline aNow) const
{
  const std::lock_guard lock(m_mutex);
  const auto listed = m_listedUntil.find({ .fingerprint = aFingerprint, .node = std::nullopt });
  if (listed == m_listedUntil.end() || listed->second <= aNow) {
    return std::nullopt;
  }
  return listed->second;
}

std::set<std::string>
Quarantine::ExcludedNodes(const std::string& aFingerprint, Deadline aNow) const
{
  std::set<std::string> nodes;
  const std::lock_guard lock(m_mutex);
  auto entry = m_listedUntil.lower_bound({ .fingerprint = aFingerprint, .node = std::nullopt });
  for (; entry != m_listedUntil.end() && entry->first.fingerprint == aFingerprint; ++entry) {
    if (entry->first.node && entry->second > aNow) {
      nodes.insert(*entry->first.node);
    }
  }
  return nodes;
}

std::vector<wire::QuarantinedRequest>
Quarantine::All(Deadline aNow) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::QuarantinedRequest> requests;
  for (const auto& [key, until] : m_listedUntil) {
    if (until <= aNow) {
      continue;
    }
    wire::QuarantinedRequest request;
    request.fingerprint = key.fingerprint;
    request.millisLeft = std::chrono::ceil<std::chrono::milliseconds>(until - aNow).count();
    if (key.node) {
      request.__set_node(*key.node);
    }
    requests.push_back(std::move(request));
  }
  return requests;
}

} // namespace mimosarun
