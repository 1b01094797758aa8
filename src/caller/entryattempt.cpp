#include "caller/entryattempt.h"

#include "caller/entry.h"
#include "caller/entrycall.h"

namespace mimosarun {

/** Answers up to this size are passed on whole, so that a broken one may be replaced by another attempt. */
static constexpr size_t kCollectLimitBytes = 64UL * 1024;

EntryAttempt::EntryAttempt(std::shared_ptr<EntryCall> aCall, GateInfo aGate)
  : m_call(std::move(aCall))
  , m_gate(std::move(aGate))
  , m_sentAt(SteadyClock::now())
{
}

HeadVerdict
EntryAttempt::OnHead(const HttpHead& aHead)
{
  m_head = aHead;
  m_hop = TakeHopAnswer(m_head.headers);
  if (!m_hop) {
    // Only gates answer here, so this can't be the answer of one.
    m_hop = HopAnswer{ .outcome = HopOutcome::Unknown };
    return HeadVerdict::Accept;
  }
  m_call->m_entry.m_balancer.NoteLoad(m_gate.node,
                                      { .inUse = m_hop->slotsInUse,
                                        .slots = m_hop->slots,
                                        .waiting = m_hop->waiting,
                                        .wait = m_hop->wait,
                                        .doubt = m_hop->doubt });
  if (m_hop->outcome == HopOutcome::Answered && m_head.length.value_or(0) > kCollectLimitBytes) {
    m_call->BeginStreaming(*this);
  }
  return HeadVerdict::Accept;
}

bool
EntryAttempt::OnBody(std::string_view aBytes)
{
  m_bodyBytes += aBytes.size();
  if (m_call->m_winner == this) {
    return m_call->m_exchange->Write(aBytes);
  }
  m_body.append(aBytes);
  if (m_hop->outcome == HopOutcome::Answered && m_body.size() > kCollectLimitBytes) {
    m_call->BeginStreaming(*this);
  }
  return true;
}

void
EntryAttempt::OnEnd(ForwardEnd aEnd)
{
  const std::shared_ptr<EntryCall> call = m_call;
  if (aEnd != ForwardEnd::Complete || !m_hop) {
    call->OnLost(*this, aEnd);
    return;
  }
  switch (m_hop->outcome) {
    case HopOutcome::Answered:
      call->OnAttemptAnswered(*this);
      return;
    case HopOutcome::TurnedBack:
    case HopOutcome::Refused:
      call->OnTurnedBack(*this);
      return;
    case HopOutcome::NotRun:
      call->OnNotRun(*this);
      return;
    case HopOutcome::Unknown:
      call->OnLost(*this, aEnd);
      return;
  }
}

} // namespace mimosarun
