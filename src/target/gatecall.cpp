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

static std::optional<ClaimKey>
ClaimOf(const HopRequest& aHop, const HttpRequest& aRequest)
{
  const std::string key = FindHeader(aRequest.headers, kIdempotencyHeader);
  if (aHop.repeat != RepeatPolicy::Keyed || key.empty()) {
    return std::nullopt;
  }
  return ClaimKey{ .homeRegion = aHop.homeRegion,
                   .service = aHop.service,
                   .key = key,
                   .token = RandomIdentifier(),
                   .fingerprint =
                     Sha256(aRequest.method + "\n" + aRequest.target + "\n" + aRequest.body).substr(0, 32) };
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
GateCall::Admission() const
{
  const auto wait = std::max(m_hop.longestWait, kLeastWait) * kWaitSlack;
  return { .call = m_number,
           .callClass = m_hop.callClass,
           .kind = m_hop.route,
           .priority = m_hop.priority,
           .deadline = m_deadline,
           .objective = m_exchange->ReceivedAt() + m_hop.objectiveLeft,
           .expectedCost = m_hop.expectedCost,
           .giveBackAt = m_exchange->ReceivedAt() + wait,
           .longestWait = m_hop.longestWait };
}

void
GateCall::Watch()
{
  m_exchange->OnCancel([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnOtherEndGone();
    }
  });
}

// --- before the target -----------------------------------------------------------------------------------

void
GateCall::Admitted()
{
  m_loop.Dispatch([self = shared_from_this()] { self->Start(); });
}

void
GateCall::Start()
{
  m_stage = Stage::Running;
  m_admittedAt = SteadyClock::now();
  if (m_cancelled && !Claimed()) {
    m_gate.ReleaseUnused(*this);
    m_stage = Stage::Ended;
    return;
  }
  if (!Claimed()) {
    Forward();
    return;
  }
  const bool posted =
    m_gate.m_workers && m_gate.m_workers->Post([self = shared_from_this()] { self->ClaimThenForward(); });
  if (!posted) {
    m_gate.ReleaseUnused(*this);
    Refuse(503, HopOutcome::TurnedBack, "too many claims wait at the gate");
  }
}

void
GateCall::ClaimThenForward()
{
  ClaimResult claim = m_gate.m_options.claims->Claim(*m_claim, m_deadline - kRefusalTime);
  m_loop.Dispatch([self = shared_from_this(), claim = std::move(claim)] { self->OnClaim(claim); });
}

void
GateCall::OnClaim(const ClaimResult& aClaim)
{
  if (aClaim.verdict == ClaimVerdict::Granted) {
    Log(Event::ClaimGranted, { { "call", m_hop.call }, { "key", m_claim->key } });
    Forward();
    return;
  }
  m_gate.ReleaseUnused(*this);
  const bool answered = aClaim.verdict == ClaimVerdict::Answered;
  if (answered || aClaim.verdict == ClaimVerdict::Taken) {
    Log(Event::ClaimRepeated,
        { { "call", m_hop.call }, { "key", m_claim->key }, { "answer", answered ? "first" : "unknown" } });
  }
  switch (aClaim.verdict) {
    case ClaimVerdict::Granted:
      return;
    case ClaimVerdict::Answered:
      RespondWith(aClaim.answer, HopOutcome::Answered);
      return;
    case ClaimVerdict::Taken:
      Refuse(
        504, HopOutcome::Unknown, "another attempt holds this idempotency key; its outcome isn't known yet");
      return;
    case ClaimVerdict::Mismatch:
      Refuse(422, HopOutcome::Refused, "this idempotency key was used for another request; choose a new key");
      return;
    case ClaimVerdict::Unavailable:
      Refuse(
        503, HopOutcome::Refused, "the home region's quorum can't be reached to claim the idempotency key");
      GiveClaimBack();
      return;
  }
}

