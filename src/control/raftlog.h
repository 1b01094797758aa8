#pragma once

#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mimosarun {

/** In-memory log of one replica: a snapshot, the entries after it, and the members that result from both. */
class RaftLog
{
public:
  RaftLog(wire::SnapshotFile aSnapshot, std::vector<wire::LogEntry> aEntries);

  int64_t SnapshotIndex() const;
  int64_t LastIndex() const;
  int64_t LastTerm() const;

  /** Returns the term of an entry or of the snapshot's last entry, or -1 if the log holds neither. */
  int64_t TermAt(int64_t aIndex) const;

  /** Returns an entry, whose index must be after the snapshot's. */
  const wire::LogEntry& EntryAt(int64_t aIndex) const;

  const std::vector<wire::LogEntry>& Entries() const;
  const wire::SnapshotFile& Snapshot() const;

  /** Returns the size of the bodies of all entries. */
  size_t BodyBytes() const { return m_bodyBytes; }

  /** Returns the members after the newest change in the log, committed or not. */
  const std::vector<wire::Replica>& Members() const;

  /** Returns the index of that change, or of the snapshot if no entry changes the members. */
  int64_t MembersIndex() const;

  void Append(wire::LogEntry aEntry);
  void TruncateFrom(int64_t aIndex);

  /** Replaces the whole log by a snapshot. */
  void InstallSnapshot(wire::SnapshotFile aSnapshot);

  /** Replaces the entries up to an index by a snapshot of their state. */
  void Compact(int64_t aIndex, std::string aState);

private:
  void RecomputeMembers();
  void RecomputeBodyBytes();

  wire::SnapshotFile m_snapshot;
  std::vector<wire::LogEntry> m_entries;
  size_t m_bodyBytes = 0;
  std::vector<wire::Replica> m_members;
  int64_t m_membersIndex = 0;
};

} // namespace mimosarun
