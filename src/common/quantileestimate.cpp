#include "common/quantileestimate.h"

#include <algorithm>

namespace mimosarun {

/** Part of the estimate by which a value moves it. */
static constexpr double kStep = 0.125;
static constexpr double kSmallestStepMicros = 20;

QuantileEstimate::QuantileEstimate(double aQuantile)
  : m_quantile(aQuantile)
{
}

void
QuantileEstimate::Add(std::chrono::microseconds aTime)
{
  const auto micros = static_cast<double>(aTime.count());
  if (m_micros == 0) {
    m_micros = micros;
    return;
  }
  const double step = std::max(kStep * m_micros, kSmallestStepMicros);
  if (micros > m_micros) {
    m_micros = std::min(micros, m_micros + step * m_quantile);
  } else {
    m_micros = std::max(micros, m_micros - step * (1 - m_quantile));
  }
}

std::chrono::microseconds
QuantileEstimate::Value() const
{
  return std::chrono::microseconds(static_cast<int64_t>(m_micros));
}

} // namespace mimosarun
