#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>

namespace mimosarun {

/** Histogram of latencies in logarithmic buckets from 10 microseconds to 100 seconds, each 2.3% wide. */
class Latencies
{
public:
  Latencies();

  void Add(std::chrono::microseconds aTime);

  /** Adds all values of another histogram. */
  void Merge(const Latencies& aOther);

  /** Returns the upper bound of the bucket in which a quantile lies, or zero without any value. */
  std::chrono::microseconds Quantile(double aShare) const;

  uint64_t Count() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> m_histogram;
  uint64_t m_count = 0;
};

} // namespace mimosarun
