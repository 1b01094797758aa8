#include "target/targetwatch.h"

#include "common/log.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/** An incarnation that hasn't reported for its lease divided by this gives way to a later one. */
static constexpr int kSilenceDivisor = 2;
/** Other writers may name identifiers of which none is this target's. */
static constexpr size_t kMaximumEndedIncarnations = 16;
/** Reports of an ended incarnation arrive within this time. */
static constexpr std::chrono::milliseconds kDelayedReportLimit{ 60000 };

static int64_t
WallMillis()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(WallNow().time_since_epoch()).count();
}

TargetWatch::TargetWatch(Options aOptions)
  : m_options(std::move(aOptions))
{
}

bool
TargetWatch::HasEnded(const TargetReport& aReport, Deadline aNow) const
{
  return std::ranges::any_of(m_endedIncarnations, [&](const EndedIncarnation& aEnded) {
    const bool isAssumed = !aEnded.startedAtMillis && aNow < aEnded.assumedUntil;
    const std::optional<int64_t> latestStart =
      isAssumed ? std::optional(aEnded.endedAtMillis) : aEnded.startedAtMillis;
    // A report without a start is of no later incarnation.
    return aReport.state.name == aEnded.name && aReport.startedAtMillis <= latestStart;
  });
}

bool
TargetWatch::HasEnded(const std::string& aName) const
{
  return std::ranges::any_of(m_endedIncarnations,
                             [&](const EndedIncarnation& aEnded) { return aEnded.name == aName; });
}

bool
TargetWatch::IsCurrent(const TargetReport& aReport) const
{
  return aReport.state.name == m_latestReport.state.name &&
         aReport.startedAtMillis == m_latestReport.startedAtMillis;
}

bool
TargetWatch::IsInUse() const
{
  const wire::TargetPhase::type phase = m_latestReport.state.phase;
  return phase == wire::TargetPhase::Ready || phase == wire::TargetPhase::Starting;
}

TargetWatch::Claim
TargetWatch::MakeClaim(const TargetReport& aReport, Deadline aNow) const
{
  const bool isRepeated = m_claim && m_claim->report.state.name == aReport.state.name &&
                          m_claim->report.startedAtMillis == aReport.startedAtMillis &&
                          m_claim->report.sequence < aReport.sequence;
  return { .report = aReport, .isRepeated = isRepeated, .expiresAt = aNow + m_options.lease };
}

bool
TargetWatch::MayReplace(const Claim& aClaim, Deadline aNow) const
{
  const TargetState& current = m_latestReport.state;
  const TargetReport& report = aClaim.report;
  if (report.state.name == current.name && !m_latestReport.startedAtMillis) {
    // The target is known from a health check, which doesn't tell its start.
    return true;
  }
  if (report.startedAtMillis < m_latestReport.startedAtMillis) {
    return current.phase == wire::TargetPhase::Absent && aClaim.isRepeated;
  }
  return !IsInUse() || aNow >= m_silentFrom;
}

void
TargetWatch::AcceptLocked(const TargetReport& aReport, Deadline aNow)
{
  m_leaseExpiresAt = aNow + m_options.lease;
  m_silentFrom = aNow + m_options.lease / kSilenceDivisor;
  m_latestReport.startedAtMillis = aReport.startedAtMillis;
  m_latestReport.sequence = aReport.sequence;
}

ReportResult
TargetWatch::ApplyLocked(const TargetReport& aReport, Deadline aNow)
{
  if (HasEnded(aReport, aNow)) {
    return ReportResult::Outdated;
  }
  if (!IsCurrent(aReport)) {
    return ApplyClaimLocked(aReport, aNow);
  }
  const bool isOld = aReport.sequence && aReport.sequence <= m_latestReport.sequence;
  // An incarnation has one service, so a report with another is of another writer.
  const bool isOfOther = IsInUse() && m_latestReport.state.service != aReport.state.service;
  if (isOld || isOfOther) {
    return ReportResult::Outdated;
  }
  AcceptLocked(aReport, aNow);
  return ReportResult::Applied;
}

ReportResult
TargetWatch::ApplyClaimLocked(const TargetReport& aReport, Deadline aNow)
{
  const Claim claim = MakeClaim(aReport, aNow);
  if (!MayReplace(claim, aNow)) {
    m_claim = claim;
    return ReportResult::Pending;
  }
  m_claim.reset();
  AcceptLocked(aReport, aNow);
  return ReportResult::Applied;
}

ReportResult
TargetWatch::ApplyReport(const TargetReport& aReport, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  {
    const std::lock_guard lock(m_mutex);
    const ReportResult result = ApplyLocked(aReport, aNow);
    if (result != ReportResult::Applied) {
      return result;
    }
  }
  SetState(aReport.state);
  return ReportResult::Applied;
}

