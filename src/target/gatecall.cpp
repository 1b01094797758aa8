#include "target/gatecall.h"

#include "common/digest.h"
#include "common/log.h"
#include "common/random.h"
#include "hop/fingerprint.h"
#include "http/meshheaders.h"
#include "http/responsebuffering.h"
#include "target/gate.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/** A response that isn't passed on may have a body of this size; it breaks off if it has more. */
static constexpr size_t kDiscardedBodyLimitBytes = 64UL * 1024;
/** A call with a claim may run this long even if its caller gives up, so that its response is stored. */
static constexpr std::chrono::milliseconds kClaimedCallTimeout{ 30000 };
/** Part of a call's time that is reserved for sending an error response before the entry gives up. */
static constexpr std::chrono::milliseconds kErrorResponseMargin{ 100 };
static constexpr std::chrono::milliseconds kClaimUpdateTimeout{ 3000 };
static constexpr std::chrono::milliseconds kMaximumTimeout{ 3600000 };
/** An entry whose connection broke has this long to send a call again that isn't idempotent. */
static constexpr std::chrono::milliseconds kResendTimeout{ 350 };
static constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
/**
 * The kernel acknowledges a request of this size although the target reads nothing, so that it stays
 * unacknowledged only if the connection is broken. A larger one may wait for a target that reads late.
 */
static constexpr size_t kBufferedRequestBytes = 64UL * 1024;
static constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 2000 };
/** Longer idle connections aren't reused: the target may close them just as the next request is sent. */
static constexpr std::chrono::milliseconds kLongestIdle{ 8000 };
static constexpr std::chrono::milliseconds kLongestIdleNotIdempotent{ 2500 };
/** Wait estimates are inexact: a call is returned to the entry after its longest wait times this factor. */
static constexpr int kWaitToleranceFactor = 2;
static constexpr std::chrono::milliseconds kMinimumWait{ 20 };
/** How long the target's end is watched for calls that it may run although nobody waits for them. */
static constexpr std::chrono::milliseconds kAbandonedTime{ 60000 };
/** Such calls of one gate that are watched at once; each holds a connection and about two kilobytes. */
static constexpr int kMaximumAbandonedCalls = 256;
static constexpr int kFirstServerErrorStatus = 500;
/** A team without a quota shares slots like one with this many requests per second. */
static constexpr double kWeightWithoutQuota = 100;

static std::optional<ClaimRequest>
MakeClaimRequest(const HopRequest& aHop, const HttpRequest& aRequest)
{
  const std::string key = FindHeader(aRequest.headers, kIdempotencyHeader);
  if (aHop.repeatPolicy != RepeatPolicy::Keyed || key.empty()) {
    return std::nullopt;
  }
  return ClaimRequest{
    .homeRegion = aHop.homeRegion,
    .service = aHop.service,
    // Teams may choose the same keys; neither a name nor a header has a line end.
    .key = aHop.team.empty() ? key : aHop.team + "\n" + key,
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
  , m_receivedAt(m_exchange->ReceivedAt())
  , m_hop(std::move(aHop))
  , m_request(std::move(aRequest))
  , m_deadline(m_receivedAt + std::clamp(m_hop.timeLeft, std::chrono::milliseconds(0), kMaximumTimeout))
  , m_claim(MakeClaimRequest(m_hop, m_request))
  , m_abandonTimer(m_loop.Context())
{
}

AdmissionRequest
GateCall::ToAdmissionRequest() const
{
  const auto wait = std::max(m_hop.longestWait, kMinimumWait) * kWaitToleranceFactor;
  return { .callNumber = m_number,
           .callClass = m_hop.callClass,
           .costGroup = m_hop.route,
           .priority = m_hop.priority,
           .team = { .name = m_hop.team,
                     .priority = m_hop.teamPriority,
                     .weight = m_hop.teamRate > 0 ? m_hop.teamRate : kWeightWithoutQuota },
           .deadline = m_deadline,
           .objective = m_receivedAt + m_hop.timeToObjective,
           .expectedCost = m_hop.expectedCost,
           .returnAt = m_receivedAt + wait,
           .longestWait = m_hop.longestWait };
}

void
GateCall::WatchForDisconnect(const ExchangePointer& aExchange)
{
  m_connectedExchanges.insert(aExchange.get());
  aExchange->Loop().Dispatch([weak = weak_from_this(), aExchange] {
    aExchange->OnCancel([weak, exchange = aExchange.get()] {
      if (const auto self = weak.lock()) {
        self->m_loop.Dispatch([self, exchange] { self->OnDisconnect(exchange); });
      }
    });
  });
}

// --- before forwarding -----------------------------------------------------------------------------------

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
    MarkEnded();
    ReleaseMessages();
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
  ClaimResult claim = m_gate.m_options.claims->Claim(*m_claim, m_deadline - kErrorResponseMargin);
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
  const bool completed = aClaim.status == ClaimStatus::Completed;
  if (completed || aClaim.status == ClaimStatus::HeldByOther) {
    Log(Event::ClaimRepeated,
        { { "call", m_hop.callId }, { "key", m_claim->key }, { "answer", completed ? "first" : "unknown" } });
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
                       HopOutcome::RejectedFinally,
                       "this idempotency key was used for another request; choose a new key");
      return;
    case ClaimStatus::Unavailable:
      RespondWithError(503,
                       HopOutcome::RejectedFinally,
                       "the home region's quorum can't be reached to claim the idempotency key");
      m_gate.m_workers->Post([self = shared_from_this()] { self->ReleaseClaim(); });
      return;
  }
}

