#include "rollout/outcomecounter.h"

#include <algorithm>
#include <optional>

namespace mimosarun {

/** Bounds the size of a report; a target has one service and few routes. */
static constexpr size_t kMaximumKeys = 64;
/** A call that was at the target for less than this part of its time may have waited too long elsewhere. */
static constexpr int kTimeoutPart = 2;
/** Callers' timeouts end a little before the deadline that the gate knows. */
static constexpr std::chrono::milliseconds kCallerLead{ 100 };

/** Returns whether a call shows a failure of the target, or nothing if it shows nothing about the target. */
static std::optional<bool>
ShowsFailure(const TargetCallResult& aResult)
{
  const bool usedMostTime = aResult.time >= aResult.timeLimit / kTimeoutPart;
  switch (aResult.end) {
    case TargetCallEnd::Succeeded:
      return false;
    case TargetCallEnd::Failed:
      return true;
    case TargetCallEnd::TimedOut:
      return usedMostTime ? std::optional(true) : std::nullopt;
    case TargetCallEnd::Abandoned:
      break;
  }
  if (usedMostTime && aResult.time + kCallerLead >= aResult.timeLimit) {
    return true;
  }
  // Slow calls are abandoned more often, so leaving them all out would hide that a version is slow.
  return aResult.time >= aResult.usualTime && aResult.usualTime.count() > 0 ? std::optional(false)
                                                                            : std::nullopt;
}

void
OutcomeCounter::Record(const TargetCallResult& aResult, Deadline aNow)
{
  const std::optional<bool> isFailure = ShowsFailure(aResult);
  if (!isFailure || !IsCounting(aNow)) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  const Key key{ aResult.service, aResult.version, aResult.route };
  if (m_counts.size() >= kMaximumKeys && !m_counts.contains(key)) {
    return;
  }
  Counts& counts = m_counts[key];
  ++counts.responses;
  counts.failures += *isFailure ? 1 : 0;
  ++counts.latencies[LatencyBuckets::BucketOf(aResult.time)];
  ++m_total;
}

uint64_t
OutcomeCounter::Total() const
{
  const std::lock_guard lock(m_mutex);
  return m_total;
}

std::vector<wire::VersionOutcomes>
OutcomeCounter::All() const
{
  const std::lock_guard lock(m_mutex);
  std::vector<wire::VersionOutcomes> all;
  all.reserve(m_counts.size());
  for (const auto& [key, counts] : m_counts) {
    wire::VersionOutcomes outcomes;
    std::tie(outcomes.serviceName, outcomes.version, outcomes.route) = key;
    outcomes.responses = counts.responses;
    outcomes.failures = counts.failures;
    outcomes.latencyCounts.assign(counts.latencies.begin(), counts.latencies.end());
    all.push_back(std::move(outcomes));
  }
  return all;
}

} // namespace mimosarun
