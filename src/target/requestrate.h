#pragma once

#include "common/clock.h"

#include <optional>

namespace mimosarun {

/**
 * Limits the requests to a target to a rate that the target has named. A token bucket: it refills at the rate
 * and holds little, so that no burst follows a pause. Without a rate it allows everything. Not thread-safe.
 */
class RequestRate
{
public:
  /** Sets the limit in requests a second; nothing removes it. The tokens in the bucket are kept. */
  void SetLimit(std::optional<double> aPerSecond, Deadline aNow);

  std::optional<double> Limit() const { return m_perSecond; }

  /** Takes the token for one request; returns false if there is none. */
  bool TryTake(Deadline aNow);

  /** Returns how long a request waits for its token if a number of others go before it. */
  std::chrono::microseconds WaitBehind(int aRequests, Deadline aNow) const;

private:
  double TokensAt(Deadline aNow) const;

  std::optional<double> m_perSecond;
  double m_tokens = 0;
  /** When m_tokens was computed. */
  Deadline m_refilledAt{};
};

} // namespace mimosarun
