#include "control/raftlog.h"

#include <algorithm>

namespace mimosarun {

static bool
ChangesMembers(const wire::LogEntry& aEntry)
{
  return aEntry.command.kind == wire::CommandKind::ChangeMembers;
}

RaftLog::RaftLog(wire::SnapshotFile aSnapshot, std::vector<wire::LogEntry> aEntries)
  : m_snapshot(std::move(aSnapshot))
  , m_entries(std::move(aEntries))
{
  RecomputeMembers();
  RecomputeBodyBytes();
}

int64_t
RaftLog::SnapshotIndex() const
{
  return m_snapshot.index;
}

int64_t
RaftLog::LastIndex() const
{
  return m_snapshot.index + static_cast<int64_t>(m_entries.size());
}

int64_t
RaftLog::LastTerm() const
{
  return TermAt(LastIndex());
}

int64_t
RaftLog::TermAt(int64_t aIndex) const
{
  if (aIndex == m_snapshot.index) {
    return m_snapshot.term;
  }
  if (aIndex < m_snapshot.index || aIndex > LastIndex()) {
    return -1;
  }
  return EntryAt(aIndex).term;
}

const wire::LogEntry&
RaftLog::EntryAt(int64_t aIndex) const
{
  return m_entries[static_cast<size_t>(aIndex - m_snapshot.index - 1)];
}

const std::vector<wire::LogEntry>&
RaftLog::Entries() const
{
  return m_entries;
}

const wire::SnapshotFile&
RaftLog::Snapshot() const
{
  return m_snapshot;
}

const std::vector<wire::Replica>&
RaftLog::Members() const
{
  return m_members;
}

int64_t
RaftLog::MembersIndex() const
{
  return m_membersIndex;
}

void
RaftLog::RecomputeMembers()
{
  const auto change = std::find_if(m_entries.rbegin(), m_entries.rend(), &ChangesMembers);
  if (change == m_entries.rend()) {
    m_members = m_snapshot.members;
    m_membersIndex = m_snapshot.index;
  } else {
    m_members = change->command.members;
    m_membersIndex = change->index;
  }
}

void
RaftLog::RecomputeBodyBytes()
{
  m_bodyBytes = 0;
  for (const wire::LogEntry& entry : m_entries) {
    m_bodyBytes += entry.command.body.size();
  }
}

void
RaftLog::Append(wire::LogEntry aEntry)
{
  const bool changesMembers = ChangesMembers(aEntry);
  m_bodyBytes += aEntry.command.body.size();
  m_entries.push_back(std::move(aEntry));
  if (changesMembers) {
    RecomputeMembers();
  }
}

void
RaftLog::TruncateFrom(int64_t aIndex)
{
  m_entries.resize(static_cast<size_t>(aIndex - m_snapshot.index - 1));
  RecomputeMembers();
  RecomputeBodyBytes();
}

void
RaftLog::InstallSnapshot(wire::SnapshotFile aSnapshot)
{
  m_snapshot = std::move(aSnapshot);
  m_entries.clear();
  m_bodyBytes = 0;
  RecomputeMembers();
}

void
RaftLog::Compact(int64_t aIndex, std::string aState)
{
  const auto end = m_entries.begin() + static_cast<std::ptrdiff_t>(aIndex - m_snapshot.index);
  for (auto entry = m_entries.begin(); entry != end; ++entry) {
    if (ChangesMembers(*entry)) {
      m_snapshot.members = entry->command.members;
    }
  }
  m_snapshot.term = TermAt(aIndex);
  m_entries.erase(m_entries.begin(), end);
  RecomputeBodyBytes();
  m_snapshot.index = aIndex;
  m_snapshot.state = std::move(aState);
}

} // namespace mimosarun
