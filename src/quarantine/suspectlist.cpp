#include "quarantine/suspectlist.h"

namespace mimosarun {

/** A replica that missed a proof gets the next one while it still lists the request. */
static constexpr std::chrono::milliseconds kProofInterval{ 200 };
static constexpr std::chrono::milliseconds kActivityInterval{ 500 };
/** A replica that doesn't change its list for so long isn't heard any more. */
static constexpr std::chrono::seconds kListLifetime{ 60 };

void
SuspectList::Set(const std::vector<std::string>& aFingerprints, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  std::map<std::string, Deadline> provenFrom;
  for (const std::string& fingerprint : aFingerprints) {
    const auto listed = m_provenFrom.find(fingerprint);
    provenFrom[fingerprint] = listed == m_provenFrom.end() ? aNow : listed->second;
  }
  m_provenFrom = std::move(provenFrom);
  m_isEmpty = m_provenFrom.empty();
  m_expiresAt = aNow + kListLifetime;
}

void
SuspectList::ExpireLocked(Deadline aNow)
{
  if (aNow >= m_expiresAt) {
    m_provenFrom.clear();
    m_isEmpty = true;
  }
}

bool
SuspectList::TakeProofIfDue(const std::string& aFingerprint, Deadline aProvenSince, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  ExpireLocked(aNow);
  const auto listed = m_provenFrom.find(aFingerprint);
  if (listed == m_provenFrom.end() || aProvenSince < listed->second) {
    return false;
  }
  listed->second = aNow + kProofInterval;
  return true;
}

bool
SuspectList::TakeActivityReportIfDue(Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  ExpireLocked(aNow);
  if (m_provenFrom.empty() || aNow < m_nextActivityReport) {
    return false;
  }
  m_nextActivityReport = aNow + kActivityInterval;
  return true;
}

} // namespace mimosarun
