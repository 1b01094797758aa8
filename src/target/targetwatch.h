#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "configuration/configuration.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace mimosarun {

/** Limits the version that a target names, since every node holds the version of every target. */
inline constexpr size_t kMaximumVersionLength = 200;

/** State of the target of this node. */
struct TargetState
{
  /** Identifies one incarnation of the target. */
  std::string name;
  std::string service;
  Address address;
  int slots = 0;
  /** How long the target will still be slow after its start, as last reported. */
  std::chrono::milliseconds warmUpLeft{ 0 };
  wire::TargetPhase::type phase = wire::TargetPhase::Absent;
  /** Version of the target's software; empty if it names none. */
  std::string version;

  bool operator==(const TargetState&) const = default;
};

/** Report of a target about itself, with the values by which reports are ordered. */
struct TargetReport
{
  TargetState state;
  /** Start of the reporting incarnation, in milliseconds since 1970; absent where targets don't report it. */
  std::optional<int64_t> startedAtMillis;
  /** Number of the report within the incarnation; absent where targets don't number reports. */
  std::optional<int64_t> sequence;
};

/** What became of a report. */
enum class ReportResult
{
  Applied,
  /** It is of an incarnation that has ended, or older than one that was applied. */
  Outdated,
  /** It claims the address of an incarnation that reports itself; it may be applied later. */
  Pending,
};

/**
 * Keeps the latest report of the target. Reports that arrive out of order are ignored, and a target that
 * doesn't report within its lease becomes absent. Several writers may report for one address: no report
 * displaces an incarnation that goes on reporting, until that is silent or the target says who it is.
 * Thread-safe.
 */
class TargetWatch
{
public:
  /** Called after each change, in order and before the function that made the change returns. */
  using Listener = std::function<void(const TargetState& aState)>;

  struct Options
  {
    std::chrono::milliseconds lease{ 3000 };
    Listener listener;
  };

  explicit TargetWatch(Options aOptions);

  /** Applies a report, or keeps it as a claim of another incarnation. */
  ReportResult ApplyReport(const TargetReport& aReport, Deadline aNow);

  /** Applies the claim of an incarnation that the target has named as its own in a response, if there is one.
   */
  void Confirm(const std::string& aName, Deadline aNow);

  /**
   * Ends an incarnation permanently: it gets no further calls, whatever it reports later.
   *
   * @param aStartedAtMillis start of the incarnation, in milliseconds since 1970; absent if unknown
   */
  void EndIncarnation(const std::string& aName, std::optional<int64_t> aStartedAtMillis, Deadline aNow);

  /** Sets the state that the target's own response showed, if the target is absent and hasn't ended. */
  void Observe(const TargetState& aState, Deadline aNow);

  /**
   * Makes a target absent whose incarnation turned out to have ended, or replaces it by the one that has
   * claimed its address; later reports are still applied.
   */
  void MarkLost(const std::string& aName, Deadline aNow);

  /** Makes the target absent if its lease has expired. */
  void CheckLease(Deadline aNow);

  TargetState State() const;

  /** Sets the state that operators want; the target learns it from the response to its next report. */
  void SetIntent(TargetIntent aIntent);
  TargetIntent Intent() const;

private:
  struct EndedIncarnation
  {
    std::string name;
    /** Start of the incarnation, if it is known. */
    std::optional<int64_t> startedAtMillis;
    /** Where the start is unknown: it isn't later than this. */
    int64_t endedAtMillis = 0;
    /** From then on endedAtMillis isn't relied on, since clocks differ. */
    Deadline assumedUntil{};
  };

  /** The last report that claims the address of another incarnation. */
  struct Claim
  {
    TargetReport report;
    /** Whether its incarnation has reported before, so that it isn't a single late report. */
    bool isRepeated = false;
    Deadline expiresAt{};
  };

  bool IsCurrent(const TargetReport& aReport) const;
  bool IsInUse() const;
  /** Returns what another incarnation claims by a report, which may follow an earlier claim. */
  Claim MakeClaim(const TargetReport& aReport, Deadline aNow) const;
  /** Returns whether the incarnation of a claim may take the place of the current one. */
  bool MayReplace(const Claim& aClaim, Deadline aNow) const;
  bool HasEnded(const TargetReport& aReport, Deadline aNow) const;
  bool HasEnded(const std::string& aName) const;
  ReportResult ApplyLocked(const TargetReport& aReport, Deadline aNow);
  ReportResult ApplyClaimLocked(const TargetReport& aReport, Deadline aNow);
  void AcceptLocked(const TargetReport& aReport, Deadline aNow);
  void SetState(const TargetState& aState);

  Options m_options;
  /** Held while the listener runs, so that it receives changes in order. */
  std::mutex m_changeMutex;
  mutable std::mutex m_mutex;
  TargetReport m_latestReport;
  /** The most recent first. */
  std::deque<EndedIncarnation> m_endedIncarnations;
  std::optional<Claim> m_claim;
  Deadline m_leaseExpiresAt{};
  /** When the current incarnation counts as silent, before its lease expires. */
  Deadline m_silentFrom{};
  TargetIntent m_intent = TargetIntent::Serving;
};

} // namespace mimosarun
