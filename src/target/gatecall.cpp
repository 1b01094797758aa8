#include "target/gatecall.h"

#include "common/digest.h"
#include "common/log.h"
#include "common/random.h"
#include "http/meshheaders.h"
#include "target/gate.h"

#include <algorithm>

namespace mimosarun {

/** Answers up to this size are passed on whole, larger ones piece by piece. */
static constexpr size_t kCollectLimitBytes = 64UL * 1024;
/** A claimed call may go on this long after its caller has given up, so that its answer is stored. */
static constexpr std::chrono::milliseconds kClaimedCallTime{ 30000 };
/** Kept of a call's time, so that its refusal still arrives before the entry gives up. */
static constexpr std::chrono::milliseconds kRefusalTime{ 100 };
static constexpr std::chrono::milliseconds kRecordTime{ 3000 };
static constexpr std::chrono::milliseconds kLongestTimeout{ 3600000 };
/** An entry whose connection broke has this long to ask again for a call that may run once. */
static constexpr std::chrono::milliseconds kRejoinTime{ 350 };
static constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
/** A target may close a connection that was idle for longer just as the next request is sent. */
static constexpr std::chrono::milliseconds kLongestIdle{ 8000 };
static constexpr std::chrono::milliseconds kLongestIdleOnce{ 2500 };
/** Estimates of waits may be off by this factor before a call is given back. */
static constexpr int kWaitSlack = 2;
static constexpr std::chrono::milliseconds kLeastWait{ 20 };
static constexpr int kServerErrors = 500;

static std::optional<ClaimRequest>
ClaimOf(const HopRequest& aHop, const HttpRequest& aRequest)
{
  const std::string key = FindHeader(aRequest.headers, kIdempotencyHeader);
  if (aHop.repeatPolicy != RepeatPolicy::Keyed || key.empty()) {
    return std::nullopt;
  }
  return ClaimRequest{
    .homeRegion = aHop.homeRegion,
    .service = aHop.service,
    .key = key,
    .token = RandomIdentifier(),
    .fingerprint =
      Sha256(aRequest.method + "\n" + aRequest.requestTarget + "\n" + aRequest.body).substr(0, 32)
  };
}

GateCall::GateCall(Gate& aGate,
                   uint64_t aNumber,
                   ExchangePointer aExchange,
                   HopRequest aHop,
                   HttpRequest aRequest)
  : m_gate(aGate)
  , m_number(aNumber)
  , m_loop(aExchange->Loop())
  , m_exchange(std::move(aExchange))
  , m_hop(std::move(aHop))
  , m_request(std::move(aRequest))
  , m_deadline(m_exchange->ReceivedAt() +
               std::clamp(m_hop.timeLeft, std::chrono::milliseconds(0), kLongestTimeout))
  , m_claim(ClaimOf(m_hop, m_request))
  , m_abandonTimer(m_loop.Context())
{
}

AdmissionRequest
GateCall::ToAdmissionRequest() const
{
  const auto wait = std::max(m_hop.longestWait, kLeastWait) * kWaitSlack;
  return { .callNumber = m_number,
           .callClass = m_hop.callClass,
           .costGroup = m_hop.route,
           .priority = m_hop.priority,
           .deadline = m_deadline,
           .objective = m_exchange->ReceivedAt() + m_hop.timeToObjective,
           .expectedCost = m_hop.expectedCost,
           .returnAt = m_exchange->ReceivedAt() + wait,
           .longestWait = m_hop.longestWait };
}

void
GateCall::WatchForDisconnect()
{
  m_exchange->OnCancel([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnEntryDisconnected();
    }
  });
}

// --- before the target -----------------------------------------------------------------------------------

void
GateCall::OnAdmitted()
{
  m_loop.Dispatch([self = shared_from_this()] { self->Start(); });
}

void
GateCall::Start()
{
  m_stage = Stage::Running;
  m_admittedAt = SteadyClock::now();
  if (m_entryDisconnected && !HasClaim()) {
    m_gate.ReleaseUnused(*this);
    m_stage = Stage::Ended;
    return;
  }
  if (!HasClaim()) {
    Forward();
    return;
  }
  const bool posted =
    m_gate.m_workers && m_gate.m_workers->Post([self = shared_from_this()] { self->ClaimThenForward(); });
  if (!posted) {
    m_gate.ReleaseUnused(*this);
    RespondWithError(503, HopOutcome::Rejected, "too many claims wait at the gate");
  }
}

