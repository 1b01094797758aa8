#pragma once

#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosarun {

/** The log of one replica in memory: a snapshot, the entries after it, and the members that follow from both.
 */
class RaftLog
{
public:
  RaftLog(wire::SnapshotFile aSnapshot, std::vector<wire::LogEntry> aEntries);

  int64_t SnapshotIndex() const;
  int64_t LastIndex() const;
  int64_t LastTerm() const;

  /** Term of an entry or of the snapshot's end; -1 where the log holds neither. */
  int64_t TermAt(int64_t aIndex) const;

  /** An entry after the snapshot. */
  const wire::LogEntry& EntryAt(int64_t aIndex) const;

  const std::vector<wire::LogEntry>& Entries() const;
  const wire::SnapshotFile& Snapshot() const;

  /** The members by the newest change in the log, committed or not. */
  const std::vector<wire::Replica>& Members() const;

  /** Index of that change. */
  int64_t MembersIndex() const;

  void Append(wire::LogEntry aEntry);
  void TruncateFrom(int64_t aIndex);

  /** Takes a snapshot in the place of everything. */
  void InstallSnapshot(wire::SnapshotFile aSnapshot);

  /** Replaces the entries up to an index by a snapshot of their state. */
  void Compact(int64_t aIndex, std::string aState);

private:
  void RecomputeMembers();

  wire::SnapshotFile m_snapshot;
  std::vector<wire::LogEntry> m_entries;
  std::vector<wire::Replica> m_members;
  int64_t m_membersIndex = 0;
};

} // namespace mimosarun
