#include "target/targetfailuretracker.h"

#include <algorithm>

namespace mimosarun {

/** Calls over which the share of failures is smoothed. */
static constexpr double kSmoothing = 12;
/** A share that needs no doubt, since targets fail a call now and then. */
static constexpr double kTolerated = 0.15;
/** What a certain failure costs. */
static constexpr double kFailureMilliseconds = 1500;
static constexpr std::chrono::milliseconds kTrialInterval{ 150 };
/** Without any call, doubts are given up after this. */
static constexpr std::chrono::milliseconds kForgetTime{ 3000 };

void
TargetFailureTracker::RecordOutcome(Outcome aOutcome, Deadline aNow)
{
  m_failureRate += ((aOutcome == Outcome::Failed ? 1.0 : 0.0) - m_failureRate) / kSmoothing;
  m_lastOutcomeAt = aNow;
}

std::chrono::milliseconds
TargetFailureTracker::FailurePenalty(Deadline aNow) const
{
  if (m_failureRate <= kTolerated || aNow > m_lastOutcomeAt + kForgetTime) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(static_cast<int64_t>(m_failureRate * kFailureMilliseconds));
}

bool
TargetFailureTracker::ShouldReject(std::chrono::milliseconds aTolerated, Deadline aNow)
{
  if (FailurePenalty(aNow) <= aTolerated || aNow >= m_nextTrialAt) {
    m_nextTrialAt = std::max(m_nextTrialAt, aNow) + kTrialInterval;
    return false;
  }
  return true;
}

} // namespace mimosarun
