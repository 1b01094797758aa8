#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "configuration/configuration.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <functional>
#include <mutex>
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
  /** Start of the reporting incarnation; zero where targets don't report it. */
  int64_t startedAtMillis = 0;
  /** Number of the report within the incarnation; zero where targets don't number reports. */
  int64_t sequence = 0;
};

/**
 * Keeps the latest report of the target. Reports of former incarnations and reports that arrive out of order
 * are ignored, and a target that doesn't report within its lease becomes absent. Thread-safe.
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

  /** Applies a report; returns false if it is outdated. */
  bool ApplyReport(const TargetReport& aReport, Deadline aNow);

  /**
   * Ends an incarnation permanently: it gets no further calls, whatever it reports later.
   *
   * @param aStartedAtMillis start of the incarnation; zero if unknown
   */
  void EndIncarnation(const std::string& aName, int64_t aStartedAtMillis, Deadline aNow);

  /** Sets the state that the target's own response showed, if the target is absent and hasn't ended. */
  void Observe(const TargetState& aState, Deadline aNow);

  /** Makes a target absent whose incarnation turned out to have ended; later reports are still applied. */
  void MarkLost(const std::string& aName);

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
    /** Start of the incarnation; zero if unknown. */
    int64_t startedAtMillis = 0;
    /** Where the start is unknown: it isn't later than this. */
    int64_t endedAtMillis = 0;
    /** From then on endedAtMillis isn't relied on, since clocks differ. */
    Deadline assumedUntil{};
  };

  bool IsOutdated(const TargetReport& aReport, Deadline aNow) const;
  bool HasEnded(const TargetReport& aReport, Deadline aNow) const;
  void SetState(const TargetState& aState);

  Options m_options;
  /** Held while the listener runs, so that it receives changes in order. */
  std::mutex m_changeMutex;
  mutable std::mutex m_mutex;
  TargetReport m_latestReport;
  EndedIncarnation m_endedIncarnation;
  Deadline m_leaseExpiresAt{};
  TargetIntent m_intent = TargetIntent::Serving;
};

} // namespace mimosarun
