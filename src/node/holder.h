#pragma once

#include "configuration/snapshot.h"

#include <functional>
#include <mutex>

namespace mimosarun {

/** The configuration that a node holds. Versions only grow, and a change is whole or not at all. Thread-safe.
 */
class ConfigurationHolder
{
public:
  using Listener = std::function<void(const SnapshotPointer& aSnapshot)>;

  explicit ConfigurationHolder(DocumentParser aParser = ParserOf<NativeFormat>());

  /** Called after each change, in order; set before the first Apply(). */
  void SetListener(Listener aListener);

  SnapshotPointer Current() const;

  /** Applies an update or changes nothing. */
  Result<void> Apply(const wire::ConfigurationUpdate& aUpdate);

  /** The update that takes another holder to this one's version. */
  wire::ConfigurationUpdate UpdateFrom(int64_t aHeldVersion) const;

private:
  const DocumentParser m_parser;
  std::mutex m_applyMutex;
  mutable std::mutex m_mutex;
  SnapshotPointer m_current;
  UpdateHistory m_history;
  Listener m_listener;
};

} // namespace mimosarun
