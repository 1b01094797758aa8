#pragma once

#include "configuration/snapshot.h"

#include <functional>
#include <mutex>

namespace mimosarun {

/** Holds the current configuration of a node. Versions only increase, and updates are atomic. Thread-safe. */
class ConfigurationHolder
{
public:
  using Listener = std::function<void(const SnapshotPointer& aSnapshot)>;

  explicit ConfigurationHolder(DocumentParser aParser = ParserOf<NativeFormat>());

  /** Sets a function that is called after each change, in order. Must be set before the first Apply(). */
  void SetListener(Listener aListener);

  SnapshotPointer Current() const;

  /**
   * Applies an update that a process sent. Changes nothing on an error; Conflict means that the version isn't
   * newer.
   */
  Result<void> Apply(const wire::ConfigurationUpdate& aUpdate, const std::string& aSender);

  /** Returns the update from a version that another process holds to the current version. */
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
