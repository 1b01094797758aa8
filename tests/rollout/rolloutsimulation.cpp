#include "rollout/rolloutsimulation.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace mimosarun {

using std::chrono::milliseconds;

static const Deadline kOrderedAt{ std::chrono::hours(1) };
static constexpr milliseconds kStep{ 10 };
static constexpr milliseconds kLeadInterval{ 100 };
static constexpr milliseconds kPullInterval{ 250 };
static constexpr milliseconds kReportInterval{ 250 };
static constexpr milliseconds kCommitTime{ 40 };
static constexpr milliseconds kElectionTime{ 1500 };
/** Time over which the load of a target is averaged. */
static constexpr std::chrono::duration<double> kLoadMemory{ 0.3 };
static constexpr milliseconds kColdTime{ 3000 };
static constexpr size_t kReplicas = 4;
static constexpr int64_t kBadResponses = 50;
static constexpr int kRoutes = 5;
static constexpr const char* kCandidate = "v2";
static constexpr const char* kOld = "v1";
/** Median times of the routes. */
static constexpr std::array<double, kRoutes> kRouteMillis{ 8, 12, 20, 30, 60 };
static constexpr double kJitter = 0.3;
static constexpr double kSlowest = 0.5;
static constexpr double kFastest = 1.6;
static constexpr int kWhole = 1000;
static constexpr double kConcentration = 0.8;

static double
Uniform(std::mt19937_64& aRandom, double aLow, double aHigh)
{
  return std::uniform_real_distribution<double>(aLow, aHigh)(aRandom);
}

RolloutSimulation::RolloutSimulation(Options aOptions)
  : m_options(aOptions)
  , m_policy(RolloutLimits{})
  , m_random(aOptions.seed)
{
  for (size_t replica = 0; replica < kReplicas; ++replica) {
    m_tables.push_back(std::make_unique<OutcomeTable>());
  }
  for (int number = 0; number < 2 * m_options.targets; ++number) {
    Target target;
    target.node = "n" + std::to_string(number);
    target.isCandidate = number >= m_options.targets;
    target.speed = Uniform(m_random, kSlowest, kFastest);
    target.replica = m_random() % kReplicas;
    target.startsAt = kOrderedAt + (target.isCandidate ? milliseconds(m_random() % 300) : milliseconds(0));
    target.reportsAt = target.startsAt + milliseconds(50 + m_random() % 250);
    m_targets.push_back(std::move(target));
  }
  m_evidence = std::make_unique<VersionEvidence>(VersionEvidence::Options{ .candidate = kCandidate });
  m_changedAt = kOrderedAt;
  m_appliedAt = kOrderedAt;
  m_nextPullAt = kOrderedAt;
  m_nextLeadAt = kOrderedAt;
}

bool
RolloutSimulation::Chance(double aShare)
{
  return Uniform(m_random, 0, 1) < aShare;
}

double
RolloutSimulation::RateAt(Deadline aNow) const
{
  const double seconds = std::chrono::duration<double>(aNow - kOrderedAt).count();
  return m_options.requestsPerSecond * (1 + 0.3 * std::sin(seconds * 1.3));
}

size_t
RolloutSimulation::ChooseTarget(bool aCandidate)
{
  const auto count = static_cast<size_t>(m_options.targets);
  if (!aCandidate) {
    return static_cast<size_t>(m_nextOld++) % count;
  }
  const auto canaries = static_cast<size_t>(m_applied.canaryTargets);
  const bool atCanary = canaries > 0 && Chance(kConcentration);
  const size_t among = atCanary ? std::min(canaries, count) : count;
  return count + static_cast<size_t>(m_nextCandidate++) % among;
}

bool
RolloutSimulation::IsBad(const Target& aTarget, int aRoute, Deadline aNow)
{
  switch (m_options.badness) {
    case Badness::None:
      return false;
    case Badness::AtOnce:
    case Badness::PartlySlow:
      return Chance(m_options.badShare);
    case Badness::AfterHalf:
      return aNow >= kOrderedAt + m_options.duration / 2 && Chance(m_options.badShare);
    case Badness::UnderLoad: {
      const double usual = RateAt(aNow) / m_options.targets;
      return aTarget.load >= 0.7 * usual && Chance(m_options.badShare);
    }
    case Badness::OneRoute:
      return aRoute == 2 && Chance(m_options.badShare);
    case Badness::Slow:
      return true;
  }
  return false;
}

