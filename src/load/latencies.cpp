#include "load/latencies.h"

#include <algorithm>

namespace mimosarun {

static constexpr unsigned int kBuckets = 700;
static constexpr double kLowestMicros = 10;
static constexpr double kHighestMicros = 1e8;

Latencies::Latencies()
  : m_histogram(boost::histogram::make_histogram(Axis(kBuckets, kLowestMicros, kHighestMicros)))
{
}

void
Latencies::Add(std::chrono::microseconds aTime)
{
  m_histogram(std::clamp(static_cast<double>(aTime.count()), kLowestMicros, kHighestMicros - 1));
  ++m_count;
}

void
Latencies::Merge(const Latencies& aOther)
{
  m_histogram += aOther.m_histogram;
  m_count += aOther.m_count;
}

std::chrono::microseconds
Latencies::Quantile(double aShare) const
{
  const double rank = aShare * static_cast<double>(m_count);
  double count = 0;
  for (const auto& bin : boost::histogram::indexed(m_histogram)) {
    count += static_cast<double>(*bin);
    if (count >= rank && count > 0) {
      return std::chrono::microseconds(static_cast<int64_t>(bin.bin().upper()));
    }
  }
  return std::chrono::microseconds(0);
}

uint64_t
Latencies::Count() const
{
  return m_count;
}

} // namespace mimosarun
