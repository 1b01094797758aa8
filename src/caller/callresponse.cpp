#include "caller/callresponse.h"

#include "caller/entry.h"

#include <utility>

namespace mimosarun {

static std::chrono::microseconds
Since(Deadline aStart)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - aStart);
}

CallResponse::CallResponse(Entry& aEntry, ExchangePointer aExchange, const CallOptions& aOptions)
  : m_entry(aEntry)
  , m_exchange(std::move(aExchange))
  , m_options(aOptions)
{
  m_record.callId = m_options.callId;
  m_record.route = m_options.route->name;
  m_record.version = m_options.snapshot->version;
  m_record.team = m_options.team;
}

void
CallResponse::BeginStreaming(HttpResponseHead aHead, std::string_view aBody, const ForwardHandle& aTransfer)
{
  m_record.status = aHead.status;
  m_record.outcome = kStreamingOutcome;
  m_record.isStreamed = true;
  m_record.duration = Since(m_exchange->ReceivedAt());
  m_entry.m_recorder.Add(m_record);
  m_entry.m_options.codec.finishResponse(aHead, m_options.callId);
  m_exchange->OnDrain([aTransfer] { aTransfer.Resume(); });
  m_exchange->Start(std::move(aHead));
  if (!aBody.empty()) {
    m_exchange->Write(aBody);
  }
}

void
CallResponse::FinishStreaming(bool aIsComplete)
{
  RecordEnd(m_record.status, aIsComplete ? "complete" : "cut", aIsComplete ? "" : "the response broke off");
  m_exchange->Finish(aIsComplete);
}

void
CallResponse::Respond(HttpResponseHead aHead, std::string aBody)
{
  RecordEnd(aHead.status, "complete", "");
  m_entry.m_options.codec.finishResponse(aHead, m_options.callId);
  m_exchange->Respond(
    { .status = aHead.status, .headers = std::move(aHead.headers), .body = std::move(aBody) });
}

void
CallResponse::Refuse(const CallRefusal& aRefusal)
{
  m_record.untriedGates = aRefusal.untriedGates;
  RecordEnd(aRefusal.status, aRefusal.mayHaveRun ? "unknown" : "not-run", aRefusal.reason);
  m_exchange->Respond(m_entry.m_options.codec.refuse(
    { .status = aRefusal.status,
      .outcome = aRefusal.mayHaveRun ? CallOutcome::Unknown : CallOutcome::NotRun,
      .reason = aRefusal.reason,
      .callId = m_options.callId,
      .retryAfter = aRefusal.retryAfter }));
}

void
CallResponse::RecordDisconnect(const CallRefusal& aRefusal)
{
  m_record.untriedGates = aRefusal.untriedGates;
  RecordEnd(aRefusal.status, aRefusal.mayHaveRun ? "unknown" : "not-run", aRefusal.reason);
}

void
CallResponse::RecordDisconnectDuringResponse()
{
  if (m_record.outcome != kStreamingOutcome) {
    return;
  }
  // Neither counted nor logged: the caller ended a response that it was receiving.
  m_record.outcome = "cut";
  m_record.reason = "the caller disconnected";
  m_record.duration = Since(m_exchange->ReceivedAt());
  m_entry.m_recorder.Add(m_record);
}

void
CallResponse::RecordEnd(int aStatus, const std::string& aOutcome, const std::string& aReason)
{
  m_record.status = aStatus;
  m_record.outcome = aOutcome;
  m_record.reason = aReason;
  m_record.duration = Since(m_exchange->ReceivedAt());
  if (aOutcome == "complete") {
    m_entry.RecordCallTime(*m_options.route, m_record.duration);
  }
  m_entry.m_recorder.RecordEnd(m_record);
}

} // namespace mimosarun
