#include "caller/entrycall.h"

#include "caller/callwait.h"
#include "caller/entry.h"
#include "caller/gaterequest.h"
#include "common/log.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/** Time after a call's deadline in which a refusal by the gate may still arrive. */
static constexpr std::chrono::milliseconds kRefusalGrace{ 30 };
/** A short call without a response after this many median times may be on a stalled connection. */
static constexpr int kStalledConnectionFactor = 10;
/** Gives a gate time to detect the broken connection before the call is resent to it. */
static constexpr std::chrono::milliseconds kResendDelay{ 30 };
static constexpr const char* kCredentialExpired =
  "the entry lost contact to control and can no longer check the key; use another";

EntryCall::EntryCall(Entry& aEntry, ExchangePointer aExchange, CallOptions aOptions)
  : m_entry(aEntry)
  , m_registry(m_entry.m_calls)
  , m_exchange(std::move(aExchange))
  , m_loop(m_exchange->Loop())
  , m_options(std::move(aOptions))
  , m_receivedAt(m_exchange->ReceivedAt())
  , m_service(m_entry.m_splitter.NextService(*m_options.route))
  , m_timers(m_loop)
  , m_response(m_entry, m_exchange, m_options)
  , m_attempts(m_entry.m_balancer, *m_options.route)
  , m_gateSelector(m_entry, m_options, m_service)
{
  ++m_entry.m_openCalls;
}

EntryCall::~EntryCall()
{
  m_entry.ReleaseLimit(m_options.route->limit);
  --m_entry.m_openCalls;
  const std::lock_guard lock(m_registry->mutex);
  m_registry->calls.erase(this);
}

// --- Sending ---------------------------------------------------------------------------------------------

void
EntryCall::Start()
{
  const auto self = shared_from_this();
  {
    const std::lock_guard lock(m_registry->mutex);
    m_registry->calls[this] = self;
  }
  m_exchange->OnCancel([self] { self->OnCallerDisconnected(); });
  m_entry.m_retryBudget.RecordRequest(m_service, m_receivedAt);
  m_entry.m_hedgeBudget.RecordRequest(m_service, m_receivedAt);
  StartTimers();
  if (m_options.route->Idempotent()) {
    SendWithinQuota();
    return;
  }
  // The response to an earlier request may close the connection, and the caller would then resend this one.
  m_exchange->OnFirstInPipeline([weak = weak_from_this()] {
    if (const auto call = weak.lock()) {
      call->SendWithinQuota();
    }
  });
}

void
EntryCall::SendWithinQuota()
{
  QuotaPool* const pool = m_entry.m_options.quota;
  if (m_decided || pool == nullptr || m_options.team.empty()) {
    SendFirst();
    return;
  }
  m_quota = std::make_shared<QuotaAdmission>(*pool, m_options.team, m_loop);
  m_quota->Request(
    SteadyClock::now(), m_options.deadline, [weak = weak_from_this()](const QuotaVerdict& aVerdict) {
      if (const auto call = weak.lock()) {
        call->OnQuota(aVerdict);
      }
    });
}

void
EntryCall::OnQuota(const QuotaVerdict& aVerdict)
{
  if (aVerdict.decision == QuotaDecision::Admitted) {
    SendFirst();
    return;
  }
  m_quotaRetryAfter = aVerdict.retryAfter;
  m_response.SetStopReason(StopReason::Quota);
  Refuse(429, "the quota of team '" + m_options.team + "' is used up");
}

void
EntryCall::StartTimers()
{
  const auto start = [this](CallTimers::Timer aTimer, Deadline aAt, void (EntryCall::*aFunction)()) {
    m_timers.Start(aTimer, aAt, [weak = weak_from_this(), aFunction] {
      if (const auto call = weak.lock()) {
        ((*call).*aFunction)();
      }
    });
  };
  start(CallTimers::Timer::Deadline, m_options.deadline + kRefusalGrace, &EntryCall::OnDeadline);
  if (!m_options.route->Idempotent()) {
    return;
  }
  start(CallTimers::Timer::HalfTime,
        m_receivedAt + (m_options.deadline - m_receivedAt) / 2,
        &EntryCall::OnHalfTime);
  const std::chrono::microseconds hedgeDelay = m_entry.HedgeDelay(*m_options.route);
  if (hedgeDelay.count() > 0) {
    start(CallTimers::Timer::Hedge, m_receivedAt + hedgeDelay, &EntryCall::OnHedgeTime);
  }
}