void
GateCall::Forward()
{
  const std::optional<TargetState> target = m_gate.ReadyTarget(m_hop.service);
  const Deadline now = SteadyClock::now();
  const bool canForward = target && now < m_deadline;
  if (!canForward && m_retried) {
    ReleaseSlot();
    RespondWithError(502, HopOutcome::Unknown, "the connection to the target broke");
    return;
  }
  if (!canForward) {
    m_gate.ReleaseUnused(*this);
    RespondNotRun(HopOutcome::Rejected, "the target stopped taking calls");
    return;
  }
  m_targetName = target->name;
  m_softwareVersion = target->version;
  m_sentAt = now;
  m_targetAddress = target->address;
  HttpRequest request = m_request;
  m_gate.m_options.codec.prepare(
    request.headers,
    { .callId = m_hop.callId, .targetName = m_targetName, .timeLeft = TimeLeft(m_deadline, now) });
  const Deadline deadline = HasClaim() ? std::max(m_deadline, now + kClaimedCallTimeout) : m_deadline;
  const bool notIdempotent = m_hop.repeatPolicy != RepeatPolicy::Idempotent;
  const auto longestIdle = m_retried       ? std::chrono::milliseconds(0)
                           : notIdempotent ? kLongestIdleNotIdempotent
                                           : kLongestIdle;
  const auto unacknowledgedTimeout =
    m_request.body.size() > kBufferedRequestBytes ? TimeLeft(deadline, now) : kUnacknowledgedTimeout;
  m_forwardHandle = m_gate.m_options.forwarder->Start(m_loop,
                                                      { .destination = target->address,
                                                        .request = std::move(request),
                                                        .deadline = deadline,
                                                        .connectTimeout = kConnectTimeout,
                                                        .longestIdle = longestIdle,
                                                        .unacknowledgedTimeout = unacknowledgedTimeout },
                                                      shared_from_this());
}

void
GateCall::MarkEnded()
{
  m_stage = Stage::Ended;
  if (m_hop.repeatPolicy != RepeatPolicy::Idempotent) {
    m_gate.m_nonIdempotentCalls.RecordEnd(m_hop.callId, SteadyClock::now());
  }
}

void
GateCall::ReleaseMessages()
{
  std::string().swap(m_request.body);
  std::string().swap(m_bufferedBody);
  m_exchange.reset();
  m_otherExchanges.clear();
}

void
GateCall::ReleaseSlot()
{
  const auto heldFor =
    std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - m_admittedAt);
  m_gate.Release(*this, heldFor);
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
  const bool mayBeSentAgain = aOutcome != HopOutcome::Unknown && !IsRepeated();
  if (mayBeSentAgain && m_hop.repeatPolicy != RepeatPolicy::Idempotent) {
    m_gate.m_nonIdempotentCalls.Remove(m_hop.callId);
  }
  RespondWith({ .status = aStatus, .headers = {}, .body = aReason }, aOutcome);
}

void
GateCall::RespondWith(HttpResponse aResponse, HopOutcome aOutcome)
{
  MarkEnded();
  m_abandonTimer.cancel();
  HopResponse hop = m_gate.CurrentLoad(*this);
  hop.outcome = aOutcome;
  WriteHop(aResponse.headers, hop);
  const bool final = aOutcome == HopOutcome::Answered || aOutcome == HopOutcome::Unknown || IsRepeated();
  if (final && m_hop.repeatPolicy != RepeatPolicy::Idempotent) {
    m_storedResponse = aResponse;
  }
  for (const ExchangePointer& exchange : m_otherExchanges) {
    exchange->Respond(aResponse);
  }
  m_exchange->Respond(std::move(aResponse));
  ReleaseMessages();
}

