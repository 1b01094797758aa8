#include "caller/openattempts.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

const char*
NameOf(ForwardResult aResult)
{
  switch (aResult) {
    case ForwardResult::Complete:
      return "unknown";
    case ForwardResult::NotSent:
      return "not-sent";
    case ForwardResult::ReusedConnectionClosed:
    case ForwardResult::Broken:
      return "broken";
    case ForwardResult::TimedOut:
      return "timed-out";
    case ForwardResult::Cancelled:
      return "abandoned";
  }
  return "broken";
}

OpenAttempts::OpenAttempts(Balancer& aBalancer, const Route& aRoute)
  : m_balancer(aBalancer)
  , m_route(aRoute)
{
}

std::set<std::string>
OpenAttempts::Nodes() const
{
  std::set<std::string> nodes;
  for (const AttemptPointer& attempt : m_attempts) {
    nodes.insert(attempt->m_gate.node);
  }
  return nodes;
}

bool
OpenAttempts::HasLiveAttempt() const
{
  return std::any_of(m_attempts.begin(), m_attempts.end(), [](const AttemptPointer& aAttempt) {
    return !aAttempt->m_isSilent;
  });
}

bool
OpenAttempts::HasResponse() const
{
  return std::any_of(m_attempts.begin(), m_attempts.end(), [](const AttemptPointer& aAttempt) {
    return aAttempt->m_hopResponse.has_value();
  });
}

bool
OpenAttempts::HasRespondingGate() const
{
  return std::any_of(m_attempts.begin(), m_attempts.end(), [this](const AttemptPointer& aAttempt) {
    return aAttempt->m_hopResponse || m_balancer.HasAnsweredSince(aAttempt->m_gate.node, aAttempt->m_sentAt);
  });
}

AttemptRecord
OpenAttempts::RecordOf(const EntryAttempt& aAttempt, const std::string& aOutcomeName)
{
  const auto duration =
    std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - aAttempt.m_sentAt);
  return { .node = aAttempt.m_gate.node, .outcome = aOutcomeName, .duration = duration };
}

AttemptRecord
OpenAttempts::RecordSilence(EntryAttempt& aAttempt)
{
  ReportResult(aAttempt, AttemptOutcome::Failed);
  aAttempt.m_isSilent = true;
  return RecordOf(aAttempt, "silent");
}

AttemptRecord
OpenAttempts::Finish(const EntryAttempt& aAttempt, AttemptOutcome aOutcome, const std::string& aOutcomeName)
{
  std::erase_if(m_attempts,
                [&](const AttemptPointer& aOpenAttempt) { return aOpenAttempt.get() == &aAttempt; });
  ReportResult(aAttempt, aOutcome);
  return RecordOf(aAttempt, aOutcomeName);
}

AttemptRecord
OpenAttempts::FinishFailed(const EntryAttempt& aAttempt, ForwardResult aResult)
{
  return Finish(aAttempt, AttemptOutcome::Failed, NameOf(aResult));
}

void
OpenAttempts::CancelExcept(const EntryAttempt* aKept)
{
  for (const AttemptPointer& attempt : std::exchange(m_attempts, {})) {
    if (attempt.get() == aKept) {
      m_attempts.push_back(attempt);
      continue;
    }
    attempt->m_forwardHandle.Cancel();
    ReportResult(*attempt, AttemptOutcome::Abandoned);
  }
}

void
OpenAttempts::ReportResult(const EntryAttempt& aAttempt, AttemptOutcome aOutcome)
{
  const bool isAnswered = aOutcome == AttemptOutcome::Answered || aOutcome == AttemptOutcome::Rejected;
  if (aAttempt.m_isSilent && !isAnswered) {
    // Reported as failed when it became silent.
    return;
  }
  m_balancer.RecordResult({ .node = aAttempt.m_gate.node,
                            .costGroup = m_route.name,
                            .callClass = m_route.callClass,
                            .outcome = aOutcome,
                            .sentAt = aAttempt.m_sentAt },
                          SteadyClock::now());
}

} // namespace mimosarun
