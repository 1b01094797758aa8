#include "quarantine/crashledger.h"

#include "common/log.h"
#include "common/random.h"

#include <limits>

namespace mimosarun {

/** Targets that may end under a request before it is quarantined. */
static constexpr size_t kCrashLimit = 3;
/** Long enough for operators to act; a corrected target then gets the request again. */
static constexpr std::chrono::minutes kQuarantineTime{ 10 };
/** Bounds the memory to about a megabyte if very many requests run on targets that end. */
static constexpr size_t kMaximumCountedRequests = 4096;

CrashLedger::CrashLedger(Listener aListener)
  : m_listener(std::move(aListener))
  , m_epoch(RandomBetween(1, std::numeric_limits<int64_t>::max()))
{
}

bool
CrashLedger::CountLocked(const std::string& aFingerprint, const std::string& aCrash)
{
  const auto [entry, isNew] = m_crashes.try_emplace(aFingerprint);
  Crashes& crashes = entry->second;
  if (!isNew) {
    m_recency.erase(crashes.recencyPosition);
  }
  crashes.recencyPosition = m_recency.insert(m_recency.begin(), aFingerprint);
  crashes.identifiers.insert(aCrash);
  const bool isLimitReached = crashes.identifiers.size() >= kCrashLimit;
  if (isLimitReached) {
    // After its time in quarantine, the request is given as many targets again.
    m_recency.erase(crashes.recencyPosition);
    m_crashes.erase(entry);
  } else if (m_crashes.size() > kMaximumCountedRequests) {
    m_crashes.erase(m_recency.back());
    m_recency.pop_back();
  }
  return isLimitReached;
}

void
CrashLedger::Record(const wire::TargetCrash& aCrash, Deadline aNow)
{
  std::vector<wire::QuarantinedRequest> quarantined;
  {
    const std::lock_guard lock(m_mutex);
    for (const std::string& fingerprint : aCrash.fingerprints) {
      if (!m_quarantine.ListedUntil(fingerprint, aNow) && CountLocked(fingerprint, aCrash.identifier)) {
        wire::QuarantinedRequest request;
        request.fingerprint = fingerprint;
        request.millisLeft = std::chrono::milliseconds(kQuarantineTime).count();
        quarantined.push_back(std::move(request));
      }
    }
  }
  for (const wire::QuarantinedRequest& request : quarantined) {
    Log(Event::RequestQuarantined,
        { { "fingerprint", request.fingerprint },
          { "target", aCrash.target },
          { "targets", kCrashLimit },
          { "millis", request.millisLeft } });
  }
  Add(quarantined, aNow);
}

void
CrashLedger::Add(const std::vector<wire::QuarantinedRequest>& aRequests, Deadline aNow)
{
  bool isChanged = false;
  for (const wire::QuarantinedRequest& request : aRequests) {
    isChanged = isChanged || !m_quarantine.ListedUntil(request.fingerprint, aNow);
  }
  if (!isChanged) {
    return;
  }
  m_quarantine.Add(aRequests, aNow);
  {
    const std::lock_guard lock(m_mutex);
    ++m_revision;
  }
  m_listener();
}

wire::QuarantineMark
CrashLedger::Mark() const
{
  const std::lock_guard lock(m_mutex);
  wire::QuarantineMark mark;
  mark.epoch = m_epoch;
  mark.revision = m_revision;
  return mark;
}

} // namespace mimosarun
