#include "node/holder.h"

#include "common/log.h"

namespace mimosarun {

/** Nodes fetch updates from each other within seconds, so a short history is sufficient. */
static constexpr size_t kKeptVersions = 8;

ConfigurationHolder::ConfigurationHolder(DocumentParser aParser)
  : m_parser(std::move(aParser))
  , m_current(EmptySnapshot())
  , m_history(kKeptVersions)
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
ConfigurationHolder::Apply(const wire::ConfigurationUpdate& aUpdate, const std::string& aSender)
{
  const std::lock_guard applyLock(m_applyMutex);
  Result<SnapshotPointer> applied = ApplyUpdate(*Current(), aUpdate, m_parser);
  if (!applied) {
    if (applied.error().kind != ErrorKind::Conflict) {
      Log(Event::VersionRefused, { { "version", aUpdate.toVersion }, { "reason", applied.error().message } });
    }
    return boost::outcome_v2::failure(applied.error());
  }
  {
    const std::lock_guard lock(m_mutex);
    m_current = applied.value();
    m_history.Add(*m_current);
  }
  Log(Event::VersionApplied,
      { { "version", aUpdate.toVersion },
        { "bytes", aUpdate.payload.size() },
        { "whole", aUpdate.whole ? "yes" : "no" },
        { "sender", aSender } });
  if (m_listener) {
    m_listener(applied.value());
  }
  return boost::outcome_v2::success();
}

wire::ConfigurationUpdate
ConfigurationHolder::UpdateFrom(int64_t aHeldVersion) const
{
  const std::lock_guard lock(m_mutex);
  return m_history.UpdateFrom(aHeldVersion, *m_current);
}

} // namespace mimosarun
