#pragma once

#include <chrono>
#include <cstddef>

namespace mimosarun {

/** Logarithmic buckets of response times, the same on all nodes so that their counts can be added. */
class LatencyBuckets
{
public:
  static constexpr size_t kCount = 24;

  /** Returns the bucket of a response time; the last one has no upper limit. */
  static size_t BucketOf(std::chrono::microseconds aTime);

  /** Returns the longest time of a bucket. */
  static std::chrono::microseconds UpperLimit(size_t aBucket);
};

} // namespace mimosarun
