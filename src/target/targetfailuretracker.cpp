#include "target/targetfailuretracker.h"

#include <algorithm>

namespace mimosarun {

/** Number of calls over which the failure rate is smoothed. */
static constexpr double kSmoothingCalls = 12;
/** Failure rate without a penalty, since targets occasionally fail a call. */
static constexpr double kToleratedFailureRate = 0.15;
/** Penalty at a failure rate of 1. */
static constexpr double kFullPenaltyMilliseconds = 1500;
static constexpr std::chrono::milliseconds kTrialInterval{ 150 };
/** The penalty ends this long after the last outcome. */
static constexpr std::chrono::milliseconds kPenaltyLifetime{ 3000 };

void
TargetFailureTracker::RecordOutcome(Outcome aOutcome, Deadline aNow)
{
  m_failureRate += ((aOutcome == Outcome::Failed ? 1.0 : 0.0) - m_failureRate) / kSmoothingCalls;
  m_lastOutcomeAt = aNow;
}

std::chrono::milliseconds
TargetFailureTracker::FailurePenalty(Deadline aNow) const
{
  if (m_failureRate <= kToleratedFailureRate || aNow > m_lastOutcomeAt + kPenaltyLifetime) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(static_cast<int64_t>(m_failureRate * kFullPenaltyMilliseconds));
}

bool
TargetFailureTracker::ShouldReject(std::chrono::milliseconds aMaxPenalty, Deadline aNow)
{
  if (FailurePenalty(aNow) <= aMaxPenalty || aNow >= m_nextTrialAt) {
    m_nextTrialAt = std::max(m_nextTrialAt, aNow) + kTrialInterval;
    return false;
  }
  return true;
}

} // namespace mimosarun
