#pragma once

#include "common/clock.h"
#include "rollout/latencybuckets.h"
#include "wire/gen-cpp/mesh_types.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace mimosarun {

/** How a call that was sent to a target ended there. */
enum class TargetCallEnd
{
  Succeeded,
  /** Status 5xx, an unusable response or a broken connection. */
  Failed,
  /** No response before the call's deadline. */
  TimedOut,
  /** The caller or its entry gave up. */
  Abandoned,
};

/** A call that ended at a target. */
struct TargetCallResult
{
  std::string service;
  std::string version;
  std::string route;
  TargetCallEnd end = TargetCallEnd::Succeeded;
  /** Time that the call was at the target. */
  std::chrono::microseconds time{ 0 };
  /** Time from the call's arrival at the gate to its deadline. */
  std::chrono::microseconds timeLimit{ 0 };
  /** Median time of the route's calls at the target. */
  std::chrono::microseconds usualTime{ 0 };
};

/**
 * Counts the responses of this node's target for each version and route while they are needed. The counts
 * only grow, so that lost and repeated reports of them do no harm. Thread-safe.
 */
class OutcomeCounter
{
public:
  /** Sets until when results are counted. */
  void CountUntil(Deadline aTime) { m_countUntil = aTime; }

  bool IsCounting(Deadline aNow) const { return aNow < m_countUntil.load(); }

  /** Counts a result, unless it shows nothing about the target. */
  void Record(const TargetCallResult& aResult, Deadline aNow);

  /** Returns a number that grows with every counted result. */
  uint64_t Total() const;

  std::vector<wire::VersionOutcomes> All() const;

private:
  struct Counts
  {
    int64_t responses = 0;
    int64_t failures = 0;
    std::array<int32_t, LatencyBuckets::kCount> latencies{};
  };

  /** Service, version and route. */
  using Key = std::tuple<std::string, std::string, std::string>;

  std::atomic<Deadline> m_countUntil{};
  mutable std::mutex m_mutex;
  uint64_t m_total = 0;
  std::map<Key, Counts> m_counts;
};

} // namespace mimosarun