// --- disconnect of the entry -----------------------------------------------------------------------------

static void
RespondOutcomeLost(const ExchangePointer& aExchange)
{
  HttpResponse response{ .status = 502, .headers = {}, .body = "the response to the first attempt is lost" };
  HopResponse hop;
  hop.outcome = HopOutcome::Unknown;
  WriteHop(response.headers, hop);
  aExchange->Respond(std::move(response));
}

void
GateCall::RespondToRepetition(const std::shared_ptr<GateCall>& aEarlierCall, const ExchangePointer& aExchange)
{
  if (aEarlierCall) {
    aEarlierCall->AttachExchange(aExchange);
  } else {
    RespondOutcomeLost(aExchange);
  }
}

void
GateCall::AttachExchange(const ExchangePointer& aExchange)
{
  m_loop.Dispatch([self = shared_from_this(), aExchange] {
    self->m_abandonTimer.cancel();
    if (self->m_storedResponse) {
      aExchange->Respond(*self->m_storedResponse);
      return;
    }
    if (self->m_stage == Stage::Ended || self->m_streaming) {
      RespondOutcomeLost(aExchange);
      return;
    }
    self->m_isRepeated = true;
    self->m_entryDisconnected = false;
    self->m_otherExchanges.push_back(aExchange);
    if (&aExchange->Loop() == &self->m_loop) {
      std::swap(self->m_exchange, self->m_otherExchanges.back());
    }
    self->WatchForDisconnect(aExchange);
  });
}

void
GateCall::OnDisconnect(const Exchange* aExchange)
{
  if (m_connectedExchanges.erase(aExchange) == 0) {
    return;
  }
  if (m_connectedExchanges.empty()) {
    OnEntryDisconnected();
  } else if (m_stage != Stage::Ended && aExchange == m_exchange.get()) {
    ReplaceExchange();
  }
}

void
GateCall::ReplaceExchange()
{
  const auto isUsable = [this](const ExchangePointer& aExchange) {
    return &aExchange->Loop() == &m_loop && m_connectedExchanges.contains(aExchange.get());
  };
  const auto found = std::ranges::find_if(m_otherExchanges, isUsable);
  if (found != m_otherExchanges.end()) {
    std::swap(m_exchange, *found);
  }
}

void
GateCall::OnEntryDisconnected()
{
  m_entryDisconnected = true;
  if (HasClaim()) {
    // The call continues, so that its outcome is stored.
    return;
  }
  if (m_stage == Stage::Waiting || m_hop.repeatPolicy == RepeatPolicy::Idempotent) {
    Abandon();
    return;
  }
  m_abandonTimer.expires_after(kResendTimeout);
  m_abandonTimer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError && self->m_entryDisconnected) {
      self->Abandon();
    }
  });
}

void
GateCall::CountEnd(TargetCallEnd aEnd)
{
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  // A streamed response takes as long as its receiver does.
  const Deadline endedAt = m_streamedAt.value_or(SteadyClock::now());
  m_gate.CountResult({ .service = m_hop.service,
                       .version = m_softwareVersion,
                       .route = m_hop.route,
                       .end = aEnd,
                       .time = duration_cast<microseconds>(endedAt - m_sentAt),
                       .timeLimit = duration_cast<microseconds>(m_deadline - m_receivedAt) },
                     m_sentAt);
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
    MarkEnded();
    CountEnd(TargetCallEnd::Abandoned);
    m_forwardHandle.Cancel();
    ReleaseSlot();
    ReleaseMessages();
  }
}

// --- response of the target ------------------------------------------------------------------------------

HeadAction
GateCall::OnHead(const HttpResponseHead& aHead)
{
  const TargetCall call{ .callId = m_hop.callId, .targetName = m_targetName };
  const TargetResponseKind kind = m_gate.m_options.codec.classifyResponse(aHead, call);
  if (kind == TargetResponseKind::Usable || kind == TargetResponseKind::NotRun) {
    m_gate.m_crashWatch.RecordResponse(m_targetName);
  }
  if (m_stage == Stage::Ended) {
    m_responseKind = kind;
    return kind == TargetResponseKind::OtherCall ? HeadAction::Skip : HeadAction::Accept;
  }
  m_gate.RecordConnectResult(true);
  m_responseKind = kind;
  if (m_responseKind == TargetResponseKind::OtherCall) {
    return HeadAction::Skip;
  }
  m_responseHead = aHead;
  if (m_responseKind == TargetResponseKind::Usable || m_responseKind == TargetResponseKind::NotRun) {
    m_gate.ApplyNotice(m_targetName, m_gate.m_options.codec.readNotice(aHead));
  }
  const bool succeeded =
    m_responseKind == TargetResponseKind::Usable && aHead.status < kFirstServerErrorStatus;
  m_gate.RecordOutcome(succeeded ? TargetFailureTracker::Outcome::Succeeded
                                 : TargetFailureTracker::Outcome::Failed);
  if (m_responseKind == TargetResponseKind::Usable && MustStream(aHead, 0)) {
    StartStreaming();
  }
  return HeadAction::Accept;
}

