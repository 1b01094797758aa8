#include "common/drainschedule.h"

namespace mimosarun {

DrainSchedule::DrainSchedule(Options aOptions)
  : m_options(aOptions)
{
}

bool
DrainSchedule::Accepts(Deadline aNow, std::chrono::microseconds aLongestExpectedTime) const
{
  return aNow < m_options.acceptUntil && aNow + aLongestExpectedTime <= m_options.endsAt;
}

} // namespace mimosarun
