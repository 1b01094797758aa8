#pragma once

#include <chrono>

namespace mimosarun {

/**
 * Running estimate of a quantile of times. Each value moves it by a small part of itself, so that it follows
 * changes within tens of values and single extremes hardly move it. Not thread-safe.
 */
class QuantileEstimate
{
public:
  /** @param aQuantile between 0 and 1 */
  explicit QuantileEstimate(double aQuantile);

  void Add(std::chrono::microseconds aTime);

  /** The estimate; zero before the first value. */
  std::chrono::microseconds Value() const;

private:
  double m_quantile;
  double m_estimateMicros = 0;
};

} // namespace mimosarun