void
GateCall::ClaimThenForward()
{
  ClaimResult claim = m_gate.m_options.claims->Claim(*m_claim, m_deadline - kRefusalTime);
  m_loop.Dispatch([self = shared_from_this(), claim = std::move(claim)] { self->OnClaimResult(claim); });
}

void
GateCall::OnClaimResult(const ClaimResult& aClaim)
{
  if (aClaim.status == ClaimStatus::Granted) {
    Log(Event::ClaimGranted, { { "call", m_hop.callId }, { "key", m_claim->key } });
    Forward();
    return;
  }
  m_gate.ReleaseUnused(*this);
  const bool answered = aClaim.status == ClaimStatus::Completed;
  if (answered || aClaim.status == ClaimStatus::HeldByOther) {
    Log(Event::ClaimRepeated,
        { { "call", m_hop.callId }, { "key", m_claim->key }, { "answer", answered ? "first" : "unknown" } });
  }
  switch (aClaim.status) {
    case ClaimStatus::Granted:
      return;
    case ClaimStatus::Completed:
      RespondWith(aClaim.response, HopOutcome::Answered);
      return;
    case ClaimStatus::HeldByOther:
      RespondWithError(
        504, HopOutcome::Unknown, "another attempt holds this idempotency key; its outcome isn't known yet");
      return;
    case ClaimStatus::Mismatch:
      RespondWithError(422,
                       HopOutcome::RejectedByAllGates,
                       "this idempotency key was used for another request; choose a new key");
      return;
    case ClaimStatus::Unavailable:
      RespondWithError(503,
                       HopOutcome::RejectedByAllGates,
                       "the home region's quorum can't be reached to claim the idempotency key");
      ReleaseClaim();
      return;
  }
}

void
GateCall::Forward()
{
  const std::optional<TargetState> target = m_gate.ReadyTarget(m_hop.service);
  const Deadline now = SteadyClock::now();
  if (!target || now >= m_deadline) {
    m_gate.ReleaseUnused(*this);
    RespondWithError(503, HopOutcome::Rejected, "the target stopped taking calls");
    ReleaseClaim();
    return;
  }
  m_targetName = target->name;
  HttpRequest request = m_request;
  m_gate.m_options.codec.prepare(
    request.headers,
    { .callId = m_hop.callId, .targetName = m_targetName, .timeLeft = TimeLeft(m_deadline, now) });
  const Deadline deadline = HasClaim() ? std::max(m_deadline, now + kClaimedCallTime) : m_deadline;
  const bool once = m_hop.repeatPolicy != RepeatPolicy::Idempotent;
  const auto idle = m_retried ? std::chrono::milliseconds(0) : once ? kLongestIdleOnce : kLongestIdle;
  m_forwardHandle = m_gate.m_options.forwarder->Start(m_loop,
                                                      { .destination = target->address,
                                                        .request = std::move(request),
                                                        .deadline = deadline,
                                                        .connectTimeout = kConnectTimeout,
                                                        .longestIdle = idle },
                                                      shared_from_this());
}

void
GateCall::ReleaseSlot()
{
  const auto held = std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - m_admittedAt);
  m_gate.Release(*this, held);
}

void
GateCall::Reject(HopOutcome aOutcome, const std::string& aReason)
{
  m_loop.Dispatch([self = shared_from_this(), aOutcome, aReason] {
    self->RespondWithError(aOutcome == HopOutcome::Unknown ? 502 : 503, aOutcome, aReason);
  });
}

void
GateCall::RespondWithError(int aStatus, HopOutcome aOutcome, const std::string& aReason)
{
  m_gate.m_refused->Increment();
  const bool mayComeAgain = aOutcome != HopOutcome::Unknown && m_hop.sentToIncarnation == 0;
  if (mayComeAgain && m_hop.repeatPolicy != RepeatPolicy::Idempotent) {
    m_gate.m_nonIdempotentCalls.Remove(m_hop.callId);
  }
  RespondWith({ .status = aStatus, .headers = {}, .body = aReason }, aOutcome);
}

