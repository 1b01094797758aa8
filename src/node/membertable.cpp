#include "node/membertable.h"

#include "common/log.h"

#include <algorithm>
#include <bit>

namespace mimosarun {

/** Number of parts into which the hash of the names divides a table for comparisons. */
static constexpr size_t kPartCount = 32;
/** Times that a change is sent in the own domain, for each doubling of the domain's members. */
static constexpr int kSendsPerDoubling = 2;
/** Times that a change is sent to other domains. */
static constexpr int kSendsInMesh = 6;
/** Sends that are saved each time another member sends the same record. */
static constexpr int kSendsPerDuplicate = 2;

/** Returns the precedence of a state within one incarnation; the higher one wins. */
static int
StateRank(wire::MemberState::type aState)
{
  switch (aState) {
    case wire::MemberState::Alive:
      return 0;
    case wire::MemberState::Suspect:
      return 1;
    case wire::MemberState::Leaving:
      return 2;
    case wire::MemberState::Dead:
      return 3;
  }
  return 3;
}

bool
Supersedes(const wire::Member& aNew, const wire::Member& aOld)
{
  if (aNew.incarnation != aOld.incarnation) {
    return aNew.incarnation > aOld.incarnation;
  }
  if (aNew.state != aOld.state) {
    return StateRank(aNew.state) > StateRank(aOld.state);
  }
  return aNew.revision > aOld.revision;
}

static bool
IsReachable(const wire::Member& aMember)
{
  return aMember.state == wire::MemberState::Alive || aMember.state == wire::MemberState::Suspect;
}

static void
LogTransition(const wire::Member& aMember)
{
  switch (aMember.state) {
    case wire::MemberState::Alive:
      break;
    case wire::MemberState::Suspect:
      Log(Event::MemberSuspected, { { "member", aMember.name } });
      break;
    case wire::MemberState::Dead:
      Log(Event::MemberDead, { { "member", aMember.name } });
      break;
    case wire::MemberState::Leaving:
      Log(Event::MemberLeft, { { "member", aMember.name } });
      break;
  }
}

MemberTable::MemberTable(wire::Member aSelf, Options aOptions)
  : m_options(aOptions)
  , m_selfName(aSelf.name)
  , m_firstIncarnation(aSelf.incarnation)
{
  const Deadline now = SteadyClock::now();
  m_entries[m_selfName] = { .member = std::move(aSelf), .changedAt = now, .suspectUntil = {} };
}

void
MemberTable::MarkChanged(Entry& aEntry, Deadline aNow)
{
  aEntry.changedAt = aNow;
  aEntry.sentInDomain = 0;
  aEntry.sentInMesh = 0;
  ++m_generation;
  m_changed.notify_all();
}

bool
MemberTable::RefuteLocked(const wire::Member& aMember, Deadline aNow)
{
  Entry& self = m_entries[m_selfName];
  const bool needsRefutation = aMember.incarnation > self.member.incarnation ||
                               (aMember.incarnation == self.member.incarnation &&
                                StateRank(aMember.state) > StateRank(self.member.state));
  if (!needsRefutation) {
    return false;
  }
  const bool isOfEarlierProcess = aMember.incarnation > self.member.incarnation;
  self.member.incarnation = aMember.incarnation + 1;
  if (isOfEarlierProcess) {
    // The wall clock has stepped back since that process started.
    m_firstIncarnation = self.member.incarnation;
  }
  MarkChanged(self, aNow);
  return true;
}

bool
MemberTable::MergeRecord(const wire::Member& aMember, Deadline aNow)
{
  if (aMember.name == m_selfName) {
    return RefuteLocked(aMember, aNow);
  }
  const auto found = m_entries.find(aMember.name);
  if (found == m_entries.end()) {
    if (aMember.state == wire::MemberState::Dead) {
      return false;
    }
    Entry& entry = m_entries[aMember.name];
    entry.member = aMember;
    entry.suspectUntil = aNow + m_options.suspicionTimeout;
    MarkChanged(entry, aNow);
    Log(Event::MemberJoined, { { "member", aMember.name }, { "domain-of", aMember.failureDomain } });
    return true;
  }
  Entry& entry = found->second;
  const bool incarnationIsCurrent = aMember.incarnation >= entry.member.incarnation;
  const int64_t version =
    incarnationIsCurrent ? std::max(entry.member.version, aMember.version) : entry.member.version;
  if (!Supersedes(aMember, entry.member)) {
    entry.member.version = version;
    if (!Supersedes(entry.member, aMember)) {
      // Other members spread this record too, so this node needs to send it less often.
      entry.sentInDomain += kSendsPerDuplicate;
    }
    return false;
  }
  const bool stateChanged = aMember.state != entry.member.state;
  // A new incarnation may hold an older version than the previous one.
  const int64_t newVersion = aMember.incarnation > entry.member.incarnation ? aMember.version : version;
  entry.member = aMember;
  entry.member.version = newVersion;
  entry.suspectUntil = aNow + m_options.suspicionTimeout;
  MarkChanged(entry, aNow);
  if (stateChanged) {
    LogTransition(aMember);
  }
  return true;
}

bool
MemberTable::Merge(const std::vector<wire::Member>& aMembers, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  bool changed = false;
  for (const wire::Member& member : aMembers) {
    changed = MergeRecord(member, aNow) || changed;
  }
  return changed;
}

void
MemberTable::UpdateSelf(Deadline aNow, const std::function<void(wire::Member&)>& aChange)
{
  const std::lock_guard lock(m_mutex);
  Entry& self = m_entries[m_selfName];
  aChange(self.member);
  ++self.member.revision;
  MarkChanged(self, aNow);
}

void
MemberTable::SetHeldVersion(const std::string& aName, int64_t aVersion)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(aName);
  if (found != m_entries.end()) {
    found->second.member.version = aVersion;
  }
}

