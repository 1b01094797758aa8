#include "target/targettrust.h"

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
TargetTrust::Note(Outcome aOutcome, Deadline aNow)
{
  m_failureShare += ((aOutcome == Outcome::Failed ? 1.0 : 0.0) - m_failureShare) / kSmoothing;
  m_lastAt = aNow;
}

std::chrono::milliseconds
TargetTrust::Doubt(Deadline aNow) const
{
  if (m_failureShare <= kTolerated || aNow > m_lastAt + kForgetTime) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(static_cast<int64_t>(m_failureShare * kFailureMilliseconds));
}

bool
TargetTrust::TurnsBack(std::chrono::milliseconds aTolerated, Deadline aNow)
{
  if (Doubt(aNow) <= aTolerated || aNow >= m_nextTrial) {
    m_nextTrial = std::max(m_nextTrial, aNow) + kTrialInterval;
    return false;
  }
  return true;
}

} // namespace mimosarun
