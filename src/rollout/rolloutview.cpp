#include "rollout/rolloutview.h"

#include "common/digest.h"
#include "common/log.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/**
 * Without contact for this long, a node stops sending to candidates. Together with the time to a verdict this
 * must stay below the limit for requests after the 50th bad response (5 s by default).
 */
static constexpr std::chrono::milliseconds kContactLimit{ 3000 };
/** By then a starting node usually knows all members, so the version that most targets have stays in force.
 */
static constexpr std::chrono::milliseconds kSettlingTime{ 5000 };
/** A version whose targets can't be reached stays in force for this long; a link or a domain may be down. */
static constexpr std::chrono::milliseconds kRetentionTime{ 30000 };
static constexpr int kFullPermille = 1000;
/** More than the numbers of services and of states of contact. */
static constexpr uint64_t kStatesPerChange = 1UL << 20U;

static bool
IsRejected(const wire::RolloutRecord& aRecord, const std::string& aVersion)
{
  if (aVersion == aRecord.candidateVersion) {
    return aRecord.state == wire::RolloutState::RolledBack;
  }
  const auto& rejected = aRecord.rejectedVersions;
  return std::find(rejected.begin(), rejected.end(), aVersion) != rejected.end();
}

static const char*
StateName(wire::RolloutState::type aState)
{
  switch (aState) {
    case wire::RolloutState::Running:
      return "running";
    case wire::RolloutState::Completed:
      return "completed";
    case wire::RolloutState::RolledBack:
      return "rolled-back";
  }
  return "running";
}

static void
LogRecord(const wire::RolloutRecord& aRecord)
{
  Log(Event::RolloutApplied,
      { { "service", aRecord.serviceName },
        { "target-version", aRecord.candidateVersion },
        { "state", StateName(aRecord.state) },
        { "stage", aRecord.stage },
        { "permille", aRecord.candidatePermille },
        { "revision", aRecord.revision },
        { "reason", aRecord.reason } });
}

bool
RolloutView::Apply(const wire::RolloutSet& aRollouts)
{
  const std::lock_guard lock(m_mutex);
  if (aRollouts.revision <= m_revision) {
    return false;
  }
  m_revision = aRollouts.revision;
  ++m_changes;
  std::map<std::string, wire::RolloutRecord> records;
  for (const wire::RolloutRecord& record : aRollouts.rollouts) {
    const auto known = m_records.find(record.serviceName);
    if (known == m_records.end() || known->second.revision != record.revision) {
      LogRecord(record);
    }
    records[record.serviceName] = record;
    if (record.state == wire::RolloutState::Completed) {
      m_inForce[record.serviceName] = { .version = record.candidateVersion };
    }
  }
  m_records = std::move(records);
  return true;
}

void
RolloutView::RecordContact(Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  m_lastContact = std::max(m_lastContact.value_or(aNow), aNow);
}

bool
RolloutView::HasContactLocked(Deadline aNow) const
{
  return m_lastContact && aNow < *m_lastContact + kContactLimit;
}

const wire::RolloutRecord*
RolloutView::RecordLocked(const std::string& aService) const
{
  const auto found = m_records.find(aService);
  return found == m_records.end() ? nullptr : &found->second;
}

bool
RolloutView::HasTargetsLocked(const std::string& aService, const std::string& aVersion) const
{
  const auto versions = m_targets.find(aService);
  if (versions == m_targets.end()) {
    return false;
  }
  const auto targets = versions->second.find(aVersion);
  return targets != versions->second.end() && targets->second.ready + targets->second.starting > 0;
}

bool
RolloutView::HasOtherTargetsLocked(const std::string& aService, const std::string& aVersion) const
{
  const auto versions = m_targets.find(aService);
  return versions != m_targets.end() &&
         std::any_of(versions->second.begin(), versions->second.end(), [&](const auto& aEntry) {
           return aEntry.first != aVersion;
         });
}