void
RolloutSimulation::SendRequest(Deadline aNow)
{
  ++m_outcome.requests;
  m_credits += m_applied.candidatePermille;
  const bool toCandidate = m_credits >= kWhole;
  m_credits -= toCandidate ? kWhole : 0;
  m_outcome.candidateRequests += toCandidate ? 1 : 0;
  const size_t number = ChooseTarget(toCandidate);
  Target& target = m_targets[number];
  ++target.requests;
  target.load += 1 / kLoadMemory.count();
  ++target.openCalls;
  const int route = static_cast<int>(m_random() % kRoutes);
  const bool bad = toCandidate && IsBad(target, route, aNow);
  const bool slow = m_options.badness == Badness::Slow || m_options.badness == Badness::PartlySlow;
  const bool inPeak =
    aNow >= kOrderedAt + m_options.duration / 2 && aNow < kOrderedAt + m_options.duration * 3 / 4;
  const double common = inPeak ? m_options.commonFaultPeak : m_options.commonFailures;
  double millis =
    kRouteMillis.at(route) / target.speed * std::exp(kJitter * std::normal_distribution<double>()(m_random));
  millis *= toCandidate && aNow < target.startsAt + kColdTime ? 2 : 1;
  millis *= bad && m_options.badness == Badness::Slow ? 4 : 1;
  millis *= bad && m_options.badness == Badness::PartlySlow ? 6 : 1;
  const std::chrono::microseconds time(static_cast<int64_t>(1000 * millis));
  m_responses.push({ .at = aNow + time,
                     .target = number,
                     .route = route,
                     .failed = (bad && !slow) || Chance(common),
                     .bad = bad,
                     .time = time });
}

void
RolloutSimulation::SendRequests(Deadline aNow, milliseconds aStep)
{
  m_arrivals += RateAt(aNow) * std::chrono::duration<double>(aStep).count();
  for (; m_arrivals >= 1; m_arrivals -= 1) {
    SendRequest(aNow);
  }
  const double kept = std::exp(-std::chrono::duration<double>(aStep) / kLoadMemory);
  for (Target& target : m_targets) {
    target.load *= kept;
  }
}

void
RolloutSimulation::EndResponses(Deadline aNow)
{
  while (!m_responses.empty() && m_responses.top().at <= aNow) {
    const Response response = m_responses.top();
    m_responses.pop();
    Target& target = m_targets[response.target];
    --target.openCalls;
    const std::string route = "r" + std::to_string(response.route);
    wire::VersionOutcomes& outcomes = target.outcomes[route];
    outcomes.route = route;
    outcomes.version = target.isCandidate ? kCandidate : kOld;
    outcomes.latencyCounts.resize(LatencyBuckets::kCount);
    ++outcomes.responses;
    outcomes.failures += response.failed ? 1 : 0;
    ++outcomes.latencyCounts[LatencyBuckets::BucketOf(response.time)];
    target.badResponses += response.bad ? 1 : 0;
  }
}

void
RolloutSimulation::Report(Deadline aNow)
{
  for (Target& target : m_targets) {
    if (aNow < target.reportsAt) {
      continue;
    }
    target.reportsAt = aNow + kReportInterval;
    wire::NodeOutcomes report;
    report.node = target.node;
    report.incarnation = 1;
    report.sequence = target.sequence++;
    target.badReported.push_back(target.badResponses);
    report.serviceName = "service";
    report.version = target.isCandidate ? kCandidate : kOld;
    report.openCalls = target.openCalls;
    report.appliedRevision = aNow >= m_appliedAt ? m_revision : m_revision - 1;
    for (const auto& [route, outcomes] : target.outcomes) {
      report.outcomes.push_back(outcomes);
    }
    m_tables[target.replica]->Add(report, aNow);
  }
}

void
RolloutSimulation::Pull(Deadline aNow)
{
  if (aNow < m_nextPullAt) {
    return;
  }
  m_nextPullAt = aNow + (m_record.stage >= RolloutStage::Load ? kLeadInterval : kPullInterval);
  for (const auto& table : m_tables) {
    if (table != m_tables[m_leader]) {
      for (const wire::NodeOutcomes& report : table->All(aNow)) {
        m_tables[m_leader]->Add(report, aNow);
      }
    }
  }
}

void
RolloutSimulation::Commit(const RolloutDecision& aDecision, Deadline aNow)
{
  m_record = aDecision;
  ++m_revision;
  m_changedAt = aNow + kCommitTime;
  m_appliedAt = m_changedAt + milliseconds(20 + m_random() % 60);
  if (aDecision.state == wire::RolloutState::Running) {
    return;
  }
  m_isOver = true;
  m_outcome.state = aDecision.state;
  m_outcome.reason = aDecision.reason;
  m_outcome.endedAt = std::chrono::duration_cast<milliseconds>(m_changedAt - kOrderedAt);
}

void
RolloutSimulation::CountBad(const std::vector<wire::NodeOutcomes>& aReports, Deadline aNow)
{
  int64_t bad = 0;
  for (const wire::NodeOutcomes& report : aReports) {
    const auto target = std::find_if(
      m_targets.begin(), m_targets.end(), [&](const Target& aTarget) { return aTarget.node == report.node; });
    bad += target->badReported.at(report.sequence);
  }
  if (bad >= kBadResponses && !m_outcome.badAt) {
    m_outcome.badAt = std::chrono::duration_cast<milliseconds>(aNow - kOrderedAt);
  }
}