void
EntryCall::SendFirst()
{
  if (!m_decided && !SendNext()) {
    GiveUp(503,
           m_response.LastStopReason() == StopReason::CredentialExpired
             ? kCredentialExpired
             : "no target of the service accepts calls");
  }
}

bool
EntryCall::SendNext(const std::set<std::string>& aAvoidedGates)
{
  const auto next = m_gateSelector.Next(
    { .request = m_exchange->Request(), .openAttempts = m_attempts.Count(), .avoidedGates = aAvoidedGates });
  if (const StopReason* const reason = std::get_if<StopReason>(&next)) {
    m_response.SetStopReason(*reason);
    return false;
  }
  Send(std::get<GateChoice>(next));
  return true;
}

void
EntryCall::Send(const GateChoice& aChoice)
{
  const auto attempt = std::make_shared<EntryAttempt>(shared_from_this(), aChoice);
  const std::string& node = aChoice.gate.node;
  const bool isCopy = m_copies.IsRepeating();
  attempt->m_usedRetryBudget = !isCopy && (m_gateSelector.HasReachedTarget() || !m_attempts.IsEmpty());
  if (!m_options.route->Idempotent()) {
    attempt->m_copy = m_copies.RecordSent();
  }
  m_attempts.Add(attempt);
  m_gateSelector.RecordSent();
  m_entry.m_balancer.RecordSent(node, m_options.route->callClass, attempt->m_sentAt);
  ForwardRequest request = MakeGateRequest({ .call = m_options,
                                             .request = m_exchange->Request(),
                                             .service = m_service,
                                             .choice = aChoice,
                                             .localService = m_entry.LocalService(),
                                             .isResent = isCopy },
                                           m_entry.m_options.codec,
                                           attempt->m_sentAt);
  request.deadline = m_options.deadline + 2 * kRefusalGrace;
  request.connectionGeneration = m_entry.m_balancer.ConnectionGeneration(node);
  attempt->m_forwardHandle = m_entry.m_options.forwarder->Start(m_loop, std::move(request), attempt);
  WatchForStall(attempt);
}

bool
EntryCall::ScheduleCopy(const EntryAttempt& aAttempt)
{
  const Deadline now = SteadyClock::now();
  if (!m_gateSelector.MaySendAgain() || now >= m_options.deadline) {
    return false;
  }
  const auto delay = aAttempt.m_isSilent ? std::chrono::milliseconds(0) : kResendDelay;
  m_loop.RunAt(now + delay, [weak = weak_from_this(), copy = m_copies.BeginCopy(), gate = aAttempt.m_gate] {
    if (const auto self = weak.lock()) {
      self->SendDueCopy(copy, gate);
    }
  });
  return true;
}

void
EntryCall::SendDueCopy(int aCopy, const GateInfo& aGate)
{
  if (m_decided || !m_copies.IsDue(aCopy)) {
    return;
  }
  if (!m_gateSelector.HasValidCredential()) {
    if (m_copies.CancelDueCopy() == NextStep::GiveUp) {
      GiveUp(502, kCredentialExpired);
    }
    return;
  }
  // The gate recognises the call and attaches this attempt to the earlier ones.
  Send({ .gate = aGate,
         .longestWait = m_gateSelector.LongestAllowedWait(SteadyClock::now()),
         .maxFailurePenalty = kUnlimitedPenalty });
}

bool
EntryCall::SendParallel()
{
  // If there is no other gate, the same one may be reachable over another connection.
  const bool sent = SendNext(m_attempts.Nodes()) || SendNext();
  if (sent) {
    m_entry.m_retryCounter->Increment();
  }
  return sent;
}

// --- Timers ----------------------------------------------------------------------------------------------

