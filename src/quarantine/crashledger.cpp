#include "quarantine/crashledger.h"

#include "common/log.h"
#include "common/random.h"

#include <limits>

namespace mimosarun {

/** Long enough for operators to act; a corrected target then gets the request again. */
static constexpr std::chrono::minutes kQuarantineTime{ 10 };
/** Bounds the memory to some megabytes if very many requests run on targets that end. */
static constexpr size_t kMaximumSuspects = 4096;
/** Bounds the list that each node gets. */
static constexpr size_t kMaximumListed = 64;

CrashLedger::CrashLedger(Listener aListener)
  : m_listener(std::move(aListener))
  , m_epoch(RandomBetween(1, std::numeric_limits<int64_t>::max()))
{
}

// --- suspects --------------------------------------------------------------------------------------------

Suspect&
CrashLedger::FindOrAddLocked(const std::string& aFingerprint)
{
  const auto [found, isNew] = m_suspects.try_emplace(aFingerprint);
  if (isNew) {
    m_recency.push_front(aFingerprint);
    found->second.recencyPosition = m_recency.begin();
  } else {
    m_recency.splice(m_recency.begin(), m_recency, found->second.recencyPosition);
  }
  if (m_suspects.size() > kMaximumSuspects) {
    RemoveLocked(std::string(m_recency.back()));
  }
  return found->second.suspect;
}

void
CrashLedger::RemoveLocked(const std::string& aFingerprint)
{
  const auto found = m_suspects.find(aFingerprint);
  if (found != m_suspects.end()) {
    m_recency.erase(found->second.recencyPosition);
    m_suspects.erase(found);
  }
}

bool
CrashLedger::UpdateListLocked(const std::string& aFingerprint, Deadline aNow)
{
  const auto found = m_suspects.find(aFingerprint);
  if (found == m_suspects.end() || !found->second.suspect.NeedsProof(aNow)) {
    return m_listed.erase(aFingerprint) > 0;
  }
  return m_listed.size() < kMaximumListed && m_listed.insert(aFingerprint).second;
}

// --- decisions -------------------------------------------------------------------------------------------

wire::QuarantinedRequest
CrashLedger::QuarantineLocked(const std::string& aFingerprint, const QuarantineScope& aScope)
{
  wire::QuarantinedRequest request;
  request.fingerprint = aFingerprint;
  request.millisLeft = std::chrono::milliseconds(kQuarantineTime).count();
  Suspect& suspect = m_suspects.at(aFingerprint).suspect;
  if (aScope.node) {
    request.__set_node(*aScope.node);
    suspect.ExcludeNode(*aScope.node);
    return request;
  }
  const std::set<std::string> explained = suspect.Crashes();
  // After its time in quarantine, the request is given as many targets again.
  RemoveLocked(aFingerprint);
  for (auto& [fingerprint, entry] : m_suspects) {
    entry.suspect.Explain(explained);
  }
  return request;
}

std::set<std::string>
CrashLedger::ExplainedLocked() const
{
  std::set<std::string> explained;
  for (const auto& [fingerprint, entry] : m_suspects) {
    if (entry.suspect.IsLikelyCause()) {
      explained.merge(entry.suspect.Crashes());
    }
  }
  return explained;
}

CrashLedger::Change
CrashLedger::EvaluateLocked(const std::set<std::string>& aFingerprints, Deadline aNow)
{
  Change change;
  const std::set<std::string> explained = ExplainedLocked();
  for (const std::string& fingerprint : aFingerprints) {
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()) {
      continue;
    }
    found->second.suspect.Expire(aNow);
    if (const std::optional<QuarantineScope> scope = found->second.suspect.Evaluate(explained, aNow)) {
      change.quarantined.push_back(QuarantineLocked(fingerprint, *scope));
    }
  }
  // A request that was quarantined may have cleared others.
  for (const std::string& fingerprint : aFingerprints) {
    change.isListChanged = UpdateListLocked(fingerprint, aNow) || change.isListChanged;
  }
  return change;
}

void
CrashLedger::Record(const wire::TargetCrash& aCrash, Deadline aNow)
{
  Change change;
  {
    const std::lock_guard lock(m_mutex);
    std::set<std::string> touched;
    for (const wire::CrashSuspect& reported : aCrash.suspects) {
      if (m_quarantine.ListedUntil(reported.fingerprint, aNow)) {
        continue;
      }
      std::optional<Deadline> provenSince;
      if (reported.__isset.provenMillisAgo) {
        provenSince = aNow - std::chrono::milliseconds(reported.provenMillisAgo);
      }
      FindOrAddLocked(reported.fingerprint).AddCrash(aCrash, provenSince, aNow);
      touched.insert(reported.fingerprint);
    }
    change = EvaluateLocked(touched, aNow);
  }
  Publish(change, aNow);
}

void
CrashLedger::RecordRuns(const wire::ProvenRuns& aRuns, Deadline aNow)
{
  Change change;
  {
    const std::lock_guard lock(m_mutex);
    for (const std::string& fingerprint : m_listed) {
      if (const auto found = m_suspects.find(fingerprint); found != m_suspects.end()) {
        found->second.suspect.RecordActivity(aRuns.place.serviceName, aNow);
      }
    }
    std::set<std::string> touched;
    for (const wire::CrashSuspect& reported : aRuns.requests) {
      const auto found = m_suspects.find(reported.fingerprint);
      if (found != m_suspects.end() && reported.__isset.provenMillisAgo) {
        found->second.suspect.AddProof(aRuns.place,
                                       aNow - std::chrono::milliseconds(reported.provenMillisAgo));
        touched.insert(reported.fingerprint);
      }
    }
    change = EvaluateLocked(touched, aNow);
  }
  Publish(change, aNow);
}

void
CrashLedger::EvaluateSuspects(Deadline aNow)
{
  Change change;
  {
    const std::lock_guard lock(m_mutex);
    change = EvaluateLocked(std::set<std::string>(m_listed), aNow);
  }
  Publish(change, aNow);
}

void
CrashLedger::Publish(const Change& aChange, Deadline aNow)
{
  for (const wire::QuarantinedRequest& request : aChange.quarantined) {
    Log(Event::RequestQuarantined,
        { { "fingerprint", request.fingerprint },
          { "node", request.__isset.node ? request.node : "all" },
          { "millis", request.millisLeft } });
  }
  if (aChange.isListChanged) {
    {
      const std::lock_guard lock(m_mutex);
      ++m_revision;
    }
    Log(Event::SuspectsChanged, { { "suspects", Suspects().size() } });
  }
  const bool isQuarantineChanged = m_quarantine.Add(aChange.quarantined, aNow);
  if (isQuarantineChanged) {
    const std::lock_guard lock(m_mutex);
    ++m_revision;
  }
  if (isQuarantineChanged || aChange.isListChanged) {
    m_listener();
  }
}

void
CrashLedger::Add(const std::vector<wire::QuarantinedRequest>& aRequests, Deadline aNow)
{
  if (!m_quarantine.Add(aRequests, aNow)) {
    return;
  }
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

std::vector<std::string>
CrashLedger::Suspects() const
{
  const std::lock_guard lock(m_mutex);
  return { m_listed.begin(), m_listed.end() };
}

} // namespace mimosarun
