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

/** What is known of the target of this node. */
struct TargetState
{
  /** Names one life of the target. */
  std::string name;
  std::string service;
  Address address;
  int slots = 0;
  /** How long it stays slow after its start, as it said last. */
  std::chrono::milliseconds warmUpLeft{ 0 };
  wire::TargetPhase::type phase = wire::TargetPhase::Absent;

  bool operator==(const TargetState&) const = default;
};

/** A statement of a target about itself, with what orders it among the others. */
struct TargetReport
{
  TargetState state;
  /** Start of the life that speaks; zero where targets don't say it. */
  int64_t startedAtMillis = 0;
  /** Number of the statement within that life; zero where targets don't count. */
  int64_t sequence = 0;
};

/**
 * Keeps the newest statement of the target. A statement of a former life or one that was overtaken on its way
 * changes nothing, and a target that stays silent past its lease is absent. Thread-safe.
 */
class TargetWatch
{
public:
  /** Called after each change, in order and before Take() returns. */
  using Listener = std::function<void(const TargetState& aState)>;

  struct Options
  {
    std::chrono::milliseconds lease{ 3000 };
    Listener listener;
  };

  explicit TargetWatch(Options aOptions);

  /** Takes a statement in; false if a newer one is known. */
  bool ApplyReport(const TargetReport& aReport, Deadline aNow);

  /**
   * Ends a life for good: it gets no further calls, whatever else it says.
   *
   * @param aBornMillis start of that life; zero where it isn't told
   */
  void EndIncarnation(const std::string& aName, int64_t aBornMillis, Deadline aNow);

  /** Takes what an answer of the target itself showed: which life has the address. */
  void Observe(const TargetState& aState, Deadline aNow);

  /** Forgets a life that turned out to be over; statements of a later one count as usual. */
  void MarkLost(const std::string& aName);

  /** Makes a target absent whose lease has run out. */
  void CheckLease(Deadline aNow);

  TargetState State() const;

  /** What operators want of the target; it learns it with the answer to its next statement. */
  void SetIntent(TargetIntent aIntent);
  TargetIntent Intent() const;

private:
  /** A life that has ended. */
  struct EndedIncarnation
  {
    std::string name;
    int64_t startedAtMillis = 0;
  };

  bool IsOutdated(const TargetReport& aReport) const;
  void SetState(const TargetState& aState);

  Options m_options;
  /** Held while the listener runs, so that changes reach it in order. */
  std::mutex m_changeMutex;
  mutable std::mutex m_mutex;
  TargetReport m_latestReport;
  EndedIncarnation m_endedIncarnation;
  Deadline m_leaseExpiresAt{};
  TargetIntent m_intent = TargetIntent::Serving;
};

} // namespace mimosarun
