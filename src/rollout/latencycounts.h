#pragma once

#include "rollout/latencybuckets.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace mimosarun {

/** Numbers of responses by latency bucket. Positions are logarithms of times, in buckets. */
class LatencyCounts
{
public:
  using Buckets = std::array<int64_t, LatencyBuckets::kCount>;

  void operator+=(const Buckets& aBuckets);

  int64_t Total() const { return m_total; }

  /** Returns the position of a quantile, interpolated within its bucket. */
  double Quantile(double aQuantile) const;

  /** Returns the time of a quantile, interpolated within its bucket, or zero without responses. */
  std::chrono::microseconds QuantileTime(double aQuantile) const;

private:
  Buckets m_buckets{};
  int64_t m_total = 0;
};

/** Returns the mean position of a bucket. */
double
PositionOf(size_t aBucket);

/** Returns how many responses lie beyond a position. */
double
CountBeyond(const LatencyCounts::Buckets& aBuckets, double aPosition);

/** Returns the number of responses in all buckets. */
int64_t
CountOf(const LatencyCounts::Buckets& aBuckets);

} // namespace mimosarun
