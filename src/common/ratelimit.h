#pragma once

#include "common/clock.h"

#include <mutex>

namespace mimosarun {

/** Limits the number of events in each window of one second. Thread-safe. */
class RateLimit
{
public:
  explicit RateLimit(int aPerSecond);

  /** Counts an event; returns whether it is within the limit. */
  bool Allow(Deadline aNow = SteadyClock::now());

private:
  int m_perSecond;
  std::mutex m_mutex;
  Deadline m_windowEnd{};
  int m_usedInWindow = 0;
};

} // namespace mimosarun