void
GateCall::StartStreaming()
{
  if (HasClaim()) {
    // The response is too large to be stored; the claim keeps an unknown outcome.
    m_claim.reset();
  }
  m_streaming = true;
  m_streamedAt = SteadyClock::now();
  for (const ExchangePointer& exchange : std::exchange(m_otherExchanges, {})) {
    RespondOutcomeLost(exchange);
    OnDisconnect(exchange.get());
  }
  HttpResponseHead head = m_responseHead;
  HopResponse hop = m_gate.CurrentLoad(*this);
  hop.outcome = HopOutcome::Answered;
  WriteHop(head.headers, hop);
  m_exchange->OnDrain([handle = m_forwardHandle] { handle.Resume(); });
  m_exchange->Start(std::move(head));
  if (!m_bufferedBody.empty()) {
    m_exchange->Write(std::exchange(m_bufferedBody, {}));
  }
}

bool
GateCall::OnBody(std::string_view aBytes)
{
  if (m_responseKind != TargetResponseKind::Usable) {
    Discard(aBytes.size());
    return true;
  }
  if (m_streaming) {
    return m_exchange->Write(aBytes);
  }
  m_bufferedBody.append(aBytes);
  if (MustStream(m_responseHead, m_bufferedBody.size())) {
    StartStreaming();
  }
  return true;
}

void
GateCall::Discard(size_t aBytes)
{
  m_discardedBytes += aBytes;
  if (m_discardedBytes > kDiscardedBodyLimitBytes) {
    // The body may never end.
    m_forwardHandle.Cancel();
    OnEnd(ForwardResult::Broken);
  }
}

/** Returns how a call ended at the target, or nothing if that shows nothing about the target. */
static std::optional<TargetCallEnd>
EndAtTarget(ForwardResult aResult, TargetResponseKind aKind, int aStatus)
{
  if (aKind == TargetResponseKind::NotRun || aKind == TargetResponseKind::OtherTarget) {
    return std::nullopt;
  }
  switch (aResult) {
    case ForwardResult::Complete:
      return aKind == TargetResponseKind::Usable && aStatus < kFirstServerErrorStatus
               ? TargetCallEnd::Succeeded
               : TargetCallEnd::Failed;
    case ForwardResult::TimedOut:
      return TargetCallEnd::TimedOut;
    case ForwardResult::NotSent:
    case ForwardResult::ReusedConnectionClosed:
    case ForwardResult::Broken:
      return TargetCallEnd::Failed;
    case ForwardResult::Cancelled:
      return std::nullopt;
  }
  return std::nullopt;
}

void
GateCall::OnEnd(ForwardResult aResult)
{
  if (m_stage != Stage::Running) {
    return;
  }
  const bool idempotent = m_hop.repeatPolicy == RepeatPolicy::Idempotent;
  if (aResult == ForwardResult::ReusedConnectionClosed && idempotent && !m_retried) {
    m_retried = true;
    Forward();
    return;
  }
  if (aResult == ForwardResult::NotSent) {
    m_gate.RecordConnectResult(false);
  }
  // A call that is forwarded again may have run the first time.
  if (aResult == ForwardResult::NotSent && !m_retried) {
    m_gate.ReleaseUnused(*this);
    RespondNotRun(HopOutcome::Rejected, "the target accepts no connections");
    return;
  }
  if (const auto end = EndAtTarget(aResult, m_responseKind, m_responseHead.status)) {
    CountEnd(*end);
  }
  if (aResult == ForwardResult::Complete && m_responseKind == TargetResponseKind::Usable) {
    m_gate.RecordRun(m_hop, m_request);
  }
  if (aResult == ForwardResult::Complete && m_responseKind != TargetResponseKind::Usable &&
      m_responseKind != TargetResponseKind::Unusable) {
    m_gate.ReleaseUnused(*this);
  } else {
    ReleaseSlot();
  }
  if (aResult == ForwardResult::Broken) {
    m_gate.RecordOutcome(TargetFailureTracker::Outcome::Failed);
  }
  if (aResult == ForwardResult::Broken || aResult == ForwardResult::ReusedConnectionClosed ||
      aResult == ForwardResult::NotSent) {
    m_gate.m_crashWatch.RecordBreak(
      { .target = m_targetName,
        .address = m_targetAddress,
        .fingerprint = RequestFingerprint(m_hop.route, m_hop.team, m_request) });
  }
  if (m_streaming) {
    MarkEnded();
    m_exchange->Finish(aResult == ForwardResult::Complete);
    ReleaseMessages();
    return;
  }
  if (aResult == ForwardResult::Complete && m_responseKind != TargetResponseKind::Unusable) {
    OnResponseComplete();
    return;
  }
  const bool timedOut = aResult == ForwardResult::TimedOut;
  const std::string reason = aResult == ForwardResult::Complete ? "the target's response can't be passed on"
                             : timedOut ? "the target gave no answer before the deadline"
                                        : "the connection to the target broke";
  Log(Event::CallUnknown, { { "call", m_hop.callId }, { "target", m_targetName }, { "reason", reason } });
  RespondWithError(timedOut ? 504 : 502, HopOutcome::Unknown, reason);
}

