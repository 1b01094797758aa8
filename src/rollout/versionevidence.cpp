#include "rollout/versionevidence.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace mimosarun {

/** Share of failed responses that is accepted although the old version has fewer. */
static constexpr double kLeastFailureRate = 0.005;
static constexpr std::chrono::milliseconds kRateSpan{ 2500 };
static constexpr std::chrono::milliseconds kShortestRateSpan{ 450 };
/** A rate from few responses is uncertain, and too low a one would expose too many requests. */
static constexpr double kRateDeviations = 2;
/** If no response arrived, more than this number of expected ones is unlikely (5%). */
static constexpr double kUnseenResponses = 3;
/** The first reports only say from where to count, and the last ones are a little old. */
static constexpr std::chrono::milliseconds kReportDelay{ 250 };
static constexpr double kCallTimeQuantile = 0.995;

VersionEvidence::VersionEvidence(Options aOptions)
  : m_options(std::move(aOptions))
  , m_failures(kLeastFailureRate)
{
}

VersionEvidence::Counts
VersionEvidence::CountsOf(const wire::VersionOutcomes& aOutcomes)
{
  Counts counts{ .responses = aOutcomes.responses, .failures = aOutcomes.failures };
  const size_t buckets = std::min(aOutcomes.latencyCounts.size(), counts.buckets.size());
  std::copy_n(aOutcomes.latencyCounts.begin(), buckets, counts.buckets.begin());
  return counts;
}

VersionEvidence::Counts
VersionEvidence::IncreaseOf(Counts& aFormer, const Counts& aCurrent)
{
  Counts increase{ .responses = std::max<int64_t>(0, aCurrent.responses - aFormer.responses),
                   .failures = std::max<int64_t>(0, aCurrent.failures - aFormer.failures) };
  for (size_t bucket = 0; bucket < increase.buckets.size(); ++bucket) {
    increase.buckets[bucket] = std::max<int64_t>(0, aCurrent.buckets[bucket] - aFormer.buckets[bucket]);
  }
  aFormer = aCurrent;
  return increase;
}

bool
VersionEvidence::IsBaseline(const wire::NodeOutcomes& aReport,
                            const wire::VersionOutcomes& aOutcomes,
                            bool aMayCall)
{
  const auto target = m_counts.find({ aReport.node, aReport.incarnation });
  const bool isKnown = target != m_counts.end() && target->second.contains(aOutcomes.version);
  const bool isCandidate = aOutcomes.version == m_options.candidate;
  return !isKnown && m_options.isFollowedFromOrder && !(isCandidate && aMayCall);
}

void
VersionEvidence::ObserveTarget(const wire::NodeOutcomes& aReport,
                               bool aMayCall,
                               Deadline aNow,
                               std::map<std::string, Increase>& aIncreases)
{
  const Target target{ aReport.node, aReport.incarnation };
  const bool isFirst = !m_counts.contains(target);
  if (aReport.version == m_options.candidate) {
    m_latency.SeeCandidate(target, aNow);
  }
  std::set<std::string> baselines;
  for (const wire::VersionOutcomes& outcomes : aReport.outcomes) {
    if (IsBaseline(aReport, outcomes, aMayCall)) {
      baselines.insert(outcomes.version);
    }
  }
  for (const wire::VersionOutcomes& outcomes : aReport.outcomes) {
    const Counts increase =
      IncreaseOf(m_counts[target][outcomes.version][outcomes.route], CountsOf(outcomes));
    if (baselines.contains(outcomes.version) || increase.responses == 0) {
      continue;
    }
    const RateSample sample{ .responses = static_cast<double>(increase.responses),
                             .events = static_cast<double>(increase.failures) };
    const bool isCandidate = outcomes.version == m_options.candidate;
    Increase& ofRoute = aIncreases[outcomes.route];
    RateSample& sum = isCandidate ? ofRoute.candidate : ofRoute.old;
    sum.responses += sample.responses;
    sum.events += sample.events;
    if (isCandidate && isFirst && !m_options.isFollowedFromOrder) {
      // Former responses of a target may be from the time when it was cold.
      m_candidateLatency += increase.buckets;
    } else if (isCandidate) {
      m_latency.AddCandidate({ .target = target, .route = outcomes.route, .buckets = increase.buckets },
                             aNow);
      m_candidateLatency += increase.buckets;
    } else {
      m_latency.AddOld({ .target = target, .route = outcomes.route, .buckets = increase.buckets }, aNow);
      m_oldLatency += increase.buckets;
      m_oldRespondedAt = aNow;
    }
  }
}