void
RolloutSimulation::Lead(Deadline aNow)
{
  if (aNow < m_nextLeadAt) {
    return;
  }
  m_nextLeadAt = aNow + kLeadInterval;
  const auto reports = m_tables[m_leader]->OfService("service", aNow);
  CountBad(reports, aNow);
  m_evidence->Observe(reports, m_record.candidatePermille > 0, aNow);
  RolloutProgress progress;
  progress.duration = m_options.duration;
  progress.elapsed = std::chrono::duration_cast<milliseconds>(aNow - kOrderedAt);
  progress.stage = m_record.stage;
  progress.candidatePermille = m_record.candidatePermille;
  progress.canaryTargets = m_record.canaryTargets;
  progress.sinceChange = std::chrono::duration_cast<milliseconds>(aNow - m_changedAt);
  progress.fleet = StatusOf(reports, { .candidate = kCandidate, .revision = m_revision });
  progress.responses = m_evidence->Candidate().responses + m_evidence->Old().responses;
  progress.candidateResponses = m_evidence->Candidate().responses;
  progress.responsesPerSecond = m_evidence->ResponsesPerSecond();
  progress.oldCallTime = m_evidence->OldCallTime();
  progress.sinceOldResponse = std::chrono::duration_cast<milliseconds>(aNow - m_evidence->OldRespondedAt());
  progress.fault = m_evidence->Fault(aNow);
  const RolloutDecision decision = m_policy.Decide(progress);
  if (decision.state != m_record.state || decision.stage != m_record.stage ||
      decision.candidatePermille != m_record.candidatePermille) {
    Commit(decision, aNow);
  }
}

RolloutSimulation::Outcome
RolloutSimulation::Run()
{
  const Deadline deadline = kOrderedAt + m_options.duration;
  bool isLeaderLost = false;
  for (Deadline now = kOrderedAt; !m_isOver || now < m_appliedAt; now += kStep) {
    if (now >= m_appliedAt) {
      m_applied = m_record;
    }
    SendRequests(now, kStep);
    EndResponses(now);
    Report(now);
    if (m_options.leaderLostAt && !isLeaderLost && now >= kOrderedAt + *m_options.leaderLostAt) {
      isLeaderLost = true;
      m_tables[m_leader] = std::make_unique<OutcomeTable>();
      const size_t lost = std::exchange(m_leader, 1);
      for (Target& target : m_targets) {
        target.replica = target.replica == lost ? m_leader : target.replica;
      }
      m_evidence = std::make_unique<VersionEvidence>(
        VersionEvidence::Options{ .candidate = kCandidate, .isFollowedFromOrder = false });
      m_leaderReturnsAt = now + kElectionTime;
      m_nextPullAt = m_leaderReturnsAt;
    }
    if (now >= m_leaderReturnsAt && !m_isOver) {
      Pull(now);
      Lead(now);
    }
    if (now > deadline + std::chrono::minutes(1)) {
      break;
    }
  }
  m_outcome.fewestOfTarget = m_targets.back().requests;
  for (const Target& target : m_targets) {
    m_outcome.cutCalls += !target.isCandidate ? target.openCalls : 0;
    m_outcome.fewestOfTarget =
      target.isCandidate ? std::min(m_outcome.fewestOfTarget, target.requests) : m_outcome.fewestOfTarget;
  }
  // A rolled back version gets no more requests; a completed one gets all until the deadline.
  const milliseconds left = std::max(milliseconds(0), m_options.duration - m_outcome.endedAt);
  double expected = 0;
  for (Deadline now = deadline - left; now < deadline; now += kStep) {
    expected += RateAt(now) * std::chrono::duration<double>(kStep).count();
  }
  const auto rest = static_cast<int64_t>(expected);
  m_outcome.requests += rest;
  m_outcome.candidateRequests += m_outcome.state == wire::RolloutState::Completed ? rest : 0;
  return m_outcome;
}

std::string
ToText(const RolloutSimulation::Outcome& aOutcome)
{
  std::ostringstream text;
  const char* state = aOutcome.state == wire::RolloutState::Completed    ? "completed"
                      : aOutcome.state == wire::RolloutState::RolledBack ? "rolled back"
                                                                         : "running";
  text << state << " after " << aOutcome.endedAt.count() << " ms, " << aOutcome.candidateRequests << " of "
       << aOutcome.requests << " requests at the new version, " << aOutcome.cutCalls
       << " calls cut, 50th bad at " << (aOutcome.badAt ? std::to_string(aOutcome.badAt->count()) : "-")
       << " ms: " << aOutcome.reason;
  return text.str();
}

} // namespace mimosarun
