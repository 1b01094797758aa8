#pragma once

#include "common/clock.h"

namespace mimosarun {

/**
 * Decides until when a stopping process takes calls: for a while after the signal, so that callers can switch
 * over, and only those calls that can be expected to end before the process does. Callers that have no other
 * process go on to send; later calls are taken if their deadline is before the end. Others are better refused
 * before anything is sent, since they would be cut off.
 */
class DrainSchedule
{
public:
  struct Options
  {
    /** From then on, only calls whose deadline is before the end are taken. */
    Deadline acceptUntil;
    /** Open calls are refused then. */
    Deadline endsAt;
  };

  explicit DrainSchedule(Options aOptions);

  /** Returns whether to take a call that arrives now and that nearly always ends within the given time. */
  bool Accepts(Deadline aNow, std::chrono::microseconds aLongestExpectedTime) const;

  /** Returns whether to take a call that ends at its deadline at the latest, whenever it arrives. */
  bool AcceptsUntilDeadline(Deadline aCallDeadline) const;

private:
  Options m_options;
};

} // namespace mimosarun
