#pragma once

#include "common/clock.h"

namespace mimosarun {

/**
 * Tracks the failure rate of a target, which may fail calls although its health check succeeds. While the
 * rate is high, calls that have a better choice are rejected, except for a few trials that show whether the
 * target has recovered. Not thread-safe.
 */
class TargetFailureTracker
{
public:
  enum class Outcome
  {
    Succeeded,
    Failed,
  };

  /** Records the outcome of a call that was sent to the target. */
  void RecordOutcome(Outcome aOutcome, Deadline aNow);

  /**
   * Returns the expected cost of a failure, as time that a call may wait at another gate instead; zero while
   * few calls fail.
   */
  std::chrono::milliseconds FailurePenalty(Deadline aNow) const;

  /** Returns whether to reject a call that accepts at most this penalty; false for trials. */
  bool ShouldReject(std::chrono::milliseconds aMaxPenalty, Deadline aNow);

private:
  double m_failureRate = 0;
  Deadline m_lastOutcomeAt{};
  Deadline m_nextTrialAt{};
};

} // namespace mimosarun
