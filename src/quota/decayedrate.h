#pragma once

#include "common/clock.h"

namespace mimosarun {

/** Events per second of the recent past; older events count exponentially less. Not thread-safe. */
class DecayedRate
{
public:
  void Add(Deadline aNow);

  double PerSecond(Deadline aNow) const;

private:
  double m_perSecond = 0;
  /** When m_perSecond was computed. */
  Deadline m_updatedAt{};
};

} // namespace mimosarun