void
GateCall::Forward()
{
  const std::optional<TargetState> target = m_gate.TargetFor(m_hop.service);
  const Deadline now = SteadyClock::now();
  if (!target || now >= m_deadline) {
    m_gate.ReleaseUnused(*this);
    Refuse(503, HopOutcome::TurnedBack, "the target stopped taking calls");
    GiveClaimBack();
    return;
  }
  m_target = target->name;
  HttpRequest request = m_request;
  m_gate.m_options.codec.prepare(
    request.headers, { .call = m_hop.call, .target = m_target, .timeLeft = TimeLeft(m_deadline, now) });
  const Deadline deadline = Claimed() ? std::max(m_deadline, now + kClaimedCallTime) : m_deadline;
  const bool once = m_hop.repeat != RepeatPolicy::Idempotent;
  const auto idle = m_secondTry ? std::chrono::milliseconds(0) : once ? kLongestIdleOnce : kLongestIdle;
  m_ticket = m_gate.m_options.forwarder->Start(m_loop,
                                               { .to = target->address,
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
GateCall::TurnBack(HopOutcome aOutcome, const std::string& aReason)
{
  m_loop.Dispatch([self = shared_from_this(), aOutcome, aReason] {
    self->Refuse(aOutcome == HopOutcome::Unknown ? 502 : 503, aOutcome, aReason);
  });
}

void
GateCall::Refuse(int aStatus, HopOutcome aOutcome, const std::string& aReason)
{
  m_gate.m_refused->Increment();
  const bool mayComeAgain = aOutcome != HopOutcome::Unknown && m_hop.sentToLife == 0;
  if (mayComeAgain && m_hop.repeat != RepeatPolicy::Idempotent) {
    m_gate.m_onceCalls.Forget(m_hop.call);
  }
  RespondWith({ .status = aStatus, .headers = {}, .body = aReason }, aOutcome);
}

void
GateCall::RespondWith(HttpResponse aResponse, HopOutcome aOutcome)
{
  m_stage = Stage::Ended;
  m_abandonTimer.cancel();
  HopAnswer hop = m_gate.Load(*this);
  hop.outcome = aOutcome;
  WriteHop(aResponse.headers, hop);
  const bool final =
    aOutcome == HopOutcome::Answered || aOutcome == HopOutcome::Unknown || m_hop.sentToLife != 0;
  if (final && m_hop.repeat != RepeatPolicy::Idempotent) {
    m_answer = aResponse;
  }
  m_exchange->Respond(std::move(aResponse));
}

// --- the other end ---------------------------------------------------------------------------------------

void
GateCall::Join(const ExchangePointer& aExchange)
{
  m_loop.Dispatch([self = shared_from_this(), aExchange] {
    self->m_abandonTimer.cancel();
    if (self->m_answer) {
      aExchange->Respond(*self->m_answer);
      return;
    }
    if (self->m_stage == Stage::Ended || self->m_streaming || &aExchange->Loop() != &self->m_loop) {
      HttpResponse response{ .status = 502, .headers = {}, .body = "the answer of the first try is lost" };
      HopAnswer hop;
      hop.outcome = HopOutcome::Unknown;
      WriteHop(response.headers, hop);
      aExchange->Respond(std::move(response));
      return;
    }
    self->m_cancelled = false;
    self->m_exchange->OnCancel({});
    self->m_exchange = aExchange;
    self->Watch();
  });
}

void
GateCall::OnOtherEndGone()
{
  m_cancelled = true;
  if (Claimed()) {
    // It goes on, so that its outcome is stored.
    return;
  }
  if (m_stage == Stage::Waiting || m_hop.repeat == RepeatPolicy::Idempotent) {
    Abandon();
    return;
  }
  m_abandonTimer.expires_after(kRejoinTime);
  m_abandonTimer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError && self->m_cancelled) {
      self->Abandon();
    }
  });
}

void
GateCall::Abandon()
{
  if (m_stage == Stage::Waiting) {
    m_gate.Withdraw(*this);
    if (m_hop.repeat != RepeatPolicy::Idempotent) {
      m_gate.m_onceCalls.Forget(m_hop.call);
    }
    return;
  }
  if (m_stage == Stage::Running) {
    m_stage = Stage::Ended;
    m_ticket.Cancel();
    ReleaseSlot();
  }
}

// --- answer of the target --------------------------------------------------------------------------------

HeadVerdict
GateCall::OnHead(const HttpHead& aHead)
{
  m_gate.NoteConnecting(true);
  const TargetCall call{ .call = m_hop.call, .target = m_target };
  m_verdict = m_gate.m_options.codec.judge(aHead, call);
  if (m_verdict == TargetVerdict::Foreign) {
    return HeadVerdict::Skip;
  }
  m_head = aHead;
  const bool well = m_verdict == TargetVerdict::Answer && aHead.status < kServerErrors;
  m_gate.NoteOutcome(well ? TargetTrust::Outcome::Well : TargetTrust::Outcome::Failed);
  if (m_verdict == TargetVerdict::Answer && aHead.length.value_or(0) > kCollectLimitBytes) {
    StartStreaming();
  }
  return HeadVerdict::Accept;
}