/** Whether targets are missing for so long that another version takes their place. */
static bool
HasExpired(const std::optional<Deadline>& aGoneSince, Deadline aNow)
{
  return aGoneSince && aNow >= *aGoneSince + kRetentionTime;
}

// --- versions in force -----------------------------------------------------------------------------------

/** Whether the first version is preferred to the second one, which as many targets have: v9 to v10. */
static bool
PrecedesInTie(const std::string& aLeft, const std::string& aRight)
{
  return std::make_pair(aLeft.size(), aLeft) < std::make_pair(aRight.size(), aRight);
}

bool
RolloutView::IsExcludedLocked(const std::string& aService, const std::string& aVersion) const
{
  const wire::RolloutRecord* record = RecordLocked(aService);
  if (record == nullptr) {
    return false;
  }
  const bool isTarget = aVersion == record->candidateVersion;
  // An order that names the version in force moves no calls.
  const bool isCandidate =
    isTarget && record->state == wire::RolloutState::Running && HasOtherTargetsLocked(aService, aVersion);
  return IsRejected(*record, aVersion) || isCandidate;
}

std::optional<std::string>
RolloutView::MostFrequentLocked(const std::string& aService) const
{
  const auto versions = m_targets.find(aService);
  if (versions == m_targets.end()) {
    return std::nullopt;
  }
  const wire::RolloutRecord* record = RecordLocked(aService);
  const bool isRunning = record != nullptr && record->state == wire::RolloutState::Running;
  // A target that hasn't named its version yet must not outvote those that have.
  const auto rank = [](const auto& aEntry) {
    return std::make_pair(!aEntry.first.empty(), aEntry.second.ready);
  };
  const std::pair<const std::string, VersionTargets>* best = nullptr;
  for (const auto& entry : versions->second) {
    const bool isCandidate = isRunning && entry.first == record->candidateVersion;
    if (entry.second.ready == 0 || isCandidate || IsExcludedLocked(aService, entry.first)) {
      continue;
    }
    const bool isBetter = best == nullptr || rank(entry) > rank(*best) ||
                          (rank(entry) == rank(*best) && PrecedesInTie(entry.first, best->first));
    best = isBetter ? &entry : best;
  }
  return best == nullptr ? std::nullopt : std::optional(best->first);
}

void
RolloutView::UpdateVersionInForceLocked(const std::string& aService, Deadline aNow)
{
  const auto known = m_inForce.find(aService);
  if (known != m_inForce.end()) {
    VersionInForce& inForce = known->second;
    if (HasTargetsLocked(aService, inForce.version)) {
      inForce.goneSince.reset();
    } else if (!inForce.goneSince) {
      inForce.goneSince = aNow;
    }
    const bool isSettled = m_lastContact && !inForce.version.empty() && aNow >= inForce.settledAt;
    if (isSettled && !HasExpired(inForce.goneSince, aNow) && !IsExcludedLocked(aService, inForce.version)) {
      return;
    }
  }
  const std::optional<std::string> mostFrequent = MostFrequentLocked(aService);
  if (!mostFrequent) {
    m_inForce.erase(aService);
  } else if (known == m_inForce.end() || *mostFrequent != known->second.version) {
    m_inForce[aService] = { .version = *mostFrequent, .settledAt = aNow + kSettlingTime, .goneSince = {} };
  }
}

void
RolloutView::SetTargets(ServiceVersions aTargets, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  m_targets = std::move(aTargets);
  bool hasVersions = m_hasVersions;
  for (const auto& [service, versions] : m_targets) {
    hasVersions = hasVersions || std::any_of(versions.begin(), versions.end(), [](const auto& aEntry) {
                    return !aEntry.first.empty();
                  });
    UpdateVersionInForceLocked(service, aNow);
  }
  m_hasVersions = hasVersions;
}

