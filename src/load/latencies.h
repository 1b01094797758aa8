#pragma once

#include <boost/histogram.hpp>

#include <chrono>
#include <cstdint>

namespace mimosarun {

/** Latencies in logarithmic buckets from 10 microseconds to 100 seconds, each 2.3% wide. */
class Latencies
{
public:
  Latencies();

  void Add(std::chrono::microseconds aTime);

  /** Takes in all of another histogram. */
  void Merge(const Latencies& aOther);

  /** The time that a share of all values doesn't exceed, with the width of a bucket. */
  std::chrono::microseconds Quantile(double aShare) const;

  uint64_t Count() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> m_histogram;
  uint64_t m_count = 0;
};

} // namespace mimosarun