// --- after the call --------------------------------------------------------------------------------------

std::chrono::milliseconds
GateCall::AbandonedTime() const
{
  const bool canWatch = m_gate.m_abandonedCalls->Value() < kMaximumAbandonedCalls;
  return canWatch ? kAbandonedTime : std::chrono::milliseconds(0);
}

void
GateCall::OnAbandoned()
{
  m_gate.m_abandonedCalls->Increment();
  m_abandonedFingerprint = RequestFingerprint(m_hop.route, m_hop.team, m_request);
}

void
GateCall::OnAbandonedEnd(ForwardResult aResult)
{
  m_gate.m_abandonedCalls->Decrement();
  if (aResult == ForwardResult::Complete && m_responseKind == TargetResponseKind::Usable) {
    m_gate.RecordRun(m_abandonedFingerprint);
  }
  const bool hasConnectionEnded =
    aResult == ForwardResult::Broken || aResult == ForwardResult::ReusedConnectionClosed;
  if (hasConnectionEnded) {
    m_gate.m_crashWatch.RecordBreak({ .target = m_targetName,
                                      .address = m_targetAddress,
                                      .fingerprint = m_abandonedFingerprint,
                                      .isAbandoned = true });
  }
}

// --- end of the response ---------------------------------------------------------------------------------

void
GateCall::OnResponseComplete()
{
  if (m_responseKind == TargetResponseKind::OtherTarget) {
    m_gate.m_options.onTargetLost(m_targetName);
    RespondWithError(503, HopOutcome::NotRun, "another target has the address");
    return;
  }
  if (m_responseKind == TargetResponseKind::NotRun) {
    RespondNotRun(HopOutcome::NotRun, "the target refused the call");
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
    const HttpResponse response{ .status = self->m_responseHead.status,
                                 .headers = self->m_responseHead.headers,
                                 .body = self->m_bufferedBody };
    self->m_gate.m_options.claims->Complete(
      *self->m_claim, response, SteadyClock::now() + kClaimUpdateTimeout);
    self->m_loop.Dispatch([self, response] { self->RespondWith(response, HopOutcome::Answered); });
  };
  if (!m_gate.m_workers->Post(store)) {
    // Responding matters more than storing the response; without it, a repeated call gets "unknown".
    RespondWith(
      { .status = m_responseHead.status, .headers = m_responseHead.headers, .body = m_bufferedBody },
      HopOutcome::Answered);
  }
}

bool
GateCall::ReleaseClaim()
{
  const bool released = m_gate.m_options.claims->Release(*m_claim, SteadyClock::now() + kClaimUpdateTimeout);
  Log(Event::ClaimReleased,
      { { "call", m_hop.callId }, { "key", m_claim->key }, { "released", released ? "yes" : "no" } });
  return released;
}

void
GateCall::RespondNotRun(HopOutcome aOutcome, const std::string& aReason)
{
  if (!HasClaim()) {
    RespondWithError(503, aOutcome, aReason);
    return;
  }
  // Another gate can claim the key only after its release.
  const bool posted = m_gate.m_workers->Post([self = shared_from_this(), aOutcome, aReason] {
    const HopOutcome outcome = self->ReleaseClaim() ? aOutcome : HopOutcome::RejectedFinally;
    self->m_loop.Dispatch([self, outcome, aReason] { self->RespondWithError(503, outcome, aReason); });
  });
  if (!posted) {
    RespondWithError(503, HopOutcome::RejectedFinally, aReason);
  }
}

} // namespace mimosarun
