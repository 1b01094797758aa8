#pragma once

#include "common/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace mimosarun {

/**
 * Bounds the repeated sends to each service to a share of its requests within a sliding window, and a few
 * more, so that a failure seen by many calls at once doesn't multiply the load. The bound holds for all nodes
 * together: each keeps to its own requests and to its part of the few. Thread-safe.
 */
class RetryBudget
{
public:
  struct Options
  {
    /** Repeated sends for each request. */
    double retriesPerRequest = 0.1;
    /** Repeated sends beyond that, of all nodes together. */
    double baseRetries = 20;
    std::chrono::milliseconds window{ 10000 };
  };

  explicit RetryBudget(Options aOptions);

  /** Sets how many nodes share the extra sends. */
  void SetNodeCount(size_t aNodes);

  /** Notes a request for a service. */
  void RecordRequest(const std::string& aService, Deadline aNow);

  /** Takes one repeated send; false if there is none left in the window. */
  bool TrySpend(const std::string& aService, Deadline aNow);

  /** Gives back one that never reached a target. */
  void Refund(const std::string& aService, Deadline aNow);

private:
  static constexpr size_t kBuckets = 20;
  /** One part more is kept, since the window begins within a part. */
  static constexpr size_t kKeptBuckets = kBuckets + 1;

  /** What happened in one part of the window. */
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
