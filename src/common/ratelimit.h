#pragma once

#include "common/clock.h"

#include <mutex>

namespace mimosarun {

/** Lets a bounded number of events through in each second. Thread-safe. */
class RateLimit
{
public:
  explicit RateLimit(int aPerSecond);

  bool Allow(Deadline aNow = SteadyClock::now());

private:
  int m_perSecond;
  std::mutex m_mutex;
  Deadline m_windowEnd{};
  int m_usedInWindow = 0;
};

} // namespace mimosarun
