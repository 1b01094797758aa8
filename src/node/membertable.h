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

/** Whether records are exchanged within a failure domain or between domains. */
enum class GossipScope
{
  /** Updates of all members. */
  Domain,
  /** Updates of members of the own failure domain, which its relays send. */
  Mesh,
};

/**
 * The records that a node holds of all nodes. Merging them in any order gives the same result: the higher
 * incarnation wins, then the later state (alive, suspect, leaving, dead), then the higher revision (after
 * Das, Gupta and Motivala, "SWIM", 2002). Only a member itself raises its incarnation or revision.
 * Thread-safe.
 */
class MemberTable
{
public:
  struct Options
  {
    /** Time after which a suspect that hasn't refuted the suspicion is declared dead. */
    std::chrono::milliseconds suspicionTimeout{ 1500 };
    /** Time that dead members and those that left are kept, so that older records don't revive them. */
    std::chrono::milliseconds tombstoneRetention{ 60000 };
  };

  MemberTable(wire::Member aSelf, Options aOptions);

  /** Merges records; returns whether anything but held versions changed. */
  bool Merge(const std::vector<wire::Member>& aMembers, Deadline aNow);

  /** Changes the own record and raises its revision. */
  void UpdateSelf(Deadline aNow, const std::function<void(wire::Member&)>& aChange);

  /** Sets the configuration version that a member holds. This isn't an update that is sent. */
  void SetHeldVersion(const std::string& aName, int64_t aVersion);

  /** Marks a member as suspect after failed probes. */
  void MarkSuspect(const std::string& aName, Deadline aNow);

  /** Declares suspects dead and removes old tombstones after their timeouts; returns whether any changed. */
  bool Expire(Deadline aNow);

  wire::Member Self() const;

  /** Returns an incarnation since which all incarnations up to the current one are of this process. */
  int64_t FirstIncarnation() const;
  std::optional<wire::Member> Find(const std::string& aName) const;
  std::vector<wire::Member> All() const;

  /** Returns the other members of a failure domain (all domains if empty) that are alive or suspect. */
  std::vector<wire::Member> Reachable(const std::string& aFailureDomain) const;

  /**
   * Returns updates to send to another member, those sent least often first, and counts them as sent. The
   * number of sends of a change grows with the logarithm of the number of members, which reaches all but a
   * few of them. The others get the change when they compare the parts of their tables.
   */
  std::vector<wire::Member> TakeUpdates(GossipScope aScope, size_t aLimit);

  /** Whether there are updates that haven't been sent often enough. */
  bool HasUpdates(GossipScope aScope);

  /** Returns a hash of the reachable members' records, without versions; equal tables have equal digests. */
  int64_t Digest() const;

  /** Returns the digest of each part of the table; the hash of a name determines its part. */
  std::vector<int64_t> PartDigests() const;

  /** Returns all records of a part. */
  std::vector<wire::Member> RecordsOfPart(size_t aPart) const;

  /** Returns a number that grows with every change but those of held versions. */
  uint64_t Generation() const;

  /** Waits, at most until a deadline, for another generation; returns the current generation. */
  uint64_t WaitForChange(uint64_t aGeneration, Deadline aDeadline) const;

private:
  /** A record with the local state that isn't sent. */
  struct Entry
  {
    wire::Member member;
    Deadline changedAt;
    Deadline suspectUntil;
    /** Number of times that the record was sent since it last changed. */
    int sentInDomain = 0;
    int sentInMesh = 0;
  };

  bool MergeRecord(const wire::Member& aMember, Deadline aNow);
  /** Raises the own incarnation if a record wrongly claims a later state of this node. */
  bool RefuteLocked(const wire::Member& aMember, Deadline aNow);
  void MarkChanged(Entry& aEntry, Deadline aNow);
  /** Returns how often a change is sent within the own failure domain. */
  int SendLimitLocked() const;
  std::vector<Entry*> PendingUpdatesLocked(GossipScope aScope);
  const std::vector<int64_t>& PartDigestsLocked() const;

  Options m_options;
  std::string m_selfName;
  int64_t m_firstIncarnation = 0;
  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  std::map<std::string, Entry> m_entries;
  uint64_t m_generation = 1;
  /** Cached digests of the parts, valid for m_digestGeneration. */
  mutable std::vector<int64_t> m_partDigests;
  mutable uint64_t m_digestGeneration = 0;
};

/** Whether the first record replaces the second one. */
bool
Supersedes(const wire::Member& aNew, const wire::Member& aOld);

} // namespace mimosarun
