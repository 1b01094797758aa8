#include "target/completedruns.h"

namespace mimosarun {

/** Bounds the memory to about a megabyte; requests that come often stay among so many. */
static constexpr size_t kMaximumRequests = 4096;
/** In this time requests that come again and again have run to their end a few times. */
static constexpr std::chrono::seconds kLearningTime{ 5 };

void
CompletedRuns::SetTarget(const std::string& aService, const std::string& aVersion, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  if (m_knownFrom && m_service == aService && m_version == aVersion) {
    return;
  }
  m_knownFrom = aNow + kLearningTime;
  m_service = aService;
  m_version = aVersion;
  m_requests.clear();
  m_recency.clear();
}

void
CompletedRuns::Record(const std::string& aFingerprint, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  const auto [entry, isNew] = m_requests.try_emplace(aFingerprint);
  Ends& ends = entry->second;
  if (isNew) {
    m_recency.push_front(aFingerprint);
    ends.recencyPosition = m_recency.begin();
  } else {
    m_recency.splice(m_recency.begin(), m_recency, ends.recencyPosition);
  }
  ends.times[ends.count % kProvingRuns] = aNow;
  ++ends.count;
  if (m_requests.size() > kMaximumRequests) {
    m_requests.erase(m_recency.back());
    m_recency.pop_back();
  }
}

bool
CompletedRuns::IsNew(Deadline aNow) const
{
  const std::lock_guard lock(m_mutex);
  return !m_knownFrom || aNow < *m_knownFrom;
}

std::optional<Deadline>
CompletedRuns::ProvenSince(const std::string& aFingerprint) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_requests.find(aFingerprint);
  if (found == m_requests.end() || found->second.count < kProvingRuns) {
    return std::nullopt;
  }
  // The next place of the ring holds the oldest time.
  return found->second.times[found->second.count % kProvingRuns];
}

int64_t
MillisSince(Deadline aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - aTime).count();
}

} // namespace mimosarun
