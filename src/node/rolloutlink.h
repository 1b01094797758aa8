#pragma once

#include "common/clock.h"
#include "node/membertable.h"
#include "rollout/outcomecounter.h"
#include "rollout/rolloutview.h"

#include <cstdint>
#include <functional>

namespace mimosarun {

/**
 * The part of a node's polls that concerns roll-outs: it names the revision that the node applies, reports
 * what the node's gate counted, and applies the roll-outs of replies. Polls of nodes that know no target with
 * a version stay as they are. Used by one thread.
 */
class RolloutLink
{
public:
  struct Options
  {
    const MemberTable* table = nullptr;
    RolloutView* view = nullptr;
    OutcomeCounter* outcomes = nullptr;
    /** Returns the number of calls that hold a slot of the target or wait for one. */
    std::function<int()> openCalls;
    /** Called after other roll-outs were applied. */
    std::function<void()> onChange;
  };

  explicit RolloutLink(Options aOptions);

  /** Adds revision and outcomes to a poll, and shortens its wait while a report may be due sooner. */
  void Prepare(wire::WatchRequest& aRequest, Deadline aNow);

  /** Applies the reply to a poll. */
  void Apply(const wire::WatchRequest& aRequest, const wire::WatchReply& aReply, Deadline aNow);

private:
  wire::NodeOutcomes MakeReport(const wire::Member& aSelf);
  /** Returns whether anything changed since the last report, or that one is old. */
  bool IsReportDue(Deadline aNow) const;

  const Options m_options;
  const int64_t m_incarnation;
  int64_t m_sequence = 0;
  /** Until then a roll-out concerns the own target. */
  Deadline m_reportUntil{};
  Deadline m_nextReport{};
  Deadline m_repeatReportAt{};
  uint64_t m_reportedTotal = 0;
  int m_reportedOpenCalls = 0;
  int64_t m_reportedRevision = 0;
};

} // namespace mimosarun
