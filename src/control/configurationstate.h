#pragma once

#include "common/clock.h"
#include "configuration/snapshot.h"
#include "control/nodeupdates.h"
#include "control/resultcache.h"
#include "control/rolloutstate.h"
#include "wire/gen-cpp/mesh_types.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** Summary of an accepted version for operators. */
struct VersionSummary
{
  int64_t version = 0;
  std::string author;
  std::string summary;
  WallTime acceptedAt;
  std::string hash;
};

/**
 * Replicated state of the configuration: the current version, its history, open proposals, roll-outs and the
 * results of recent requests. Thread-safe.
 */
class ConfigurationState
{
public:
  explicit ConfigurationState(DocumentParser aParser = ParserOf<NativeFormat>(),
                              KeyRedactor aRedactor = RedactorOf<NativeFormat>());

  wire::CommandResult Apply(const wire::LogEntry& aEntry);
  std::string Image() const;
  /** Replaces the state by that of a snapshot, which covers the entries up to an index. */
  Result<void> Restore(const std::string& aImage, int64_t aIndex = 0);

  /** Returns the version accepted last. */
  SnapshotPointer Current() const;

  /** Returns the version accepted last if the entries up to an index are applied, otherwise nullptr. */
  SnapshotPointer CurrentAt(int64_t aIndex) const;

  /**
   * Waits until a version newer than aHeldVersion is accepted, the deadline, or WakeWaiters() while
   * aIsInterrupted returns true; returns the current version.
   */
  SnapshotPointer WaitForNewer(int64_t aHeldVersion,
                               Deadline aDeadline,
                               const std::function<bool()>& aIsInterrupted) const;

  /** Lets WaitForNewer() ask again whether it is interrupted. */
  void WakeWaiters() const;

  /** Returns the update from aHeldVersion to the current version for a node, which gets no team's key. */
  wire::ConfigurationUpdate UpdateFrom(int64_t aHeldVersion) const;

  /** Returns whether the current version has teams. */
  bool HasTeams() const;

  /** Returns the revision of the roll-outs; may be called while WaitForNewer() asks whether it is
   * interrupted. */
  int64_t RolloutRevision() const { return m_rolloutRevision; }

  wire::RolloutSet Rollouts() const;

  /** Returns the latest roll-out of each service. */
  std::vector<AppliedRollout> AppliedRollouts() const;

  /** Returns the latest roll-out of a service, or nothing if it never had one. */
  std::optional<AppliedRollout> FindRollout(const std::string& aService) const;
  /**
   * Returns the version accepted last, with its parsed configuration if it has teams. A document that
   * replaced another one as a whole isn't parsed otherwise.
   */
  SnapshotPointer CurrentWithTeams() const;

  std::vector<wire::Proposal> Proposals() const;
  std::vector<VersionSummary> Versions() const;

  /** Returns whether a document with this hash was accepted under this version number. */
  bool WasAccepted(int64_t aVersion, const std::string& aHash) const;

  /** Returns the JSON patch between two versions, or NotFound if the history no longer holds both. */
  Result<std::string> Difference(int64_t aFrom, int64_t aTo) const;

private:
  wire::CommandResult ApplyLocked(const wire::Command& aCommand);
  wire::CommandResult Propose(const wire::Command& aCommand);
  wire::CommandResult Accept(const wire::Command& aCommand);
  wire::CommandResult SetTargetState(const wire::Command& aCommand);
  wire::CommandResult Replace(const wire::Command& aCommand);
  wire::CommandResult ChangeRollout(const wire::Command& aCommand);
  wire::CommandResult CheckBase(int64_t aBase) const;
  bool WasAcceptedLocked(int64_t aVersion, const std::string& aHash) const;
  Result<std::string> TextLocked(int64_t aVersion) const;
  wire::CommandResult SetCurrent(SnapshotPointer aSnapshot,
                                 const wire::Command& aCommand,
                                 const std::string& aSummary);
  wire::CommandResult Install(const wire::Command& aCommand,
                              const std::string& aText,
                              const std::string& aSummary);

  const DocumentParser m_parser;
  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  SnapshotPointer m_current;
  /** Index of the last applied entry; goes back when the replica opens its journal again. */
  int64_t m_appliedIndex = 0;
  /** The parsed result of CurrentWithTeams(), kept until there is a newer version. */
  mutable SnapshotPointer m_withTeams;
  UpdateHistory m_history;
  mutable NodeUpdates m_nodeUpdates;
  std::vector<VersionSummary> m_versions;
  std::map<int64_t, wire::Proposal> m_proposals;
  int64_t m_nextProposal = 1;
  ResultCache m_results;
  RolloutState m_rollouts;
  /** Copy of the revision in m_rollouts that is read without the lock. */
  std::atomic<int64_t> m_rolloutRevision{ 0 };
};

} // namespace mimosarun