void
EntryCall::WatchForStall(const AttemptPointer& aAttempt)
{
  const Route& route = *m_options.route;
  // Only short calls are expected to be answered soon.
  if (!route.Idempotent() || route.callClass == CallClass::Long) {
    return;
  }
  const auto stallTime = m_entry.MedianCallTime(route) * kStalledConnectionFactor;
  const auto timeout = std::max(m_entry.m_balancer.StallTimeout(aAttempt->m_gate.node), stallTime);
  const Deadline at = SteadyClock::now() + timeout;
  if (at >= m_options.deadline) {
    return;
  }
  m_loop.RunAt(at, [weak = weak_from_this(), attempt = std::weak_ptr(aAttempt)] {
    if (const auto self = weak.lock()) {
      self->OnStall(attempt);
    }
  });
}

void
EntryCall::OnStall(const std::weak_ptr<EntryAttempt>& aAttempt)
{
  const auto attempt = aAttempt.lock();
  if (attempt == nullptr || m_decided || attempt->m_hopResponse) {
    return;
  }
  // The reused connection may be stalled, so later calls use new ones. The call may also just be slow, so it
  // is resent only after half of the time to its deadline.
  m_entry.m_balancer.RetireConnections(attempt->m_gate.node);
}

void
EntryCall::OnHalfTime()
{
  // A gate that responds to other calls is slow rather than unreachable, and more load would make it slower.
  if (!m_decided && !m_attempts.HasRespondingGate() && !m_attempts.IsEmpty()) {
    SendParallel();
  }
}

void
EntryCall::OnHedgeTime()
{
  const bool isOnlyAttempt = m_attempts.Count() == 1 && !m_attempts.HasResponse();
  if (!m_decided && isOnlyAttempt && m_entry.m_hedgeBudget.TrySpend(m_service, SteadyClock::now())) {
    SendParallel();
  }
}

void
EntryCall::OnDeadline()
{
  if (m_decided) {
    return;
  }
  m_mayHaveRun = MayHaveRun() || !m_attempts.IsEmpty();
  Refuse(504, "no response before the deadline");
  m_attempts.CancelExcept(nullptr);
}

void
EntryCall::OnEntryEnds()
{
  if (m_decided) {
    return;
  }
  m_mayHaveRun = MayHaveRun() || !m_attempts.IsEmpty();
  Refuse(MayHaveRun() ? 502 : 503, "the entry ended before the response arrived");
  m_attempts.CancelExcept(nullptr);
}

void
EntryCall::OnCallerDisconnected()
{
  if (m_decided) {
    m_response.RecordDisconnectDuringResponse();
  } else {
    m_mayHaveRun = MayHaveRun() || !m_attempts.IsEmpty();
    ReturnUnusedQuota();
    m_response.RecordDisconnect(MakeRefusal(0, "the caller disconnected"));
  }
  MarkDecided();
  m_attempts.CancelExcept(nullptr);
}

// --- Responses -------------------------------------------------------------------------------------------

void
EntryCall::FinishAttempt(EntryAttempt& aAttempt, AttemptOutcome aOutcome, const std::string& aOutcomeName)
{
  m_response.AddAttempt(m_attempts.Finish(aAttempt, aOutcome, aOutcomeName));
}

bool
EntryCall::BeginStreaming(EntryAttempt& aAttempt)
{
  if (m_decided) {
    return false;
  }
  MarkDecided();
  m_streamedAttempt = &aAttempt;
  m_attempts.CancelExcept(&aAttempt);
  m_response.BeginStreaming(aAttempt.m_head, std::exchange(aAttempt.m_body, {}), aAttempt.m_forwardHandle);
  return true;
}

void
EntryCall::OnSilence(EntryAttempt& aAttempt)
{
  if (m_decided) {
    return;
  }
  // Later calls use new connections, which may work though this one doesn't.
  m_entry.m_balancer.RetireConnections(aAttempt.m_gate.node);
  m_response.AddAttempt(m_attempts.RecordSilence(aAttempt));
  if (!m_options.route->Idempotent()) {
    TakeStep(m_copies.OnSilence(aAttempt.m_copy), aAttempt);
    return;
  }
  if (SendParallel()) {
    Log(Event::CallRetried, { { "call", m_options.callId }, { "reason", "silent" } });
  }
  m_gateSelector.Exclude(aAttempt.m_gate.node);
}