void
VersionEvidence::Observe(const std::vector<wire::NodeOutcomes>& aReports, bool aMayCall, Deadline aNow)
{
  std::map<std::string, Increase> increases;
  for (const wire::NodeOutcomes& report : aReports) {
    ObserveTarget(report, aMayCall, aNow, increases);
  }
  Increase total;
  for (const auto& [route, increase] : increases) {
    m_routeFailures.try_emplace(route, kLeastFailureRate)
      .first->second.Add(increase.candidate, increase.old, aNow);
    total.candidate.responses += increase.candidate.responses;
    total.candidate.events += increase.candidate.events;
    total.old.responses += increase.old.responses;
    total.old.events += increase.old.events;
  }
  m_failures.Add(total.candidate, total.old, aNow);
  m_candidate.responses += total.candidate.responses;
  m_candidate.events += total.candidate.events;
  m_old.responses += total.old.responses;
  m_old.events += total.old.events;
  MarkRate(aNow);
}

void
VersionEvidence::MarkRate(Deadline aNow)
{
  const auto responses = static_cast<int64_t>(m_candidate.responses + m_old.responses);
  // Responses before the first report are unknown, so the rate is measured from then on.
  if (m_rateMarks.empty() && m_counts.empty()) {
    return;
  }
  m_rateMarks.push_back({ .at = aNow, .responses = responses });
  while (m_rateMarks.size() > 2 && m_rateMarks[1].at + kRateSpan <= aNow) {
    m_rateMarks.pop_front();
  }
}

std::optional<double>
VersionEvidence::ResponsesPerSecond() const
{
  if (m_rateMarks.empty() || m_rateMarks.back().at < m_rateMarks.front().at + kShortestRateSpan) {
    return std::nullopt;
  }
  const std::chrono::duration<double> span = m_rateMarks.back().at - m_rateMarks.front().at - kReportDelay;
  const auto responses = static_cast<double>(m_rateMarks.back().responses - m_rateMarks.front().responses);
  return (responses + kRateDeviations * std::sqrt(responses) + kUnseenResponses) / span.count();
}

static std::string
FailureText(const RateExcess& aExcess)
{
  std::ostringstream text;
  text.precision(3);
  text << aExcess.events << " of " << aExcess.responses
       << " responses failed; expected by the old version's share: " << aExcess.expected;
  return text.str();
}

std::optional<std::string>
VersionEvidence::FindFault(Deadline aNow)
{
  if (const auto excess = m_failures.Find(aNow)) {
    return "all routes: " + FailureText(*excess);
  }
  for (auto& [route, failures] : m_routeFailures) {
    if (const auto excess = failures.Find(aNow)) {
      return "route " + route + ": " + FailureText(*excess);
    }
  }
  return m_latency.FindSlowness(aNow);
}

std::optional<std::string>
VersionEvidence::Fault(Deadline aNow)
{
  if (!m_fault) {
    m_fault = FindFault(aNow);
  }
  return m_fault;
}

VersionTotals
VersionEvidence::TotalsOf(const RateSample& aSample, const LatencyCounts& aLatency) const
{
  return { .responses = static_cast<int64_t>(aSample.responses),
           .failures = static_cast<int64_t>(aSample.events),
           .median = aLatency.QuantileTime(0.5),
           .p95 = aLatency.QuantileTime(0.95) };
}

VersionTotals
VersionEvidence::Candidate() const
{
  return TotalsOf(m_candidate, m_candidateLatency);
}

VersionTotals
VersionEvidence::Old() const
{
  return TotalsOf(m_old, m_oldLatency);
}

std::chrono::milliseconds
VersionEvidence::OldCallTime() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(m_oldLatency.QuantileTime(kCallTimeQuantile));
}

} // namespace mimosarun
