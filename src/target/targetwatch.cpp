#include "target/targetwatch.h"

#include "common/log.h"

#include <utility>

namespace mimosarun {

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
  const EndedIncarnation& ended = m_endedIncarnation;
  if (aReport.state.name != ended.name) {
    return false;
  }
  const bool isAssumed = ended.startedAtMillis == 0 && aNow < ended.assumedUntil;
  return aReport.startedAtMillis <= (isAssumed ? ended.endedAtMillis : ended.startedAtMillis);
}

bool
TargetWatch::IsOutdated(const TargetReport& aReport, Deadline aNow) const
{
  if (HasEnded(aReport, aNow)) {
    return true;
  }
  if (aReport.startedAtMillis != m_latestReport.startedAtMillis) {
    return aReport.startedAtMillis < m_latestReport.startedAtMillis;
  }
  const bool sameLife = aReport.state.name == m_latestReport.state.name;
  return sameLife && aReport.sequence > 0 && aReport.sequence <= m_latestReport.sequence;
}

bool
TargetWatch::ApplyReport(const TargetReport& aReport, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  {
    const std::lock_guard lock(m_mutex);
    if (IsOutdated(aReport, aNow)) {
      return false;
    }
    m_leaseExpiresAt = aNow + m_options.lease;
    m_latestReport.startedAtMillis = aReport.startedAtMillis;
    m_latestReport.sequence = aReport.sequence;
  }
  SetState(aReport.state);
  return true;
}

void
TargetWatch::EndIncarnation(const std::string& aName, int64_t aStartedAtMillis, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  TargetState state;
  {
    const std::lock_guard lock(m_mutex);
    const bool isCurrent = m_latestReport.state.name == aName;
    const int64_t startedAtMillis =
      aStartedAtMillis == 0 && isCurrent ? m_latestReport.startedAtMillis : aStartedAtMillis;
    if (isCurrent && startedAtMillis < m_latestReport.startedAtMillis) {
      return;
    }
    m_endedIncarnation = { .name = aName,
                           .startedAtMillis = startedAtMillis,
                           .endedAtMillis = WallMillis(),
                           .assumedUntil = aNow + kDelayedReportLimit };
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
    if (m_latestReport.state.phase != wire::TargetPhase::Absent || aState.name == m_endedIncarnation.name) {
      return;
    }
    m_leaseExpiresAt = aNow + m_options.lease;
  }
  SetState(aState);
}

void
TargetWatch::MarkLost(const std::string& aName)
{
  const std::lock_guard changeLock(m_changeMutex);
  TargetState state = State();
  if (state.name != aName || state.phase == wire::TargetPhase::Absent) {
    return;
  }
  state.phase = wire::TargetPhase::Absent;
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
