#pragma once

#include <chrono>

namespace mimosarun {

/**
 * A running estimate of a quantile of durations. Each value moves the estimate by a bounded share of it, so
 * it follows changes within tens of values, and single outliers have little effect. Not thread-safe.
 */
class QuantileEstimate
{
public:
  /** @param aQuantile between 0 and 1 */
  explicit QuantileEstimate(double aQuantile);

  void Add(std::chrono::microseconds aDuration);

  /** Returns the estimate, or zero before the first value. */
  std::chrono::microseconds Value() const;

private:
  double m_quantile;
  double m_estimateMicros = 0;
};

} // namespace mimosarun
