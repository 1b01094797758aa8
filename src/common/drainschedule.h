#pragma once

#include "common/clock.h"

namespace mimosarun {

/**
 * Decides until when a stopping process takes calls: for a while after the signal, so that callers can switch
 * over, and only those calls that can be expected to end before the process does. Others are better refused
 * before anything is sent, since they would be cut off.
 */
class DrainSchedule
{
public:
  struct Options
  {
    /** No call is taken from then on. */
    Deadline acceptUntil;
    /** Open calls are refused then. */
    Deadline endsAt;
  };

  explicit DrainSchedule(Options aOptions);

  /** Returns whether to take a call that arrives now and that nearly always ends within the given time. */
  bool Accepts(Deadline aNow, std::chrono::microseconds aLongestExpectedTime) const;

private:
  Options m_options;
};

} // namespace mimosarun
