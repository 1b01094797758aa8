#pragma once

#include "common/clock.h"

namespace mimosarun {

/** Events per second of the recent past; older events count exponentially less. Not thread-safe. */
class DecayedRate
{
public:
  /** Sets the time in which an event's weight falls to about a third. */
  void SetDecayTime(std::chrono::milliseconds aTime, Deadline aNow);

  void Add(Deadline aNow);

  double PerSecond(Deadline aNow) const;

private:
  std::chrono::duration<double> m_decayTime{ 2 };
  double m_perSecond = 0;
  /** When m_perSecond was computed. */
  Deadline m_updatedAt{};
};

} // namespace mimosarun
