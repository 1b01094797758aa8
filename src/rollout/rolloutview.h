#pragma once

#include "common/clock.h"
#include "wire/gen-cpp/mesh_types.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** Which calls the targets of a version may get. */
enum class VersionStanding
{
  Allowed,
  /** Those of the version's share in a running roll-out. */
  Candidate,
  Forbidden,
};

/** Numbers of a service's targets of one version. */
struct VersionTargets
{
  int ready = 0;
  int starting = 0;
};

/** The targets of each version of each service; the version is empty where targets name none. */
using ServiceVersions = std::map<std::string, std::map<std::string, VersionTargets>>;

/** Part of a service's calls that the candidate of its roll-out gets. */
struct CandidateShare
{
  std::string version;
  int permille = 0;
  int64_t revision = 0;
  /** Number of targets that get most of these calls; zero spreads them over all. */
  int canaryTargets = 0;
};

/**
 * What a node knows of the roll-outs, and which versions may get calls according to that. A version that
 * wasn't ordered gets none: without a roll-out, only the version in force is allowed, which is the one that
 * most targets have when control is heard first. Thread-safe.
 */
class RolloutView
{
public:
  /** Applies what a replica holds, unless its revision is older; returns whether anything changed. */
  bool Apply(const wire::RolloutSet& aRollouts);

  /** Records that a replica with contact to a leader has said all that it knows of roll-outs. */
  void RecordContact(Deadline aNow);

  /** Replaces the known targets, and determines the versions in force. */
  void SetTargets(ServiceVersions aTargets, Deadline aNow);

  VersionStanding StandingOf(const std::string& aService, const std::string& aVersion) const;

  /** Returns whether the gate beside a target must reject calls. Doesn't lock where no target names a
   * version. */
  bool IsForbidden(const std::string& aService, const std::string& aVersion) const;

  /**
   * Returns the share of a service's candidate, or nothing if no roll-out of the service runs. A node that
   * has had no contact to control for a while sends a candidate nothing, since it wouldn't learn that the
   * candidate was rejected; only a full share stays, since the other targets may have stopped.
   */
  std::optional<CandidateShare> ShareOf(const std::string& aService, Deadline aNow) const;

  bool IsRunning(const std::string& aService) const;

  /** Whether some target names a version, so that roll-outs may concern this node. Doesn't lock. */
  bool HasVersions() const { return m_hasVersions; }

  int64_t Revision() const;

  /** Returns a number that differs after each change of what calls may be sent to. */
  uint64_t StateAt(Deadline aNow) const;

  /**
   * Returns the names of the targets that get most calls of a candidate, the same on every node that knows
   * the same targets (rendezvous hashing).
   */
  static std::vector<std::string> ChooseCanaries(const std::string& aVersion,
                                                 std::vector<std::string> aNames,
                                                 int aCount);

private:
  /** The version that a service's calls go to apart from a running roll-out. */
  struct VersionInForce
  {
    std::string version;
    /** Until then the version that most targets have takes its place. */
    Deadline settledAt{};
    /** Since when it has no targets. */
    std::optional<Deadline> goneSince;
  };

  const wire::RolloutRecord* RecordLocked(const std::string& aService) const;
  bool HasContactLocked(Deadline aNow) const;
  /** Returns the version in force, or nothing if no ready target may have it. */
  std::optional<std::string> VersionInForceLocked(const std::string& aService) const;
  void UpdateVersionInForceLocked(const std::string& aService, Deadline aNow);
  /** Returns the version that most ready targets have, without a candidate and rejected ones. */
  std::optional<std::string> MostFrequentLocked(const std::string& aService) const;
  /** Returns whether a roll-out rejected a version or names it as its candidate. */
  bool IsExcludedLocked(const std::string& aService, const std::string& aVersion) const;
  bool HasTargetsLocked(const std::string& aService, const std::string& aVersion) const;
  bool HasOtherTargetsLocked(const std::string& aService, const std::string& aVersion) const;

  mutable std::mutex m_mutex;
  std::map<std::string, wire::RolloutRecord> m_records;
  int64_t m_revision = 0;
  uint64_t m_changes = 0;
  ServiceVersions m_targets;
  std::map<std::string, VersionInForce> m_inForce;
  /** When control was last heard; nothing before the first time. */
  std::optional<Deadline> m_lastContact;
  std::atomic<bool> m_hasVersions{ false };
};

} // namespace mimosarun
