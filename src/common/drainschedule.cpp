#include "common/drainschedule.h"

namespace mimosarun {

/** Time for the refusal of a call at its deadline, and for the bytes that its peer lacks then. */
static constexpr std::chrono::milliseconds kResponseTime{ 200 };

DrainSchedule::DrainSchedule(Options aOptions)
  : m_options(aOptions)
{
}

bool
DrainSchedule::Accepts(Deadline aNow, std::chrono::microseconds aLongestExpectedTime) const
{
  return aNow < m_options.acceptUntil && aNow + aLongestExpectedTime <= m_options.endsAt;
}

bool
DrainSchedule::AcceptsUntilDeadline(Deadline aCallDeadline) const
{
  return aCallDeadline + kResponseTime <= m_options.endsAt;
}

} // namespace mimosarun
