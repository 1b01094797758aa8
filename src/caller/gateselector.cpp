#include "caller/gateselector.h"

#include "caller/entry.h"
#include "caller/gaterequest.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

GateSelector::GateSelector(Entry& aEntry, const CallOptions& aOptions, std::string aService)
  : m_entry(aEntry)
  , m_options(aOptions)
  , m_service(std::move(aService))
{
}

std::variant<GateChoice, StopReason>
GateSelector::Next(const Request& aRequest)
{
  const std::set<std::string> excluded = m_triedGates.excluded;
  m_triedGates.excluded.insert(aRequest.avoidedGates.begin(), aRequest.avoidedGates.end());
  m_triedGates.excluded.merge(
    m_entry.ExcludedNodes(*m_options.route, m_options.team, aRequest.request, SteadyClock::now()));
  std::variant<GateChoice, StopReason> next = ChooseWithin(aRequest);
  m_triedGates.excluded = excluded;
  return next;
}

StopReason
GateSelector::FindObstacle(const HttpRequest& aRequest, Deadline aNow) const
{
  if (aNow >= m_options.deadline) {
    return StopReason::NoTime;
  }
  if (m_entry.QuarantinedUntil(*m_options.route, m_options.team, aRequest, aNow)) {
    return StopReason::Quarantined;
  }
  if (!HasValidCredential()) {
    return StopReason::CredentialExpired;
  }
  return MaySendAgain() ? StopReason::None : StopReason::GateAttemptLimit;
}

std::variant<GateChoice, StopReason>
GateSelector::ChooseWithin(const Request& aRequest)
{
  const Deadline now = SteadyClock::now();
  if (const StopReason obstacle = FindObstacle(aRequest.request, now); obstacle != StopReason::None) {
    return obstacle;
  }
  std::optional<GateChoice> choice = Choose(now);
  if (!choice) {
    return m_triedGates.rejectionWaits.empty() ? StopReason::NoGate : StopReason::WaitTooLong;
  }
  if (choice->expectsRejection && m_triedGates.rejectionWaits.size() >= kRejectionsToGiveUp) {
    return StopReason::WaitTooLong;
  }
  const std::chrono::microseconds longestWait = LongestAllowedWait(now);
  const bool wasRejected = m_triedGates.rejectionWaits.contains(choice->gate.node);
  if (const StopReason reason = ReserveAttempt(aRequest.openAttempts); reason != StopReason::None) {
    return reason;
  }
  choice->isLastResort = wasRejected;
  choice->longestWait = wasRejected ? longestWait : std::min(choice->longestWait, longestWait);
  m_entry.m_choiceMetrics.RecordChoice(*choice);
  return *choice;
}

std::optional<GateChoice>
GateSelector::Choose(Deadline aNow)
{
  const GateDirectoryPointer directory = m_entry.CurrentDirectory();
  const std::vector<GateInfo>& gates =
    m_gates.ForAttempt(*directory, m_service, m_entry.m_versionSplitter, aNow);
  const CallRequirements requirements = m_entry.RequirementsOf(*m_options.route, Times(), aNow);
  if (m_gateAttempts == kMaxGateAttempts - 1) {
    if (auto choice = ChooseRejecting(gates, requirements, aNow)) {
      return choice;
    }
  }
  const std::vector<GateInfo>& allowedGates = CallGates::AllowedGates(*directory, m_service);
  auto choice = m_entry.m_balancer.Choose(gates, m_triedGates, requirements, aNow);
  if (&gates == &allowedGates || allowedGates.empty()) {
    return choice;
  }
  if (!choice) {
    return m_entry.m_balancer.Choose(allowedGates, m_triedGates, requirements, aNow);
  }
  // The allowed gates take the calls for which a candidate's gate has no room soon. A candidate that fails
  // calls still gets its share, since control couldn't tell otherwise.
  choice->longestWait = std::min(choice->longestWait, m_entry.MedianCallTime(*m_options.route));
  choice->maxFailurePenalty = kUnlimitedPenalty;
  return choice;
}

std::optional<GateChoice>
GateSelector::ChooseRejecting(const std::vector<GateInfo>& aGates,
                              const CallRequirements& aRequirements,
                              Deadline aNow)
{
  std::vector<GateInfo> rejecting = aGates;
  std::erase_if(rejecting,
                [this](const GateInfo& aGate) { return !m_triedGates.rejectionWaits.contains(aGate.node); });
  return m_entry.m_balancer.Choose(rejecting, m_triedGates, aRequirements, aNow);
}

StopReason
GateSelector::ReserveAttempt(size_t aOpenAttempts)
{
  // An open attempt may still reach a target, so it counts too.
  const int64_t attempts = m_targetAttempts + static_cast<int64_t>(aOpenAttempts);
  if (attempts == 0) {
    return StopReason::None;
  }
  const Route& route = *m_options.route;
  const Deadline now = SteadyClock::now();
  if (attempts > route.retries) {
    return StopReason::RetryLimit;
  }
  if (now + m_entry.MedianCallTime(route) / 2 >= m_options.deadline) {
    return StopReason::NoTime;
  }
  return m_entry.m_retryBudget.TrySpend(m_service, now) ? StopReason::None : StopReason::RetryBudget;
}

bool
GateSelector::HasValidCredential() const
{
  return m_entry.m_credentials.MaySend(*m_options.snapshot, *m_options.route, SteadyClock::now());
}

CallTimes
GateSelector::Times() const
{
  return { .objective = m_options.objectiveDeadline,
           .deadline = m_options.deadline,
           .medianTime = m_entry.MedianCallTime(*m_options.route) };
}

std::chrono::microseconds
GateSelector::LongestAllowedWait(Deadline aNow) const
{
  return mimosarun::LongestAllowedWait(Times(), aNow);
}

std::chrono::microseconds
GateSelector::LongestReportedWait() const
{
  std::chrono::microseconds longestWait{ 0 };
  for (const auto& [node, reportedWait] : m_triedGates.rejectionWaits) {
    longestWait = std::max(longestWait, reportedWait);
  }
  return longestWait;
}

size_t
GateSelector::CountUntriedGates() const
{
  const GateDirectoryPointer directory = m_entry.CurrentDirectory();
  const std::vector<GateInfo>& gates = CallGates::AllowedGates(*directory, m_service);
  return static_cast<size_t>(std::count_if(gates.begin(), gates.end(), [this](const GateInfo& aGate) {
    return !m_triedGates.excluded.contains(aGate.node) && !m_triedGates.rejectionWaits.contains(aGate.node);
  }));
}

} // namespace mimosarun