std::optional<std::string>
RolloutView::VersionInForceLocked(const std::string& aService) const
{
  const auto inForce = m_inForce.find(aService);
  // A record may have come since the targets were last counted.
  if (inForce == m_inForce.end() || IsExcludedLocked(aService, inForce->second.version)) {
    return MostFrequentLocked(aService);
  }
  // Further roll-outs may have completed while this node was cut off.
  const wire::RolloutRecord* record = RecordLocked(aService);
  const bool mayBeOutdated = record != nullptr && record->state != wire::RolloutState::RolledBack;
  if (mayBeOutdated && !HasTargetsLocked(aService, inForce->second.version)) {
    return MostFrequentLocked(aService);
  }
  return inForce->second.version;
}

// --- standing --------------------------------------------------------------------------------------------

VersionStanding
RolloutView::StandingOf(const std::string& aService, const std::string& aVersion) const
{
  const std::lock_guard lock(m_mutex);
  const wire::RolloutRecord* record = RecordLocked(aService);
  if (record != nullptr && IsRejected(*record, aVersion)) {
    return VersionStanding::Forbidden;
  }
  const std::optional<std::string> inForce = VersionInForceLocked(aService);
  const bool isRunning = record != nullptr && record->state == wire::RolloutState::Running;
  if (isRunning && aVersion == record->candidateVersion) {
    return inForce == aVersion ? VersionStanding::Allowed : VersionStanding::Candidate;
  }
  if (!inForce || *inForce == aVersion) {
    return VersionStanding::Allowed;
  }
  // After its node's restart a target serves calls before it names its version.
  const auto versions = m_targets.find(aService);
  const bool isUnnamed =
    aVersion.empty() && (record == nullptr || record->state == wire::RolloutState::Completed);
  const bool isOneNamed = versions != m_targets.end() && versions->second.size() <= 2;
  return isUnnamed && isOneNamed ? VersionStanding::Allowed : VersionStanding::Forbidden;
}

bool
RolloutView::IsForbidden(const std::string& aService, const std::string& aVersion) const
{
  return m_hasVersions && StandingOf(aService, aVersion) == VersionStanding::Forbidden;
}

std::optional<CandidateShare>
RolloutView::ShareOf(const std::string& aService, Deadline aNow) const
{
  const std::lock_guard lock(m_mutex);
  const wire::RolloutRecord* record = RecordLocked(aService);
  if (record == nullptr || record->state != wire::RolloutState::Running) {
    return std::nullopt;
  }
  const bool isFull = record->candidatePermille >= kFullPermille;
  return CandidateShare{ .version = record->candidateVersion,
                         .permille = isFull || HasContactLocked(aNow) ? record->candidatePermille : 0,
                         .revision = record->revision,
                         .canaryTargets = record->canaryTargets };
}

bool
RolloutView::IsRunning(const std::string& aService) const
{
  const std::lock_guard lock(m_mutex);
  const wire::RolloutRecord* record = RecordLocked(aService);
  return record != nullptr && record->state == wire::RolloutState::Running;
}

int64_t
RolloutView::Revision() const
{
  const std::lock_guard lock(m_mutex);
  return m_revision;
}

uint64_t
RolloutView::StateAt(Deadline aNow) const
{
  const std::lock_guard lock(m_mutex);
  const auto expired = std::count_if(m_inForce.begin(), m_inForce.end(), [aNow](const auto& aEntry) {
    return HasExpired(aEntry.second.goneSince, aNow);
  });
  return m_changes * kStatesPerChange + static_cast<uint64_t>(expired) * 2 + (HasContactLocked(aNow) ? 1 : 0);
}

std::vector<std::string>
RolloutView::ChooseCanaries(const std::string& aVersion, std::vector<std::string> aNames, int aCount)
{
  std::vector<std::pair<std::string, std::string>> ranked;
  ranked.reserve(aNames.size());
  for (std::string& name : aNames) {
    std::string digest = Sha256(aVersion + "\n" + name);
    ranked.emplace_back(std::move(digest), std::move(name));
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), static_cast<size_t>(std::max(0, aCount))));
  std::vector<std::string> canaries;
  canaries.reserve(ranked.size());
  for (auto& [digest, name] : ranked) {
    canaries.push_back(std::move(name));
  }
  return canaries;
}

} // namespace mimosarun