void
MemberTable::MarkSuspect(const std::string& aName, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(aName);
  if (found == m_entries.end() || found->second.member.state != wire::MemberState::Alive) {
    return;
  }
  found->second.member.state = wire::MemberState::Suspect;
  found->second.suspectUntil = aNow + m_options.suspicionTimeout;
  MarkChanged(found->second, aNow);
  LogTransition(found->second.member);
}

bool
MemberTable::Expire(Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  const uint64_t before = m_generation;
  for (auto& [name, entry] : m_entries) {
    if (entry.member.state == wire::MemberState::Suspect && aNow >= entry.suspectUntil) {
      entry.member.state = wire::MemberState::Dead;
      MarkChanged(entry, aNow);
      LogTransition(entry.member);
    }
  }
  const size_t removed = std::erase_if(m_entries, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    const bool hasEnded =
      entry.member.state == wire::MemberState::Dead || entry.member.state == wire::MemberState::Leaving;
    return aItem.first != m_selfName && hasEnded && aNow >= entry.changedAt + m_options.tombstoneRetention;
  });
  m_generation += removed;
  return m_generation != before;
}

wire::Member
MemberTable::Self() const
{
  const std::lock_guard lock(m_mutex);
  return m_entries.at(m_selfName).member;
}

int64_t
MemberTable::FirstIncarnation() const
{
  const std::lock_guard lock(m_mutex);
  return m_firstIncarnation;
}

std::optional<wire::Member>
MemberTable::Find(const std::string& aName) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_entries.find(aName);
  return found == m_entries.end() ? std::nullopt : std::optional(found->second.member);
}

std::vector<wire::Member>
MemberTable::All() const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::Member> members;
  members.reserve(m_entries.size());
  for (const auto& [name, entry] : m_entries) {
    members.push_back(entry.member);
  }
  return members;
}

std::vector<wire::Member>
MemberTable::Reachable(const std::string& aFailureDomain) const
{
  std::vector<wire::Member> members = All();
  std::erase_if(members, [&](const wire::Member& aMember) {
    const bool isInOtherDomain = !aFailureDomain.empty() && aMember.failureDomain != aFailureDomain;
    return aMember.name == m_selfName || isInOtherDomain || !IsReachable(aMember);
  });
  return members;
}

