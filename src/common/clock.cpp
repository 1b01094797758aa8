#include "common/clock.h"

#include <algorithm>

namespace mimosarun {

/** Timestamps further ahead of the local wall clock than this are ignored. */
static constexpr auto kMaximumClockDrift = std::chrono::seconds(10);

WallTime
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}

std::chrono::milliseconds
TimeLeft(Deadline aDeadline, Deadline aNow)
{
  if (aDeadline <= aNow) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::ceil<std::chrono::milliseconds>(aDeadline - aNow);
}

HybridClock&
HybridClock::Instance()
{
  static HybridClock clock;
  return clock;
}

HybridTime
HybridClock::Now()
{
  const std::lock_guard lock(m_mutex);
  const WallTime wall = WallNow();
  if (wall > m_last.physical) {
    m_last = { .physical = wall, .logical = 0 };
  } else {
    ++m_last.logical;
  }
  return m_last;
}

void
HybridClock::Observe(const HybridTime& aRemote)
{
  const std::lock_guard lock(m_mutex);
  if (aRemote.physical > WallNow() + kMaximumClockDrift) {
    return;
  }
  m_last = std::max(m_last, aRemote);
}

} // namespace mimosarun