void
EntryCall::OnAttemptAnswered(EntryAttempt& aAttempt)
{
  const int status = aAttempt.m_head.status;
  const bool failed = status >= 500;
  m_entry.RecordCallSize(*m_options.route, m_exchange->Request().body.size() + aAttempt.m_bodyBytes);
  FinishAttempt(aAttempt, failed ? AttemptOutcome::Failed : AttemptOutcome::Answered, "complete");
  m_gateSelector.RecordTargetAttempt();
  if (m_streamedAttempt == &aAttempt) {
    m_response.FinishStreaming(true);
    return;
  }
  if (m_decided) {
    return;
  }
  if (failed && m_options.route->Idempotent()) {
    m_gateSelector.Exclude(aAttempt.m_gate.node);
    m_failedResponse = HttpResponse{ .status = status,
                                     .headers = std::move(aAttempt.m_head.headers),
                                     .body = std::move(aAttempt.m_body) };
    if (m_attempts.HasLiveAttempt() || SendNext()) {
      return;
    }
    GiveUp(502, "the target failed");
    return;
  }
  Respond(std::move(aAttempt.m_head), std::move(aAttempt.m_body));
}

void
EntryCall::OnRejected(EntryAttempt& aAttempt)
{
  FinishAttempt(aAttempt, AttemptOutcome::Rejected, "not-run");
  if (aAttempt.m_hopResponse->queueWait.count() > 0 && !aAttempt.m_expectsRejection) {
    m_entry.m_choiceMetrics.RecordFullerGate();
  }
  if (aAttempt.m_usedRetryBudget) {
    m_entry.m_retryBudget.Refund(m_service, SteadyClock::now());
  }
  if (m_decided) {
    return;
  }
  m_gateSelector.RecordRejection({ .node = aAttempt.m_gate.node,
                                   .queueWait = aAttempt.m_hopResponse->queueWait,
                                   .failurePenalty = aAttempt.m_hopResponse->failurePenalty,
                                   .maxFailurePenalty = aAttempt.m_maxFailurePenalty });
  const bool isRejectedFinally = aAttempt.m_hopResponse->outcome == HopOutcome::RejectedFinally;
  const NextStep step = StepAfterNotRun(aAttempt);
  if (step == NextStep::UseOtherGate ? !isRejectedFinally && SendNext() : TakeStep(step, aAttempt)) {
    return;
  }
  if (m_attempts.IsEmpty()) {
    GiveUp(aAttempt.m_head.status, aAttempt.m_body);
  }
}

void
EntryCall::OnNotRun(EntryAttempt& aAttempt)
{
  FinishAttempt(aAttempt, AttemptOutcome::Rejected, "not-run");
  m_gateSelector.RecordTargetAttempt();
  if (m_decided) {
    return;
  }
  m_gateSelector.Exclude(aAttempt.m_gate.node);
  const NextStep step = StepAfterNotRun(aAttempt);
  if (step != NextStep::UseOtherGate && TakeStep(step, aAttempt)) {
    return;
  }
  if (step == NextStep::UseOtherGate && SendNext()) {
    m_entry.m_retryCounter->Increment();
    Log(Event::CallRetried, { { "call", m_options.callId }, { "reason", aAttempt.m_body } });
    return;
  }
  if (m_attempts.IsEmpty()) {
    GiveUp(503, aAttempt.m_body);
  }
}

NextStep
EntryCall::StepAfterNotRun(const EntryAttempt& aAttempt)
{
  if (m_options.route->Idempotent()) {
    return NextStep::UseOtherGate;
  }
  const NextStep step = m_copies.OnEnd(aAttempt.m_copy, CopyEnd::NotRun);
  if (step == NextStep::UseOtherGate) {
    m_attempts.CancelExcept(nullptr);
  }
  return step;
}

bool
EntryCall::TakeStep(NextStep aStep, const EntryAttempt& aAttempt)
{
  if (aStep == NextStep::SendCopy && ScheduleCopy(aAttempt)) {
    return true;
  }
  return aStep == NextStep::Wait || !m_attempts.IsEmpty();
}

