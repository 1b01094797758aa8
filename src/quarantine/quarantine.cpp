#include "quarantine/quarantine.h"

#include <algorithm>

namespace mimosarun {

/** Bounds the memory and the bytes of a list; a fingerprint has 32 characters. */
static constexpr size_t kMaximumRequests = 256;

void
Quarantine::Add(const std::vector<wire::QuarantinedRequest>& aRequests, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  RemoveExpiredLocked(aNow);
  for (const wire::QuarantinedRequest& request : aRequests) {
    const Deadline until = aNow + std::chrono::milliseconds(request.millisLeft);
    const auto listed = m_listedUntil.find(request.fingerprint);
    if (listed != m_listedUntil.end()) {
      listed->second = std::max(listed->second, until);
    } else if (m_listedUntil.size() < kMaximumRequests) {
      m_listedUntil[request.fingerprint] = until;
    }
  }
  m_size = m_listedUntil.size();
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
  const auto listed = m_listedUntil.find(aFingerprint);
  if (listed == m_listedUntil.end() || listed->second <= aNow) {
    return std::nullopt;
  }
  return listed->second;
}

std::vector<wire::QuarantinedRequest>
Quarantine::All(Deadline aNow) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::QuarantinedRequest> requests;
  for (const auto& [fingerprint, until] : m_listedUntil) {
    if (until <= aNow) {
      continue;
    }
    wire::QuarantinedRequest request;
    request.fingerprint = fingerprint;
    request.millisLeft = std::chrono::ceil<std::chrono::milliseconds>(until - aNow).count();
    requests.push_back(std::move(request));
  }
  return requests;
}

} // namespace mimosarun
