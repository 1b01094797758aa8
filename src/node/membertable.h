#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** Whether records travel within a failure domain or between domains. */
enum class GossipScope
{
  /** All news. */
  Domain,
  /** News of members of the own failure domain, told by its relays. */
  Mesh,
};

/**
 * What a node knows of all nodes. Records merge in any order to the same result: the higher incarnation
 * wins, then the state nearer to the end of life, then the higher revision (after Das, Gupta and Motivala,
 * "SWIM", 2002). Only a member itself raises its incarnation or revision. Thread-safe.
 */
class MemberTable
{
public:
  struct Options
  {
    /** A suspect that doesn't object for this long is dead. */
    std::chrono::milliseconds suspicionTimeout{ 1500 };
    /** Dead members are kept this long, so that old records don't bring them back. */
    std::chrono::milliseconds tombstoneRetention{ 60000 };
  };

  MemberTable(wire::Member aSelf, Options aOptions);

  /** Merges records; gives whether anything changed that callers notice. */
  bool Merge(const std::vector<wire::Member>& aMembers, Deadline aNow);

  /** Changes the own record and raises its revision. */
  void UpdateSelf(Deadline aNow, const std::function<void(wire::Member&)>& aChange);

  /** Notes the version that a member said it holds. */
  void SetHeldVersion(const std::string& aName, int64_t aVersion);

  /** Marks a member as suspect after failed probes. */
  void MarkSuspect(const std::string& aName, Deadline aNow);

  /** Turns old suspects into dead members and forgets old tombstones; true if anything changed. */
  bool Expire(Deadline aNow);

  wire::Member Self() const;
  std::optional<wire::Member> Find(const std::string& aName) const;
  std::vector<wire::Member> All() const;

  /** Members other than this node that are alive or suspect, of one failure domain or of all. */
  std::vector<wire::Member> Reachable(const std::string& aFailureDomain) const;

  /**
   * Takes news to tell another member, the least told first. Each change is told a number of times that rises
   * with the logarithm of the number of members, which is enough to reach all but a few of them; those find
   * it by comparing the parts of their tables.
   */
  std::vector<wire::Member> TakeUpdates(GossipScope aScope, size_t aLimit);

  /** Whether there is news that wasn't told often enough. */
  bool HasUpdates(GossipScope aScope);

  /** A hash over all records of reachable members but their versions; equal tables have equal digests. */
  int64_t Digest() const;

  /** The digests of the parts into which names divide the table. */
  std::vector<int64_t> PartDigests() const;

  /** All records of a part. */
  std::vector<wire::Member> RecordsOfPart(size_t aPart) const;

  /** Rises with every change that callers notice. */
  uint64_t Generation() const;

  /** Waits until callers would notice a change since a generation; gives the current generation. */
  uint64_t WaitForChange(uint64_t aGeneration, Deadline aDeadline) const;

private:
  /** A record with what only this node knows of it. */
  struct Entry
  {
    wire::Member member;
    Deadline changedAt;
    Deadline suspectUntil;
    /** How often the record was told since it changed. */
    int sentInDomain = 0;
    int sentInMesh = 0;
  };

  bool MergeRecord(const wire::Member& aMember, Deadline aNow);
  bool RefuteLocked(const wire::Member& aMember, Deadline aNow);
  void MarkChanged(Entry& aEntry, Deadline aNow);
  int SendLimitLocked() const;
  std::vector<Entry*> PendingUpdatesLocked(GossipScope aScope);
  const std::vector<int64_t>& PartDigestsLocked() const;

  Options m_options;
  std::string m_selfName;
  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  std::map<std::string, Entry> m_entries;
  uint64_t m_generation = 1;
  /** Digests of the parts, valid for one generation. */
  mutable std::vector<int64_t> m_partDigests;
  mutable uint64_t m_digestGeneration = 0;
};

/** Whether the first record takes the place of the second. */
bool
Supersedes(const wire::Member& aNew, const wire::Member& aOld);

} // namespace mimosarun