void
EntryCall::OnAttemptFailed(EntryAttempt& aAttempt, ForwardResult aResult)
{
  m_response.AddAttempt(m_attempts.FinishFailed(aAttempt, aResult));
  if (m_streamedAttempt == &aAttempt) {
    m_response.FinishStreaming(false);
    return;
  }
  if (m_decided) {
    return;
  }
  const bool wasSent = aResult != ForwardResult::NotSent;
  if (!wasSent && aAttempt.m_usedRetryBudget) {
    m_entry.m_retryBudget.Refund(m_service, SteadyClock::now());
  }
  const bool canContinue =
    m_options.route->Idempotent() ? RetryElsewhere(aAttempt, aResult) : ContinueWithCopies(aAttempt, aResult);
  if (canContinue) {
    return;
  }
  const bool isReportedByGate = aResult == ForwardResult::Complete;
  const bool isLate = aResult == ForwardResult::TimedOut || aAttempt.m_head.status == 504;
  GiveUp(!MayHaveRun() ? 503
         : isLate      ? 504
                       : 502,
         isReportedByGate ? aAttempt.m_body : "the connection to the gate broke");
}

bool
EntryCall::RetryElsewhere(const EntryAttempt& aAttempt, ForwardResult aResult)
{
  const bool wasSent = aResult != ForwardResult::NotSent;
  m_gateSelector.Exclude(aAttempt.m_gate.node);
  m_mayHaveRun = m_mayHaveRun || wasSent;
  if (wasSent) {
    m_gateSelector.RecordTargetAttempt();
  }
  const bool isReplaced = aAttempt.m_isSilent && m_attempts.HasLiveAttempt();
  if (isReplaced || !SendNext()) {
    return !m_attempts.IsEmpty();
  }
  if (wasSent) {
    m_entry.m_retryCounter->Increment();
    Log(Event::CallRetried, { { "call", m_options.callId }, { "reason", NameOf(aResult) } });
  }
  return true;
}

bool
EntryCall::ContinueWithCopies(const EntryAttempt& aAttempt, ForwardResult aResult)
{
  const CopyEnd end = aResult == ForwardResult::NotSent    ? CopyEnd::NotSent
                      : aResult == ForwardResult::Complete ? CopyEnd::Unknown
                                                           : CopyEnd::Lost;
  const NextStep step = m_copies.OnEnd(aAttempt.m_copy, end);
  if (step != NextStep::UseOtherGate) {
    return TakeStep(step, aAttempt);
  }
  m_gateSelector.Exclude(aAttempt.m_gate.node);
  return SendNext();
}

void
EntryCall::GiveUp(int aStatus, const std::string& aReason)
{
  if (m_failedResponse) {
    HttpResponseHead head{ .status = m_failedResponse->status,
                           .headers = std::move(m_failedResponse->headers) };
    Respond(std::move(head), std::move(m_failedResponse->body));
    return;
  }
  // Statuses 503 and 429 mean that the call didn't run, so they are used only if no attempt may have run.
  const bool meansNotRun = aStatus == 503 || aStatus == 429;
  Refuse(meansNotRun && MayHaveRun() ? 502 : aStatus, aReason);
}

void
EntryCall::Respond(HttpResponseHead aHead, std::string aBody)
{
  MarkDecided();
  m_attempts.CancelExcept(nullptr);
  m_response.Respond(std::move(aHead), std::move(aBody));
}

void
EntryCall::Refuse(int aStatus, const std::string& aReason)
{
  MarkDecided();
  ReturnUnusedQuota();
  m_response.Refuse(MakeRefusal(aStatus, aReason));
}

CallRefusal
EntryCall::MakeRefusal(int aStatus, const std::string& aReason) const
{
  const bool mayHaveRun = MayHaveRun();
  return { .status = aStatus,
           .reason = aReason,
           .mayHaveRun = mayHaveRun,
           .retryAfter = m_quotaRetryAfter ? RetryAfterQuota(*m_quotaRetryAfter)
                                           : RetryAfter(m_gateSelector.LongestReportedWait()),
           .untriedGates = mayHaveRun ? 0 : m_gateSelector.CountUntriedGates() };
}

void
EntryCall::ReturnUnusedQuota()
{
  if (m_quota && !MayHaveRun()) {
    m_quota->Cancel();
  }
}

void
EntryCall::MarkDecided()
{
  m_decided = true;
  m_timers.CancelAll();
}

} // namespace mimosarun