void
GateCall::StartStreaming()
{
  if (Claimed()) {
    // Too large to be stored; the claim stays without an outcome.
    m_claim.reset();
  }
  m_streaming = true;
  HttpHead head = m_head;
  HopAnswer hop = m_gate.Load(*this);
  hop.outcome = HopOutcome::Answered;
  WriteHop(head.headers, hop);
  m_exchange->OnDrain([ticket = m_ticket] { ticket.Resume(); });
  m_exchange->Start(std::move(head));
  if (!m_collected.empty()) {
    m_exchange->Write(std::exchange(m_collected, {}));
  }
}

bool
GateCall::OnBody(std::string_view aBytes)
{
  if (m_verdict != TargetVerdict::Answer) {
    return true;
  }
  if (m_streaming) {
    return m_exchange->Write(aBytes);
  }
  m_collected.append(aBytes);
  if (m_collected.size() > kCollectLimitBytes) {
    StartStreaming();
  }
  return true;
}

void
GateCall::OnEnd(ForwardEnd aEnd)
{
  if (m_stage != Stage::Running) {
    return;
  }
  const bool idempotent = m_hop.repeat == RepeatPolicy::Idempotent;
  if (aEnd == ForwardEnd::KeptConnectionClosed && idempotent && !m_secondTry) {
    m_secondTry = true;
    Forward();
    return;
  }
  if (aEnd == ForwardEnd::NotSent) {
    m_gate.NoteConnecting(false);
    m_gate.ReleaseUnused(*this);
    Refuse(503, HopOutcome::TurnedBack, "the target takes no connections");
    GiveClaimBack();
    return;
  }
  if (aEnd == ForwardEnd::Complete && m_verdict != TargetVerdict::Answer &&
      m_verdict != TargetVerdict::Damaged) {
    m_gate.ReleaseUnused(*this);
  } else {
    ReleaseSlot();
  }
  if (m_streaming) {
    m_stage = Stage::Ended;
    m_exchange->Finish(aEnd == ForwardEnd::Complete);
    return;
  }
  if (aEnd == ForwardEnd::Complete && m_verdict != TargetVerdict::Damaged) {
    FinishAnswered();
    return;
  }
  if (aEnd == ForwardEnd::Broken) {
    m_gate.NoteOutcome(TargetTrust::Outcome::Failed);
  }
  const bool late = aEnd == ForwardEnd::TimedOut;
  const std::string reason = aEnd == ForwardEnd::Complete ? "the target's answer is damaged"
                             : late                       ? "the target gave no answer before the deadline"
                                                          : "the connection to the target broke";
  Log(Event::CallUnknown, { { "call", m_hop.call }, { "target", m_target }, { "reason", reason } });
  Refuse(late ? 504 : 502, HopOutcome::Unknown, reason);
}

void
GateCall::FinishAnswered()
{
  if (m_verdict == TargetVerdict::OtherTarget) {
    m_gate.m_options.onLoss(m_target);
    Refuse(503, HopOutcome::NotRun, "another target has the address");
    return;
  }
  if (m_verdict == TargetVerdict::NotRun) {
    Refuse(503, HopOutcome::NotRun, "the target refused the call");
    GiveClaimBack();
    return;
  }
  if (Claimed()) {
    StoreThenRespond();
    return;
  }
  RespondWith({ .status = m_head.status, .headers = m_head.headers, .body = std::move(m_collected) },
              HopOutcome::Answered);
}

void
GateCall::StoreThenRespond()
{
  const auto store = [self = shared_from_this()] {
    const HttpResponse answer{ .status = self->m_head.status,
                               .headers = self->m_head.headers,
                               .body = self->m_collected };
    self->m_gate.m_options.claims->Complete(*self->m_claim, answer, SteadyClock::now() + kRecordTime);
    self->m_loop.Dispatch([self, answer] { self->RespondWith(answer, HopOutcome::Answered); });
  };
  if (!m_gate.m_workers->Post(store)) {
    // The answer counts more than the record of it; without the record, a repetition gets "unknown".
    RespondWith({ .status = m_head.status, .headers = m_head.headers, .body = m_collected },
                HopOutcome::Answered);
  }
}

void
GateCall::GiveClaimBack()
{
  if (!Claimed()) {
    return;
  }
  m_gate.m_workers->Post([self = shared_from_this()] {
    const bool released =
      self->m_gate.m_options.claims->Release(*self->m_claim, SteadyClock::now() + kRecordTime);
    Log(Event::ClaimReleased,
        { { "call", self->m_hop.call },
          { "key", self->m_claim->key },
          { "released", released ? "yes" : "no" } });
  });
}

} // namespace mimosarun
