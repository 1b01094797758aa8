#include "caller/entrycall.h"

#include "caller/callwait.h"
#include "caller/entry.h"
#include "common/log.h"
#include "common/random.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/** What a gate adds at most to the head of a response: its own header, and a space in each line. */
static constexpr uint32_t kGateHeadBytes = 32U * 1024;
/** Time after a call's deadline in which a refusal by the gate may still arrive. */
static constexpr std::chrono::milliseconds kRefusalGrace{ 30 };
/** A short call without a response after this many median times may be on a stalled connection. */
static constexpr int kStalledConnectionFactor = 10;
/** Value in the request header that means any failure penalty. */
static constexpr std::chrono::hours kUnlimitedPenalty{ 1 };
static constexpr std::chrono::milliseconds kConnectTimeout{ 250 };
/** Longest time without TCP acknowledgement; a gate whose VM is down or cut off acknowledges nothing. */
static constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 600 };
/** Gives a gate time to detect the broken connection before the call is resent to it. */
static constexpr std::chrono::milliseconds kResendDelay{ 30 };
static constexpr std::chrono::milliseconds kQuotaRetrySpread{ 200 };
static constexpr const char* kCredentialExpired =
  "the entry lost contact to control and can no longer check the key; use another";
/** Retries of calls beyond a quota are spread over the time until it has room, divided by this. */
static constexpr int kQuotaRetrySpreadDivisor = 2;

static const char*
OutcomeName(ForwardResult aResult)
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

static std::chrono::microseconds
Since(Deadline aStart)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - aStart);
}

