#include "caller/entryattempt.h"

#include "caller/entry.h"
#include "caller/entrycall.h"
#include "common/log.h"
#include "http/responsebuffering.h"

namespace mimosarun {

EntryAttempt::EntryAttempt(std::shared_ptr<EntryCall> aCall, const GateChoice& aChoice)
  : m_call(std::move(aCall))
  , m_gate(aChoice.gate)
  , m_maxFailurePenalty(aChoice.maxFailurePenalty)
  , m_expectsRejection(aChoice.expectsRejection)
  , m_sentAt(SteadyClock::now())
{
}

HeadAction
EntryAttempt::OnHead(const HttpResponseHead& aHead)
{
  m_head = aHead;
  m_hopResponse = ExtractHopResponse(m_head.headers);
  if (!m_hopResponse) {
    // Every response of a gate has this header, so something else responded.
    m_hopResponse = HopResponse{ .outcome = HopOutcome::Unknown };
    return HeadAction::Accept;
  }
  RecordGateReport();
  BeginStreamingIfLarge();
  return HeadAction::Accept;
}

void
EntryAttempt::RecordGateReport()
{
  Balancer& balancer = m_call->m_entry.m_balancer;
  balancer.RecordLoad(m_gate.node,
                      { .slotsInUse = m_hopResponse->slotsInUse,
                        .slots = m_hopResponse->slots,
                        .queueLength = m_hopResponse->queueLength,
                        .queueWait = m_hopResponse->queueWait,
                        .failurePenalty = m_hopResponse->failurePenalty },
                      SteadyClock::now());
  if (m_hopResponse->isLeaving && balancer.RecordLeaving(m_gate.node, m_gate.incarnation)) {
    Log(Event::GateLeaving, { { "node", m_gate.node } });
  }
}

bool
EntryAttempt::OnBody(std::string_view aBytes)
{
  m_bodyBytes += aBytes.size();
  if (m_call->m_streamedAttempt == this) {
    return m_call->m_response.Write(aBytes);
  }
  m_body.append(aBytes);
  BeginStreamingIfLarge();
  if (m_body.size() > kBufferedResponseLimitBytes) {
    // A gate's own responses are short, so something else responds, perhaps without end.
    m_forwardHandle.Cancel();
    OnEnd(ForwardResult::Broken);
  }
  return true;
}

void
EntryAttempt::BeginStreamingIfLarge()
{
  if (m_hopResponse->outcome == HopOutcome::Answered && MustStream(m_head, m_body.size())) {
    m_call->BeginStreaming(*this);
  }
}

void
EntryAttempt::OnSilence()
{
  const std::shared_ptr<EntryCall> call = m_call;
  call->OnSilence(*this);
}

void
EntryAttempt::OnEnd(ForwardResult aResult)
{
  const std::shared_ptr<EntryCall> call = m_call;
  if (aResult != ForwardResult::Complete || !m_hopResponse) {
    call->OnAttemptFailed(*this, aResult);
    return;
  }
  switch (m_hopResponse->outcome) {
    case HopOutcome::Answered:
      call->OnAttemptAnswered(*this);
      return;
    case HopOutcome::Rejected:
    case HopOutcome::RejectedFinally:
      call->OnRejected(*this);
      return;
    case HopOutcome::NotRun:
      call->OnNotRun(*this);
      return;
    case HopOutcome::Unknown:
      call->OnAttemptFailed(*this, aResult);
      return;
  }
}

} // namespace mimosarun
