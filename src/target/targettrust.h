#pragma once

#include "common/clock.h"

namespace mimosarun {

/**
 * What the latest calls say of a target that fails some of them while its health check is good. While it
 * fails many, calls that have a better choice are turned back, but for a few that show whether it has
 * recovered. Not thread-safe.
 */
class TargetTrust
{
public:
  enum class Outcome
  {
    Well,
    Failed,
  };

  /** Takes the outcome of a call that the target was given. */
  void Note(Outcome aOutcome, Deadline aNow);

  /** What a call risks here, as time that it may rather wait elsewhere; zero while all is well. */
  std::chrono::milliseconds Doubt(Deadline aNow) const;

  /** Whether a call that tolerates so much doubt at most is better off elsewhere. */
  bool TurnsBack(std::chrono::milliseconds aTolerated, Deadline aNow);

private:
  double m_failureShare = 0;
  Deadline m_lastAt{};
  Deadline m_nextTrial{};
};

} // namespace mimosarun
