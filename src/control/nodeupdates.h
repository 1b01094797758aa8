#pragma once

#include "configuration/snapshot.h"

#include <map>

namespace mimosarun {

/**
 * Makes the updates for nodes, whose documents have digests in place of the teams' keys. Documents without
 * teams are distributed as they are. Not thread-safe.
 */
class NodeUpdates
{
public:
  explicit NodeUpdates(KeyRedactor aRedactor);

  /** Returns the smallest update from aHeldVersion to aCurrent. */
  wire::ConfigurationUpdate UpdateFrom(int64_t aHeldVersion,
                                       const Snapshot& aCurrent,
                                       const UpdateHistory& aHistory);

  /** Returns whether a document has teams. */
  bool HasTeams(const Snapshot& aSnapshot);

  /** Forgets all documents. */
  void Clear();

private:
  /** Returns the document of a version as nodes hold it, or nullptr if it has no teams. */
  SnapshotPointer Redacted(int64_t aVersion, const std::string& aText);
  wire::ConfigurationUpdate MakeUpdate(int64_t aHeldVersion,
                                       const Snapshot& aCurrent,
                                       const UpdateHistory& aHistory);

  const KeyRedactor m_redactor;
  /** Redacted documents by version, nullptr for those without teams. */
  std::map<int64_t, SnapshotPointer> m_documents;
  /** Updates to the version m_updatedVersion by the held version, as many nodes request the same one. */
  std::map<int64_t, wire::ConfigurationUpdate> m_updates;
  int64_t m_updatedVersion = 0;
};

} // namespace mimosarun
