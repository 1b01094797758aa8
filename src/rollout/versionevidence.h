#pragma once

#include "common/clock.h"
#include "rollout/latencycomparison.h"
#include "rollout/ratecomparison.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

/** Responses of one version since its roll-out was followed. */
struct VersionTotals
{
  int64_t responses = 0;
  int64_t failures = 0;
  std::chrono::microseconds median{ 0 };
  std::chrono::microseconds p95{ 0 };
};

/**
 * Decides from the nodes' cumulative counts whether the candidate of a roll-out is worse than the old
 * version: more failures over the same time, in total or on one route, or longer times on one route. Not
 * thread-safe.
 */
class VersionEvidence
{
public:
  struct Options
  {
    std::string candidate;
    /**
     * Whether the counts are known since the order. If not, all counts are used, since those of the candidate
     * before a change of the leader must not be lost.
     */
    bool isFollowedFromOrder = true;
  };

  explicit VersionEvidence(Options aOptions);

  /**
   * Adds what the reports on the service's targets have that former ones had not.
   *
   * @param aMayCall whether nodes may already send calls to the candidate
   */
  void Observe(const std::vector<wire::NodeOutcomes>& aReports, bool aMayCall, Deadline aNow);

  /** Returns what shows that the candidate is bad; once found it stays. */
  std::optional<std::string> Fault(Deadline aNow);

  VersionTotals Candidate() const;
  VersionTotals Old() const;

  /**
   * Returns the highest likely rate of the service's responses in the last seconds; nothing in the first half
   * second.
   */
  std::optional<double> ResponsesPerSecond() const;

  /** Returns the time within which nearly all calls of the old version end. */
  std::chrono::milliseconds OldCallTime() const;

  /** Returns when the old version's count of responses grew last. */
  Deadline OldRespondedAt() const { return m_oldRespondedAt; }

private:
  using Target = LatencyComparison::Target;

  /** Counts of one version's responses to the calls of one route. */
  struct Counts
  {
    int64_t responses = 0;
    int64_t failures = 0;
    LatencyCounts::Buckets buckets{};
  };

  using CountsByRoute = std::map<std::string, Counts>;

  /** Responses of both versions to the calls of one route in one observation. */
  struct Increase
  {
    RateSample candidate;
    RateSample old;
  };

  /** The time of an observation and the service's responses until then. */
  struct RateMark
  {
    Deadline at;
    int64_t responses = 0;
  };

  static Counts CountsOf(const wire::VersionOutcomes& aOutcomes);
  static Counts IncreaseOf(Counts& aFormer, const Counts& aCurrent);
  void ObserveTarget(const wire::NodeOutcomes& aReport,
                     bool aMayCall,
                     Deadline aNow,
                     std::map<std::string, Increase>& aIncreases);
  bool IsBaseline(const wire::NodeOutcomes& aReport, const wire::VersionOutcomes& aOutcomes, bool aMayCall);
  void MarkRate(Deadline aNow);
  std::optional<std::string> FindFault(Deadline aNow);
  VersionTotals TotalsOf(const RateSample& aSample, const LatencyCounts& aLatency) const;

  const Options m_options;
  /** What has been counted at each target, by version. */
  std::map<Target, std::map<std::string, CountsByRoute>> m_counts;
  std::map<std::string, RateComparison> m_routeFailures;
  RateComparison m_failures;
  LatencyComparison m_latency;
  RateSample m_candidate;
  RateSample m_old;
  LatencyCounts m_candidateLatency;
  LatencyCounts m_oldLatency;
  Deadline m_oldRespondedAt{};
  std::deque<RateMark> m_rateMarks;
  std::optional<std::string> m_fault;
};

} // namespace mimosarun