// --- updates ---------------------------------------------------------------------------------------------

int
MemberTable::SendLimitLocked() const
{
  const std::string& domain = m_entries.at(m_selfName).member.failureDomain;
  const auto membersInDomain = std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& aItem) {
    return aItem.second.member.failureDomain == domain;
  });
  return kSendsPerDoubling * static_cast<int>(std::bit_width(static_cast<size_t>(membersInDomain)));
}

std::vector<MemberTable::Entry*>
MemberTable::PendingUpdatesLocked(GossipScope aScope)
{
  const int limit = SendLimitLocked();
  const std::string& domain = m_entries.at(m_selfName).member.failureDomain;
  std::vector<Entry*> pending;
  for (auto& [name, entry] : m_entries) {
    const bool isPending = aScope == GossipScope::Domain
                             ? entry.sentInDomain < limit
                             : entry.sentInMesh < kSendsInMesh && entry.member.failureDomain == domain;
    if (isPending) {
      pending.push_back(&entry);
    }
  }
  return pending;
}

std::vector<wire::Member>
MemberTable::TakeUpdates(GossipScope aScope, size_t aLimit)
{
  const std::lock_guard lock(m_mutex);
  const auto sendCount = [aScope](Entry& aEntry) -> int& {
    return aScope == GossipScope::Domain ? aEntry.sentInDomain : aEntry.sentInMesh;
  };
  std::vector<Entry*> pending = PendingUpdatesLocked(aScope);
  std::stable_sort(pending.begin(), pending.end(), [&](Entry* aLeft, Entry* aRight) {
    return sendCount(*aLeft) < sendCount(*aRight);
  });
  pending.resize(std::min(pending.size(), aLimit));
  std::vector<wire::Member> members;
  for (Entry* entry : pending) {
    ++sendCount(*entry);
    members.push_back(entry->member);
  }
  return members;
}

bool
MemberTable::HasUpdates(GossipScope aScope)
{
  const std::lock_guard lock(m_mutex);
  return !PendingUpdatesLocked(aScope).empty();
}

// --- comparison ------------------------------------------------------------------------------------------

static size_t
PartOf(const std::string& aName)
{
  return std::hash<std::string>{}(aName) % kPartCount;
}

const std::vector<int64_t>&
MemberTable::PartDigestsLocked() const
{
  if (m_digestGeneration == m_generation) {
    return m_partDigests;
  }
  m_partDigests.assign(kPartCount, 0);
  m_digestGeneration = m_generation;
  for (const auto& [name, entry] : m_entries) {
    const wire::Member& member = entry.member;
    if (IsReachable(member)) {
      const std::string text = name + "|" + std::to_string(member.incarnation) + "|" +
                               std::to_string(member.state) + "|" + std::to_string(member.revision);
      m_partDigests[PartOf(name)] ^= static_cast<int64_t>(std::hash<std::string>{}(text));
    }
  }
  return m_partDigests;
}

int64_t
MemberTable::Digest() const
{
  const std::lock_guard lock(m_mutex);
  int64_t digest = 0;
  for (const int64_t part : PartDigestsLocked()) {
    digest ^= part;
  }
  return digest;
}

std::vector<int64_t>
MemberTable::PartDigests() const
{
  const std::lock_guard lock(m_mutex);
  return PartDigestsLocked();
}

std::vector<wire::Member>
MemberTable::RecordsOfPart(size_t aPart) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::Member> records;
  for (const auto& [name, entry] : m_entries) {
    if (PartOf(name) == aPart) {
      records.push_back(entry.member);
    }
  }
  return records;
}

uint64_t
MemberTable::Generation() const
{
  const std::lock_guard lock(m_mutex);
  return m_generation;
}

uint64_t
MemberTable::WaitForChange(uint64_t aGeneration, Deadline aDeadline) const
{
  std::unique_lock lock(m_mutex);
  m_changed.wait_until(lock, aDeadline, [&] { return m_generation != aGeneration; });
  return m_generation;
}

} // namespace mimosarun
