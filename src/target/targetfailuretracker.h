#pragma once

#include "common/clock.h"

namespace mimosarun {

/**
 * What the latest calls say of a target that fails some of them while its health check is good. While it
 * fails many, calls that have a better choice are turned back, but for a few that show whether it has
 * recovered. Not thread-safe.
 */
class TargetFailureTracker
{
public:
  enum class Outcome
  {
    Succeeded,
    Failed,
  };

  /** Takes the outcome of a call that the target was given. */
  void RecordOutcome(Outcome aOutcome, Deadline aNow);

  /** What a call risks here, as time that it may rather wait elsewhere; zero while all is well. */
  std::chrono::milliseconds FailurePenalty(Deadline aNow) const;

  /** Whether a call that tolerates so much doubt at most is better off elsewhere. */
  bool ShouldReject(std::chrono::milliseconds aTolerated, Deadline aNow);

private:
  double m_failureRate = 0;
  Deadline m_lastOutcomeAt{};
  Deadline m_nextTrialAt{};
};

} // namespace mimosarun
