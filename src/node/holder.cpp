#include "node/holder.h"

#include "common/log.h"

namespace mimosarun {

ConfigurationHolder::ConfigurationHolder()
  : m_current(EmptySnapshot())
{
}

void
ConfigurationHolder::SetListener(Listener aListener)
{
  m_listener = std::move(aListener);
}

SnapshotPointer
ConfigurationHolder::Current() const
{
  const std::lock_guard lock(m_mutex);
  return m_current;
}

Result<void>
ConfigurationHolder::Apply(const wire::ConfigurationUpdate& aUpdate)
{
  const std::lock_guard applyLock(m_applyMutex);
  Result<SnapshotPointer> applied = ApplyUpdate(*Current(), aUpdate);
  if (!applied) {
    if (applied.error().kind != ErrorKind::Conflict) {
      Log(Event::VersionRefused, { { "version", aUpdate.toVersion }, { "reason", applied.error().message } });
    }
    return boost::outcome_v2::failure(applied.error());
  }
  {
    const std::lock_guard lock(m_mutex);
    m_current = applied.value();
    if (aUpdate.whole) {
      m_history.Clear();
    } else {
      m_history.Add(aUpdate);
    }
  }
  Log(Event::VersionApplied,
      { { "version", aUpdate.toVersion },
        { "bytes", aUpdate.payload.size() },
        { "whole", aUpdate.whole ? "yes" : "no" } });
  if (m_listener) {
    m_listener(applied.value());
  }
  return boost::outcome_v2::success();
}

wire::ConfigurationUpdate
ConfigurationHolder::UpdateFrom(int64_t aHeldVersion) const
{
  const std::lock_guard lock(m_mutex);
  return m_history.Compose(aHeldVersion, *m_current);
}

} // namespace mimosarun
