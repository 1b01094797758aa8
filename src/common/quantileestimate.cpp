#include "common/quantileestimate.h"

#include <algorithm>

namespace mimosarun {

/** Share of the estimate that a value moves it by, before it is weighted by the quantile. */
static constexpr double kStepShare = 0.125;
static constexpr double kSmallestStepMicros = 20;

QuantileEstimate::QuantileEstimate(double aQuantile)
  : m_quantile(aQuantile)
{
}

void
QuantileEstimate::Add(std::chrono::microseconds aDuration)
{
  const auto micros = static_cast<double>(aDuration.count());
  if (m_estimateMicros == 0) {
    m_estimateMicros = micros;
    return;
  }
  const double step = std::max(kStepShare * m_estimateMicros, kSmallestStepMicros);
  if (micros > m_estimateMicros) {
    m_estimateMicros = std::min(micros, m_estimateMicros + step * m_quantile);
  } else {
    m_estimateMicros = std::max(micros, m_estimateMicros - step * (1 - m_quantile));
  }
}

std::chrono::microseconds
QuantileEstimate::Value() const
{
  return std::chrono::microseconds(static_cast<int64_t>(m_estimateMicros));
}

} // namespace mimosarun
