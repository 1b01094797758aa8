#pragma once

#include "common/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace mimosarun {

/**
 * Limits the retries to each service to a share of its requests within a sliding window plus a base number,
 * so that a failure seen by many calls at once doesn't multiply the load. Each node counts its own requests
 * and gets its part of the base number, so the limit holds for all nodes together. Thread-safe.
 */
class RetryBudget
{
public:
  struct Options
  {
    double retriesPerRequest = 0.1;
    /** Additional retries in a window, of all nodes together. */
    double baseRetries = 20;
    std::chrono::milliseconds window{ 10000 };
  };

  explicit RetryBudget(Options aOptions);

  /** Sets the number of nodes that share the base retries. */
  void SetNodeCount(size_t aCount);

  /** Records a request for a service. */
  void RecordRequest(const std::string& aService, Deadline aNow);

  /** Uses one retry; returns false if none is left in the window. */
  bool TrySpend(const std::string& aService, Deadline aNow);

  /** Returns a retry that never reached a target to the budget. */
  void Refund(const std::string& aService, Deadline aNow);

private:
  static constexpr size_t kBuckets = 20;
  /** One more than the window has, since the window begins within a bucket. */
  static constexpr size_t kKeptBuckets = kBuckets + 1;

  /** Counts of one part of the window. */
  struct Bucket
  {
    int64_t number = -1;
    int64_t requests = 0;
    int64_t retries = 0;
  };

  using Window = std::array<Bucket, kKeptBuckets>;

  int64_t BucketNumberAt(Deadline aNow) const;
  Bucket& BucketAt(const std::string& aService, Deadline aNow);

  const Options m_options;
  std::mutex m_mutex;
  size_t m_nodeCount = 1;
  std::map<std::string, Window> m_windows;
};

} // namespace mimosarun