void
GateCall::RespondWith(HttpResponse aResponse, HopOutcome aOutcome)
{
  m_stage = Stage::Ended;
  m_abandonTimer.cancel();
  HopResponse hop = m_gate.CurrentLoad(*this);
  hop.outcome = aOutcome;
  WriteHop(aResponse.headers, hop);
  const bool final =
    aOutcome == HopOutcome::Answered || aOutcome == HopOutcome::Unknown || m_hop.sentToIncarnation != 0;
  if (final && m_hop.repeatPolicy != RepeatPolicy::Idempotent) {
    m_storedResponse = aResponse;
  }
  m_exchange->Respond(std::move(aResponse));
}

// --- the other end ---------------------------------------------------------------------------------------

void
GateCall::AttachExchange(const ExchangePointer& aExchange)
{
  m_loop.Dispatch([self = shared_from_this(), aExchange] {
    self->m_abandonTimer.cancel();
    if (self->m_storedResponse) {
      aExchange->Respond(*self->m_storedResponse);
      return;
    }
    if (self->m_stage == Stage::Ended || self->m_streaming || &aExchange->Loop() != &self->m_loop) {
      HttpResponse response{ .status = 502, .headers = {}, .body = "the answer of the first try is lost" };
      HopResponse hop;
      hop.outcome = HopOutcome::Unknown;
      WriteHop(response.headers, hop);
      aExchange->Respond(std::move(response));
      return;
    }
    self->m_entryDisconnected = false;
    self->m_exchange->OnCancel({});
    self->m_exchange = aExchange;
    self->WatchForDisconnect();
  });
}

void
GateCall::OnEntryDisconnected()
{
  m_entryDisconnected = true;
  if (HasClaim()) {
    // It goes on, so that its outcome is stored.
    return;
  }
  if (m_stage == Stage::Waiting || m_hop.repeatPolicy == RepeatPolicy::Idempotent) {
    Abandon();
    return;
  }
  m_abandonTimer.expires_after(kRejoinTime);
  m_abandonTimer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError && self->m_entryDisconnected) {
      self->Abandon();
    }
  });
}

void
GateCall::Abandon()
{
  if (m_stage == Stage::Waiting) {
    m_gate.Withdraw(*this);
    if (m_hop.repeatPolicy != RepeatPolicy::Idempotent) {
      m_gate.m_nonIdempotentCalls.Remove(m_hop.callId);
    }
    return;
  }
  if (m_stage == Stage::Running) {
    m_stage = Stage::Ended;
    m_forwardHandle.Cancel();
    ReleaseSlot();
  }
}

// --- answer of the target --------------------------------------------------------------------------------

HeadAction
GateCall::OnHead(const HttpResponseHead& aHead)
{
  m_gate.RecordConnectResult(true);
  const TargetCall call{ .callId = m_hop.callId, .targetName = m_targetName };
  m_responseKind = m_gate.m_options.codec.classifyResponse(aHead, call);
  if (m_responseKind == TargetResponseKind::OtherCall) {
    return HeadAction::Skip;
  }
  m_responseHead = aHead;
  const bool well = m_responseKind == TargetResponseKind::Usable && aHead.status < kServerErrors;
  m_gate.RecordOutcome(well ? TargetFailureTracker::Outcome::Succeeded
                            : TargetFailureTracker::Outcome::Failed);
  if (m_responseKind == TargetResponseKind::Usable && aHead.contentLength.value_or(0) > kCollectLimitBytes) {
    StartStreaming();
  }
  return HeadAction::Accept;
}

void
GateCall::StartStreaming()
{
  if (HasClaim()) {
    // Too large to be stored; the claim stays without an outcome.
    m_claim.reset();
  }
  m_streaming = true;
  HttpResponseHead head = m_responseHead;
  HopResponse hop = m_gate.CurrentLoad(*this);
  hop.outcome = HopOutcome::Answered;
  WriteHop(head.headers, hop);
  m_exchange->OnDrain([ticket = m_forwardHandle] { ticket.Resume(); });
  m_exchange->Start(std::move(head));
  if (!m_bufferedBody.empty()) {
    m_exchange->Write(std::exchange(m_bufferedBody, {}));
  }
}

