#include "target/targetwatch.h"

#include "common/log.h"

#include <utility>

namespace mimosarun {

TargetWatch::TargetWatch(Options aOptions)
  : m_options(std::move(aOptions))
{
}

bool
TargetWatch::IsOld(const TargetReport& aReport) const
{
  if (aReport.state.name == m_ended.name && aReport.bornMillis <= m_ended.bornMillis) {
    return true;
  }
  if (aReport.bornMillis != m_newest.bornMillis) {
    return aReport.bornMillis < m_newest.bornMillis;
  }
  const bool sameLife = aReport.state.name == m_newest.state.name;
  return sameLife && aReport.sequence > 0 && aReport.sequence <= m_newest.sequence;
}

bool
TargetWatch::Take(const TargetReport& aReport, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  {
    const std::lock_guard lock(m_mutex);
    if (IsOld(aReport)) {
      return false;
    }
    m_leaseUntil = aNow + m_options.lease;
    m_newest.bornMillis = aReport.bornMillis;
    m_newest.sequence = aReport.sequence;
  }
  Change(aReport.state);
  return true;
}

void
TargetWatch::End(const std::string& aName, int64_t aBornMillis, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  TargetState state;
  {
    const std::lock_guard lock(m_mutex);
    const bool current = m_newest.state.name == aName;
    const int64_t born = aBornMillis == 0 && current ? m_newest.bornMillis : aBornMillis;
    if (current && born < m_newest.bornMillis) {
      return;
    }
    m_ended = { .name = aName, .bornMillis = born };
    if (!current) {
      return;
    }
    m_leaseUntil = aNow + m_options.lease;
    state = m_newest.state;
  }
  state.phase = wire::TargetPhase::Draining;
  Change(state);
}

void
TargetWatch::Observe(const TargetState& aState, Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  {
    const std::lock_guard lock(m_mutex);
    if (m_newest.state.phase != wire::TargetPhase::Absent || aState.name == m_ended.name) {
      return;
    }
    m_leaseUntil = aNow + m_options.lease;
  }
  Change(aState);
}

void
TargetWatch::Lose(const std::string& aName)
{
  const std::lock_guard changeLock(m_changeMutex);
  TargetState state = State();
  if (state.name != aName || state.phase == wire::TargetPhase::Absent) {
    return;
  }
  state.phase = wire::TargetPhase::Absent;
  Change(state);
}

void
TargetWatch::CheckLease(Deadline aNow)
{
  const std::lock_guard changeLock(m_changeMutex);
  TargetState state = State();
  {
    const std::lock_guard lock(m_mutex);
    if (state.phase == wire::TargetPhase::Absent || aNow <= m_leaseUntil) {
      return;
    }
  }
  state.phase = wire::TargetPhase::Absent;
  Change(state);
}

void
TargetWatch::Change(const TargetState& aState)
{
  TargetState before;
  {
    const std::lock_guard lock(m_mutex);
    before = std::exchange(m_newest.state, aState);
  }
  if (before == aState) {
    return;
  }
  const bool noted = before.name != aState.name || before.phase != aState.phase;
  if (noted) {
    const Event event = aState.phase == wire::TargetPhase::Absent ? Event::TargetLost
                        : before.name == aState.name              ? Event::TargetPhaseChanged
                                                                  : Event::TargetAnnounced;
    Log(event,
        { { "target", aState.name },
          { "service", aState.service },
          { "phase", static_cast<int>(aState.phase) } });
  }
  m_options.listener(aState);
}

TargetState
TargetWatch::State() const
{
  const std::lock_guard lock(m_mutex);
  return m_newest.state;
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