void
TargetWatch::Confirm(const std::string& aName, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  TargetReport report;
  {
    const std::lock_guard lock(m_mutex);
    // A name doesn't tell two incarnations with the same identifier from each other.
    const bool isClaimed = m_claim && m_claim->report.state.name == aName && aNow < m_claim->expiresAt &&
                           aName != m_latestReport.state.name;
    if (!isClaimed || HasEnded(m_claim->report, aNow)) {
      return;
    }
    report = std::exchange(m_claim, std::nullopt)->report;
    AcceptLocked(report, aNow);
  }
  SetState(report.state);
}

void
TargetWatch::EndIncarnation(const std::string& aName, std::optional<int64_t> aStartedAtMillis, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  TargetState state;
  {
    const std::lock_guard lock(m_mutex);
    const bool isCurrent = m_latestReport.state.name == aName;
    const std::optional<int64_t> startedAtMillis =
      !aStartedAtMillis && isCurrent ? m_latestReport.startedAtMillis : aStartedAtMillis;
    if (isCurrent && startedAtMillis < m_latestReport.startedAtMillis) {
      return;
    }
    m_endedIncarnations.push_front({ .name = aName,
                                     .startedAtMillis = startedAtMillis,
                                     .endedAtMillis = WallMillis(),
                                     .assumedUntil = aNow + kDelayedReportLimit });
    if (m_endedIncarnations.size() > kMaximumEndedIncarnations) {
      m_endedIncarnations.pop_back();
    }
    if (!isCurrent) {
      return;
    }
    m_leaseExpiresAt = aNow + m_options.lease;
    state = m_latestReport.state;
  }
  state.phase = wire::TargetPhase::Draining;
  SetState(state);
}

void
TargetWatch::Observe(const TargetState& aState, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  {
    const std::lock_guard lock(m_mutex);
    if (m_latestReport.state.phase != wire::TargetPhase::Absent || HasEnded(aState.name)) {
      return;
    }
    m_leaseExpiresAt = aNow + m_options.lease;
    m_silentFrom = aNow + m_options.lease / kSilenceDivisor;
    if (m_latestReport.state.name != aState.name) {
      // Start and number of the last report are another incarnation's.
      m_latestReport.startedAtMillis.reset();
      m_latestReport.sequence.reset();
    }
  }
  SetState(aState);
}

void
TargetWatch::MarkLost(const std::string& aName, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  TargetState state = State();
  if (state.name != aName || state.phase == wire::TargetPhase::Absent) {
    return;
  }
  state.phase = wire::TargetPhase::Absent;
  SetState(state);
  {
    const std::lock_guard lock(m_mutex);
    const bool isUsable = m_claim && aNow < m_claim->expiresAt && !HasEnded(m_claim->report, aNow);
    if (!isUsable || !MayReplace(*m_claim, aNow)) {
      return;
    }
    const TargetReport report = std::exchange(m_claim, std::nullopt)->report;
    AcceptLocked(report, aNow);
    state = report.state;
  }
  SetState(state);
}

void
TargetWatch::CheckLease(Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  TargetState state = State();
  {
    const std::lock_guard lock(m_mutex);
    if (state.phase == wire::TargetPhase::Absent || aNow <= m_leaseExpiresAt) {
      return;
    }
  }
  state.phase = wire::TargetPhase::Absent;
  SetState(state);
}

void
TargetWatch::SetState(const TargetState& aState)
{
  TargetState previous;
  {
    const std::lock_guard lock(m_mutex);
    previous = std::exchange(m_latestReport.state, aState);
  }
  if (previous == aState) {
    return;
  }
  const bool nameOrPhaseChanged = previous.name != aState.name || previous.phase != aState.phase;
  if (nameOrPhaseChanged || previous.version != aState.version) {
    const Event event = aState.phase == wire::TargetPhase::Absent ? Event::TargetLost
                        : previous.name == aState.name            ? Event::TargetPhaseChanged
                                                                  : Event::TargetAnnounced;
    Log(event,
        { { "target", aState.name },
          { "service", aState.service },
          { "phase", static_cast<int>(aState.phase) },
          { "version", aState.version } });
  }
  m_options.listener(aState);
}

TargetState
TargetWatch::State() const
{
  const std::lock_guard lock(m_mutex);
  return m_latestReport.state;
}

void
TargetWatch::SetIntent(TargetIntent aIntent)
{
  const std::lock_guard lock(m_mutex);
  m_intent = aIntent;
}

TargetIntent
TargetWatch::Intent() const
{
  const std::lock_guard lock(m_mutex);
  return m_intent;
}

} // namespace mimosarun
