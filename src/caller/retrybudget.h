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
    double share = 0.1;
    /** Repeated sends beyond that, of all nodes together. */
    double extra = 20;
    std::chrono::milliseconds window{ 10000 };
  };

  explicit RetryBudget(Options aOptions);

  /** Sets how many nodes share the extra sends. */
  void SetNodes(size_t aNodes);

  /** Notes a request for a service. */
  void Earn(const std::string& aService, Deadline aNow);

  /** Takes one repeated send; false if there is none left in the window. */
  bool TrySpend(const std::string& aService, Deadline aNow);

  /** Gives back one that never reached a target. */
  void GiveBack(const std::string& aService, Deadline aNow);

private:
  static constexpr size_t kParts = 20;
  /** One part more is kept, since the window begins within a part. */
  static constexpr size_t kKeptParts = kParts + 1;

  /** What happened in one part of the window. */
  struct Part
  {
    int64_t number = -1;
    int64_t requests = 0;
    int64_t repeats = 0;
  };

  using Window = std::array<Part, kKeptParts>;

  int64_t NumberAt(Deadline aNow) const;
  Part& PartAt(const std::string& aService, Deadline aNow);

  const Options m_options;
  std::mutex m_mutex;
  size_t m_nodes = 1;
  std::map<std::string, Window> m_services;
};

} // namespace mimosarun