bool
GateCall::OnBody(std::string_view aBytes)
{
  if (m_responseKind != TargetResponseKind::Usable) {
    return true;
  }
  if (m_streaming) {
    return m_exchange->Write(aBytes);
  }
  m_bufferedBody.append(aBytes);
  if (m_bufferedBody.size() > kCollectLimitBytes) {
    StartStreaming();
  }
  return true;
}

void
GateCall::OnEnd(ForwardResult aEnd)
{
  if (m_stage != Stage::Running) {
    return;
  }
  const bool idempotent = m_hop.repeatPolicy == RepeatPolicy::Idempotent;
  if (aEnd == ForwardResult::ReusedConnectionClosed && idempotent && !m_retried) {
    m_retried = true;
    Forward();
    return;
  }
  if (aEnd == ForwardResult::NotSent) {
    m_gate.RecordConnectResult(false);
    m_gate.ReleaseUnused(*this);
    RespondWithError(503, HopOutcome::Rejected, "the target takes no connections");
    ReleaseClaim();
    return;
  }
  if (aEnd == ForwardResult::Complete && m_responseKind != TargetResponseKind::Usable &&
      m_responseKind != TargetResponseKind::Unusable) {
    m_gate.ReleaseUnused(*this);
  } else {
    ReleaseSlot();
  }
  if (m_streaming) {
    m_stage = Stage::Ended;
    m_exchange->Finish(aEnd == ForwardResult::Complete);
    return;
  }
  if (aEnd == ForwardResult::Complete && m_responseKind != TargetResponseKind::Unusable) {
    OnResponseComplete();
    return;
  }
  if (aEnd == ForwardResult::Broken) {
    m_gate.RecordOutcome(TargetFailureTracker::Outcome::Failed);
  }
  const bool late = aEnd == ForwardResult::TimedOut;
  const std::string reason = aEnd == ForwardResult::Complete ? "the target's answer is damaged"
                             : late                          ? "the target gave no answer before the deadline"
                                                             : "the connection to the target broke";
  Log(Event::CallUnknown, { { "call", m_hop.callId }, { "target", m_targetName }, { "reason", reason } });
  RespondWithError(late ? 504 : 502, HopOutcome::Unknown, reason);
}

void
GateCall::OnResponseComplete()
{
  if (m_responseKind == TargetResponseKind::OtherTarget) {
    m_gate.m_options.onTargetLost(m_targetName);
    RespondWithError(503, HopOutcome::NotRun, "another target has the address");
    return;
  }
  if (m_responseKind == TargetResponseKind::NotRun) {
    RespondWithError(503, HopOutcome::NotRun, "the target refused the call");
    ReleaseClaim();
    return;
  }
  if (HasClaim()) {
    StoreThenRespond();
    return;
  }
  RespondWith(
    { .status = m_responseHead.status, .headers = m_responseHead.headers, .body = std::move(m_bufferedBody) },
    HopOutcome::Answered);
}

void
GateCall::StoreThenRespond()
{
  const auto store = [self = shared_from_this()] {
    const HttpResponse answer{ .status = self->m_responseHead.status,
                               .headers = self->m_responseHead.headers,
                               .body = self->m_bufferedBody };
    self->m_gate.m_options.claims->Complete(*self->m_claim, answer, SteadyClock::now() + kRecordTime);
    self->m_loop.Dispatch([self, answer] { self->RespondWith(answer, HopOutcome::Answered); });
  };
  if (!m_gate.m_workers->Post(store)) {
    // The answer counts more than the record of it; without the record, a repetition gets "unknown".
    RespondWith(
      { .status = m_responseHead.status, .headers = m_responseHead.headers, .body = m_bufferedBody },
      HopOutcome::Answered);
  }
}

void
GateCall::ReleaseClaim()
{
  if (!HasClaim()) {
    return;
  }
  m_gate.m_workers->Post([self = shared_from_this()] {
    const bool released =
      self->m_gate.m_options.claims->Release(*self->m_claim, SteadyClock::now() + kRecordTime);
    Log(Event::ClaimReleased,
        { { "call", self->m_hop.callId },
          { "key", self->m_claim->key },
          { "released", released ? "yes" : "no" } });
  });
}

} // namespace mimosarun