EntryCall::EntryCall(Entry& aEntry, ExchangePointer aExchange, Options aOptions)
  : m_entry(aEntry)
  , m_registry(m_entry.m_calls)
  , m_exchange(std::move(aExchange))
  , m_loop(m_exchange->Loop())
  , m_options(std::move(aOptions))
  , m_receivedAt(m_exchange->ReceivedAt())
  , m_service(m_entry.m_splitter.NextService(*m_options.route))
  , m_deadlineTimer(m_loop.Context())
  , m_hedgeTimer(m_loop.Context())
  , m_halfTimer(m_loop.Context())
{
  m_record.callId = m_options.callId;
  m_record.route = m_options.route->name;
  m_record.version = m_options.snapshot->version;
  m_record.team = m_options.team;
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
  m_quota->Request(SteadyClock::now(), [weak = weak_from_this()](const QuotaVerdict& aVerdict) {
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
  StopSending(StopReason::Quota);
  Refuse(429, "the quota of team '" + m_options.team + "' is used up");
}

static void
StartTimer(boost::asio::steady_timer& aTimer,
           Deadline aAt,
           const std::weak_ptr<EntryCall>& aCall,
           void (EntryCall::*aFunction)())
{
  aTimer.expires_at(aAt);
  aTimer.async_wait([aCall, aFunction](const boost::system::error_code& aError) {
    const auto call = aCall.lock();
    if (call && !aError) {
      ((*call).*aFunction)();
    }
  });
}

void
EntryCall::StartTimers()
{
  StartTimer(m_deadlineTimer, m_options.deadline + kRefusalGrace, weak_from_this(), &EntryCall::OnDeadline);
  if (!m_options.route->Idempotent()) {
    return;
  }
  StartTimer(m_halfTimer,
             m_receivedAt + (m_options.deadline - m_receivedAt) / 2,
             weak_from_this(),
             &EntryCall::OnHalfTime);
  const std::chrono::microseconds hedgeDelay = m_entry.HedgeDelay(*m_options.route);
  if (hedgeDelay.count() > 0) {
    StartTimer(m_hedgeTimer, m_receivedAt + hedgeDelay, weak_from_this(), &EntryCall::OnHedgeTime);
  }
}

void
EntryCall::SendFirst()
{
  if (!m_decided && !SendNext()) {
    GiveUp(503,
           m_record.stopReason == StopReason::CredentialExpired ? kCredentialExpired
                                                                : "no target of the service accepts calls");
  }
}

bool
EntryCall::HasValidCredential() const
{
  return m_entry.m_credentials.MaySend(*m_options.snapshot, *m_options.route, SteadyClock::now());
}

CallTimes
EntryCall::Times() const
{
  return { .objective = m_options.objectiveDeadline,
           .deadline = m_options.deadline,
           .medianTime = m_entry.MedianCallTime(*m_options.route) };
}

std::chrono::microseconds
EntryCall::LongestAllowedWait(Deadline aNow) const
{
  return mimosarun::LongestAllowedWait(Times(), aNow);
}

StopReason
EntryCall::ReserveAttempt()
{
  // An open attempt may still reach a target, so it counts too.
  const int64_t attempts = m_targetAttempts + static_cast<int64_t>(m_attempts.size());
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
EntryCall::SendNext()
{
  const Deadline now = SteadyClock::now();
  if (now >= m_options.deadline) {
    return StopSending(StopReason::NoTime);
  }
  if (m_entry.QuarantinedUntil(*m_options.route, m_exchange->Request(), now)) {
    return StopSending(StopReason::Quarantined);
  }
  if (!HasValidCredential()) {
    return StopSending(StopReason::CredentialExpired);
  }
  if (m_gateAttempts >= kMaxGateAttempts) {
    return StopSending(StopReason::GateAttemptLimit);
  }
  std::optional<GateChoice> choice = ChooseGate(now);
  if (!choice) {
    return StopSending(m_triedGates.rejectionWaits.empty() ? StopReason::NoGate : StopReason::WaitTooLong);
  }
  if (choice->expectsRejection && m_triedGates.rejectionWaits.size() >= kRejectionsToGiveUp) {
    return StopSending(StopReason::WaitTooLong);
  }
  const std::chrono::microseconds longestWait = LongestAllowedWait(now);
  const bool wasRejected = m_triedGates.rejectionWaits.contains(choice->gate.node);
  if (const StopReason reason = ReserveAttempt(); reason != StopReason::None) {
    return StopSending(reason);
  }
  choice->isLastResort = wasRejected;
  choice->longestWait = wasRejected ? longestWait : std::min(choice->longestWait, longestWait);
  m_entry.m_choiceMetrics.RecordChoice(*choice);
  Send(*choice);
  return true;
}

bool
EntryCall::StopSending(StopReason aReason)
{
  m_record.stopReason = aReason;
  return false;
}

size_t
EntryCall::CountUntriedGates() const
{
  const GateDirectoryPointer directory = m_entry.CurrentDirectory();
  const std::vector<GateInfo>& gates = CallGates::AllowedGates(*directory, m_service);
  return static_cast<size_t>(std::count_if(gates.begin(), gates.end(), [this](const GateInfo& aGate) {
    return !m_triedGates.excluded.contains(aGate.node) && !m_triedGates.rejectionWaits.contains(aGate.node);
  }));
}

std::optional<GateChoice>
EntryCall::ChooseGate(Deadline aNow)
{
  const GateDirectoryPointer directory = m_entry.CurrentDirectory();
  const std::vector<GateInfo>& gates =
    m_gates.ForAttempt(*directory, m_service, m_entry.m_versionSplitter, aNow);
  const CallRequirements requirements = m_entry.RequirementsOf(*m_options.route, Times(), aNow);
  if (m_gateAttempts == kMaxGateAttempts - 1) {
    // This is the last attempt, so the call waits at the best of the gates that rejected it.
    std::vector<GateInfo> rejecting = gates;
    std::erase_if(
      rejecting, [this](const GateInfo& aGate) { return !m_triedGates.rejectionWaits.contains(aGate.node); });
    if (auto choice = m_entry.m_balancer.Choose(rejecting, m_triedGates, requirements, aNow)) {
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

HttpRequest
EntryCall::MakeGateRequest(Deadline aNow, const GateChoice& aChoice) const
{
  using std::chrono::milliseconds;
  const Route& route = *m_options.route;
  HttpRequest request = m_exchange->Request();
  std::string localService;
  {
    const std::lock_guard lock(m_entry.m_mutex);
    localService = m_entry.m_localService;
  }
  m_entry.m_options.codec.prepareForTarget(request.headers, localService);
  if (m_options.snapshot->configuration.hasTeams) {
    m_entry.m_options.codec.setTeam(request.headers, m_options.team);
  }
  HopRequest hop{ .callId = m_options.callId,
                  .service = m_service,
                  .route = route.name,
                  .repeatPolicy = route.repeatPolicy,
                  .callClass = route.callClass,
                  .priority = route.priority,
                  .expectedCost = route.expectedCost,
                  .timeLeft = TimeLeft(m_options.deadline, aNow),
                  .timeToObjective = std::chrono::floor<milliseconds>(m_options.objectiveDeadline - aNow),
                  .longestWait = std::chrono::ceil<milliseconds>(aChoice.longestWait),
                  .maxFailurePenalty = std::chrono::ceil<milliseconds>(
                    std::min<std::chrono::microseconds>(aChoice.maxFailurePenalty, kUnlimitedPenalty)),
                  .isLastResort = aChoice.isLastResort,
                  .sentToIncarnation = m_isResending ? aChoice.gate.incarnation : 0,
                  .team = m_options.team,
                  .teamPriority = m_options.teamPriority,
                  .teamRate = m_options.teamRate };
  if (route.repeatPolicy == RepeatPolicy::Keyed) {
    hop.homeRegion = m_options.snapshot->configuration.services.at(m_service).homeRegion;
  }
  WriteHop(request.headers, hop);
  return request;
}

void
EntryCall::Send(const GateChoice& aChoice)
{
  const auto attempt = std::make_shared<EntryAttempt>(shared_from_this(), aChoice);
  const std::string& node = aChoice.gate.node;
  attempt->m_usedRetryBudget = m_targetAttempts > 0 || !m_attempts.empty();
  m_attempts.push_back(attempt);
  ++m_gateAttempts;
  m_entry.m_balancer.RecordSent(node, m_options.route->callClass, attempt->m_sentAt);
  attempt->m_forwardHandle = m_entry.m_options.forwarder->Start(
    m_loop,
    { .destination = aChoice.gate.address,
      .request = MakeGateRequest(attempt->m_sentAt, aChoice),
      .deadline = m_options.deadline + 2 * kRefusalGrace,
      .connectTimeout = kConnectTimeout,
      .unacknowledgedTimeout = kUnacknowledgedTimeout,
      .connectionGeneration = m_entry.m_balancer.ConnectionGeneration(node),
      .headLimitBytes = kResponseHeadLimitBytes + kGateHeadBytes },
    attempt);
  WatchForStall(attempt);
}

void
EntryCall::ResendTo(const GateInfo& aGate)
{
  m_isResending = true;
  m_loop.RunAt(SteadyClock::now() + kResendDelay, [weak = weak_from_this(), aGate] {
    const auto self = weak.lock();
    if (self && !self->m_decided && !self->HasValidCredential()) {
      self->GiveUp(502, kCredentialExpired);
    } else if (self && !self->m_decided) {
      // The gate recognises the call and attaches this attempt to the first one.
      self->Send({ .gate = aGate,
                   .longestWait = self->LongestAllowedWait(SteadyClock::now()),
                   .maxFailurePenalty = kUnlimitedPenalty });
    }
  });
}

bool
EntryCall::SendParallel()
{
  const std::set<std::string> excluded = m_triedGates.excluded;
  for (const AttemptPointer& attempt : m_attempts) {
    m_triedGates.excluded.insert(attempt->m_gate.node);
  }
  bool sent = SendNext();
  m_triedGates.excluded = excluded;
  // If there is no other gate, the same one may be reachable over another connection.
  sent = sent || SendNext();
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
  const bool hasResponded =
    std::any_of(m_attempts.begin(), m_attempts.end(), [this](const auto& aOpenAttempt) {
      return aOpenAttempt->m_hopResponse ||
             m_entry.m_balancer.HasAnsweredSince(aOpenAttempt->m_gate.node, aOpenAttempt->m_sentAt);
    });
  if (!m_decided && !hasResponded && !m_attempts.empty()) {
    SendParallel();
  }
}

void
EntryCall::OnHedgeTime()
{
  const bool isOnlyAttempt = m_attempts.size() == 1 && !m_attempts.front()->m_hopResponse;
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
  m_mayHaveRun = m_mayHaveRun || !m_attempts.empty();
  Refuse(504, "no response before the deadline");
  CancelAttemptsExcept(nullptr);
}

void
EntryCall::OnEntryEnds()
{
  if (m_decided) {
    return;
  }
  m_mayHaveRun = m_mayHaveRun || !m_attempts.empty();
  Refuse(m_mayHaveRun ? 502 : 503, "the entry ended before the response arrived");
  CancelAttemptsExcept(nullptr);
}

void
EntryCall::OnCallerDisconnected()
{
  if (!m_decided) {
    RecordOutcome(0, m_mayHaveRun || !m_attempts.empty() ? "unknown" : "not-run", "the caller disconnected");
  }
  MarkDecided();
  CancelAttemptsExcept(nullptr);
}

// --- Responses -------------------------------------------------------------------------------------------

void
EntryCall::ReportAttemptResult(const EntryAttempt& aAttempt, AttemptOutcome aOutcome)
{
  m_entry.m_balancer.RecordResult({ .node = aAttempt.m_gate.node,
                                    .costGroup = m_options.route->name,
                                    .callClass = m_options.route->callClass,
                                    .outcome = aOutcome,
                                    .sentAt = aAttempt.m_sentAt },
                                  SteadyClock::now());
}

void
EntryCall::FinishAttempt(EntryAttempt& aAttempt, AttemptOutcome aOutcome, const std::string& aOutcomeName)
{
  std::erase_if(m_attempts,
                [&](const AttemptPointer& aOpenAttempt) { return aOpenAttempt.get() == &aAttempt; });
  ReportAttemptResult(aAttempt, aOutcome);
  m_record.attempts.push_back(
    { .node = aAttempt.m_gate.node, .outcome = aOutcomeName, .duration = Since(aAttempt.m_sentAt) });
}

bool
EntryCall::BeginStreaming(EntryAttempt& aAttempt)
{
  if (m_decided) {
    return false;
  }
  MarkDecided();
  m_streamedAttempt = &aAttempt;
  CancelAttemptsExcept(&aAttempt);
  HttpResponseHead head = aAttempt.m_head;
  m_entry.m_options.codec.finishResponse(head, m_options.callId);
  m_exchange->OnDrain([handle = aAttempt.m_forwardHandle] { handle.Resume(); });
  m_record.status = head.status;
  m_exchange->Start(std::move(head));
  if (!aAttempt.m_body.empty()) {
    m_exchange->Write(std::exchange(aAttempt.m_body, {}));
  }
  return true;
}

void
EntryCall::OnAttemptAnswered(EntryAttempt& aAttempt)
{
  const int status = aAttempt.m_head.status;
  const bool failed = status >= 500;
  m_entry.RecordCallSize(*m_options.route, m_exchange->Request().body.size() + aAttempt.m_bodyBytes);
  FinishAttempt(aAttempt, failed ? AttemptOutcome::Failed : AttemptOutcome::Answered, "complete");
  ++m_targetAttempts;
  if (m_streamedAttempt == &aAttempt) {
    m_exchange->Finish(true);
    RecordOutcome(status, "complete", "");
    return;
  }
  if (m_decided) {
    return;
  }
  if (failed && m_options.route->Idempotent()) {
    m_triedGates.excluded.insert(aAttempt.m_gate.node);
    m_failedResponse = HttpResponse{ .status = status,
                                     .headers = std::move(aAttempt.m_head.headers),
                                     .body = std::move(aAttempt.m_body) };
    if (!m_attempts.empty() || SendNext()) {
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
  m_triedGates.RecordRejection({ .node = aAttempt.m_gate.node,
                                 .queueWait = aAttempt.m_hopResponse->queueWait,
                                 .failurePenalty = aAttempt.m_hopResponse->failurePenalty,
                                 .maxFailurePenalty = aAttempt.m_maxFailurePenalty });
  // If the call was resent, the gate has confirmed that it never arrived, so another gate may take it.
  m_mayHaveRun = m_mayHaveRun && !m_isResending;
  m_isResending = false;
  const bool isRejectedFinally = aAttempt.m_hopResponse->outcome == HopOutcome::RejectedFinally;
  if (!isRejectedFinally && SendNext()) {
    return;
  }
  if (m_attempts.empty()) {
    GiveUp(aAttempt.m_head.status, aAttempt.m_body);
  }
}

void
EntryCall::OnNotRun(EntryAttempt& aAttempt)
{
  FinishAttempt(aAttempt, AttemptOutcome::Rejected, "not-run");
  ++m_targetAttempts;
  if (m_decided) {
    return;
  }
  m_triedGates.excluded.insert(aAttempt.m_gate.node);
  if (SendNext()) {
    m_entry.m_retryCounter->Increment();
    Log(Event::CallRetried, { { "call", m_options.callId }, { "reason", aAttempt.m_body } });
    return;
  }
  if (m_attempts.empty()) {
    GiveUp(503, aAttempt.m_body);
  }
}

void
EntryCall::OnAttemptFailed(EntryAttempt& aAttempt, ForwardResult aResult)
{
  FinishAttempt(aAttempt, AttemptOutcome::Failed, OutcomeName(aResult));
  if (m_streamedAttempt == &aAttempt) {
    m_exchange->Finish(false);
    RecordOutcome(m_record.status, "cut", "the response broke off");
    return;
  }
  if (m_decided) {
    return;
  }
  const bool wasSent = aResult != ForwardResult::NotSent;
  const bool isReportedByGate = aResult == ForwardResult::Complete;
  if (!wasSent && aAttempt.m_usedRetryBudget) {
    m_entry.m_retryBudget.Refund(m_service, SteadyClock::now());
  }
  const bool idempotent = m_options.route->Idempotent();
  if (!idempotent && ((wasSent && !isReportedByGate) || m_mayHaveRun)) {
    // The gate may have received the call; only the same gate can tell.
    m_mayHaveRun = true;
    if (aResult != ForwardResult::TimedOut && m_gateAttempts < kMaxGateAttempts &&
        SteadyClock::now() < m_options.deadline) {
      ResendTo(aAttempt.m_gate);
      return;
    }
  }
  m_triedGates.excluded.insert(aAttempt.m_gate.node);
  m_mayHaveRun = m_mayHaveRun || wasSent;
  m_targetAttempts += wasSent ? 1 : 0;
  if ((!wasSent || idempotent) && SendNext()) {
    if (wasSent) {
      m_entry.m_retryCounter->Increment();
      Log(Event::CallRetried, { { "call", m_options.callId }, { "reason", OutcomeName(aResult) } });
    }
    return;
  }
  if (!m_attempts.empty()) {
    return;
  }
  const bool isLate = aResult == ForwardResult::TimedOut || aAttempt.m_head.status == 504;
  GiveUp(!m_mayHaveRun ? 503
         : isLate      ? 504
                       : 502,
         isReportedByGate ? aAttempt.m_body : "the connection to the gate broke");
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
  Refuse(meansNotRun && m_mayHaveRun ? 502 : aStatus, aReason);
}

void
EntryCall::Respond(HttpResponseHead aHead, std::string aBody)
{
  MarkDecided();
  CancelAttemptsExcept(nullptr);
  m_entry.m_options.codec.finishResponse(aHead, m_options.callId);
  const int status = aHead.status;
  m_exchange->Respond({ .status = status, .headers = std::move(aHead.headers), .body = std::move(aBody) });
  RecordOutcome(status, "complete", "");
}

std::chrono::milliseconds
EntryCall::RetryAfter() const
{
  if (m_quotaRetryAfter) {
    return std::chrono::ceil<std::chrono::milliseconds>(*m_quotaRetryAfter) +
           std::chrono::milliseconds(RandomBetween(
             0, std::max(kQuotaRetrySpread, *m_quotaRetryAfter / kQuotaRetrySpreadDivisor).count()));
  }
  std::chrono::microseconds longestWait{ 0 };
  for (const auto& [node, reportedWait] : m_triedGates.rejectionWaits) {
    longestWait = std::max(longestWait, reportedWait);
  }
  return mimosarun::RetryAfter(longestWait);
}

void
EntryCall::Refuse(int aStatus, const std::string& aReason)
{
  MarkDecided();
  const CallOutcome outcome = m_mayHaveRun ? CallOutcome::Unknown : CallOutcome::NotRun;
  m_exchange->Respond(m_entry.m_options.codec.refuse({ .status = aStatus,
                                                       .outcome = outcome,
                                                       .reason = aReason,
                                                       .callId = m_options.callId,
                                                       .retryAfter = RetryAfter() }));
  RecordOutcome(aStatus, m_mayHaveRun ? "unknown" : "not-run", aReason);
}

void
EntryCall::MarkDecided()
{
  m_decided = true;
  m_deadlineTimer.cancel();
  m_hedgeTimer.cancel();
  m_halfTimer.cancel();
}

void
EntryCall::CancelAttemptsExcept(const EntryAttempt* aKept)
{
  for (const AttemptPointer& attempt : std::exchange(m_attempts, {})) {
    if (attempt.get() == aKept) {
      m_attempts.push_back(attempt);
      continue;
    }
    attempt->m_forwardHandle.Cancel();
    ReportAttemptResult(*attempt, AttemptOutcome::Abandoned);
  }
}

static std::string
AttemptsText(const std::vector<AttemptRecord>& aAttempts)
{
  std::string text;
  for (const AttemptRecord& attempt : aAttempts) {
    text += (text.empty() ? "" : " ") + attempt.node + ":" + attempt.outcome + ":" +
            std::to_string(attempt.duration.count());
  }
  return text;
}

void
EntryCall::RecordOutcome(int aStatus, const std::string& aOutcome, const std::string& aReason)
{
  m_record.status = aStatus;
  m_record.outcome = aOutcome;
  m_record.reason = aReason;
  m_record.duration = Since(m_receivedAt);
  m_entry.m_callTimeHistogram->Observe(std::chrono::duration<double>(m_record.duration).count());
  if (aOutcome == "complete") {
    m_entry.m_completeCounter->Increment();
    m_entry.RecordCallTime(*m_options.route, m_record.duration);
  } else if (aOutcome == "not-run") {
    if (m_quota) {
      m_quota->Cancel();
    }
    m_entry.m_notRunCounter->Increment();
    m_record.untriedGates = CountUntriedGates();
    m_entry.CountRefusal(m_record);
    if (m_entry.m_refusalLogLimit.Allow()) {
      Log(Event::CallRefused,
          { { "call", m_options.callId },
            { "route", m_record.route },
            { "status", aStatus },
            { "reason", aReason },
            { "stopped", Name(m_record.stopReason) },
            { "untried", m_record.untriedGates },
            { "version", m_record.version },
            { "attempts", AttemptsText(m_record.attempts) },
            { "micros", m_record.duration.count() } });
    }
  } else {
    m_entry.m_unknownCounter->Increment();
    Log(Event::CallUnknown,
        { { "call", m_options.callId },
          { "route", m_record.route },
          { "status", aStatus },
          { "reason", aReason },
          { "version", m_record.version },
          { "attempts", AttemptsText(m_record.attempts) },
          { "micros", m_record.duration.count() } });
  }
  m_entry.m_history.Add(m_record);
}

} // namespace mimosarun
