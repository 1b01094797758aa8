#include "target/gate.h"

#include "common/log.h"
#include "hop/fingerprint.h"
#include "target/gatecall.h"

namespace mimosarun {

static constexpr unsigned int kClaimWorkers = 8;
static constexpr size_t kClaimQueueLimit = 512;
static constexpr std::chrono::milliseconds kSweepInterval{ 10 };
/** How long new calls are rejected after a connection to the target failed. */
static constexpr std::chrono::milliseconds kConnectBackoff{ 200 };
/** Nearly all calls of a route end within its median slot time multiplied by this. */
static constexpr int kDrainTimeFactor = 3;
static constexpr size_t kHopMessageLimitBytes = 64UL * 1024 * 1024;
static constexpr std::chrono::milliseconds kHopIdleTimeout{ 60000 };
/** Requests with longer bodies take too long to digest, unless some request is suspected. */
static constexpr size_t kRememberedBodyBytes = 16UL * 1024;

Gate::Gate(Options aOptions)
  : m_options(std::move(aOptions))
  , m_admission({ .slots = 1 })
  , m_crashWatch(*m_options.loops, m_completedRuns, [this](const wire::TargetCrash& aCrash) {
    ReportCrash(aCrash);
  })
{
  if (m_options.claims != nullptr) {
    m_workers = std::make_unique<WorkerPool>(
      WorkerPool::Options{ .threads = kClaimWorkers, .queueLimit = kClaimQueueLimit });
  }
  m_admitted =
    &m_options.metrics->Counter("mimosarun_gate_admitted_total", "Calls given a slot of the target", {});
  m_refused = &m_options.metrics->Counter("mimosarun_gate_refused_total", "Calls refused at the gate", {});
  m_abandonedCalls = &m_options.metrics->Gauge(
    "mimosarun_gate_abandoned_calls", "Calls that the target may run although nobody waits for them", {});
  m_slotTime =
    &m_options.metrics->SecondsHistogram("mimosarun_gate_slot_seconds", "Time that calls held a slot", {});
}

Result<std::unique_ptr<Gate>>
Gate::Start(Options aOptions)
{
  std::unique_ptr<Gate> gate(new Gate(std::move(aOptions)));
  MIMOSARUN_TRY(
    gate->m_server,
    HttpServer::Start(
      { .address = gate->m_options.address,
        .handler = [raw = gate.get()](const ExchangePointer& aExchange) { raw->Handle(aExchange); },
        .loops = gate->m_options.loops,
        .limits = { .headerBytes = kHopMessageLimitBytes,
                    .bodyBytes = kHopMessageLimitBytes,
                    .idleTimeout = kHopIdleTimeout } }));
  return gate;
}

Gate::~Gate()
{
  Stop();
}

void
Gate::Stop()
{
  m_server.reset();
  if (m_workers) {
    m_workers->Stop();
  }
}

void
Gate::SetTarget(const TargetState& aState)
{
  {
    const std::lock_guard lock(m_mutex);
    if (aState.name != m_target.name) {
      m_failureTracker = {};
      m_admission.SetRateLimit(std::nullopt, SteadyClock::now());
    }
    m_target = aState;
    m_warmUpEndsAt = SteadyClock::now() + aState.warmUpLeft;
    m_admission.SetSlots(aState.slots);
    m_connectBackoffUntil = {};
  }
  m_completedRuns.SetTarget(aState.service, aState.version, SteadyClock::now());
  // An absent target may have left before its lease expired.
  if (aState.phase != wire::TargetPhase::Absent) {
    m_crashWatch.SetLeaving(aState.name, aState.phase == wire::TargetPhase::Draining);
  }
  if (aState.phase == wire::TargetPhase::Ready) {
    ProcessQueue();
  } else {
    RejectAllWaiting("the target stopped taking calls");
  }
}

void
Gate::SetIntent(TargetIntent aIntent)
{
  const std::lock_guard lock(m_mutex);
  if (aIntent != m_intent) {
    Log(Event::TargetIntentChanged, { { "target", m_target.name }, { "intent", Name(aIntent) } });
  }
  m_intent = aIntent;
}

void
Gate::BeginDrain(const DrainSchedule& aSchedule)
{
  const std::lock_guard lock(m_mutex);
  m_drainSchedule = aSchedule;
}

void
Gate::BeginLeaving()
{
  const std::lock_guard lock(m_mutex);
  m_isLeaving = true;
}

int
Gate::OpenCalls() const
{
  const std::lock_guard lock(m_mutex);
  return m_admission.SlotsInUse() + m_admission.WaitingCalls();
}

std::optional<TargetState>
Gate::ReadyTarget(const std::string& aService) const
{
  const std::lock_guard lock(m_mutex);
  if (m_target.phase != wire::TargetPhase::Ready || m_target.service != aService ||
      IsVersionForbiddenLocked()) {
    return std::nullopt;
  }
  return m_target;
}

bool
Gate::IsVersionForbiddenLocked() const
{
  return m_options.rollouts != nullptr && m_options.rollouts->IsForbidden(m_target.service, m_target.version);
}

HopResponse
Gate::CurrentLoad(const GateCall& aCall) const
{
  const std::lock_guard lock(m_mutex);
  const Deadline now = SteadyClock::now();
  const auto wait = m_admission.ExpectedWait(aCall.ToAdmissionRequest(), now);
  return { .slotsInUse = m_admission.SlotsInUse(),
           .slots = m_admission.Slots(),
           .queueLength = m_admission.WaitingCalls(),
           .queueWait = std::chrono::ceil<std::chrono::milliseconds>(wait),
           .failurePenalty = m_failureTracker.FailurePenalty(now),
           .isLeaving = m_isLeaving };
}

std::string
Gate::RejectionReason(const HopRequest& aHop) const
{
  const std::lock_guard lock(m_mutex);
  const Deadline now = SteadyClock::now();
  const auto expectedTime = kDrainTimeFactor * m_admission.MedianSlotTime(aHop.route);
  if (m_drainSchedule && !m_drainSchedule->Accepts(now, expectedTime)) {
    return "the node is shutting down";
  }
  if (m_target.phase != wire::TargetPhase::Ready) {
    return "the target isn't ready";
  }
  if (m_intent != TargetIntent::Serving) {
    return "the target is being drained";
  }
  if (m_target.service != aHop.service) {
    return "the target here serves another service";
  }
  if (IsVersionForbiddenLocked()) {
    return "the version of the target isn't in force";
  }
  if (now < m_connectBackoffUntil) {
    return "the target accepts no connections";
  }
  return {};
}

void
Gate::RecordConnectResult(bool aConnected)
{
  const std::lock_guard lock(m_mutex);
  m_connectBackoffUntil = aConnected ? Deadline{} : SteadyClock::now() + kConnectBackoff;
}

void
Gate::RecordOutcome(TargetFailureTracker::Outcome aOutcome)
{
  const std::lock_guard lock(m_mutex);
  m_failureTracker.RecordOutcome(aOutcome, SteadyClock::now());
}

// --- ends of the target ----------------------------------------------------------------------------------

wire::TargetPlace
Gate::Place() const
{
  wire::TargetPlace place;
  place.node = m_options.node;
  const std::lock_guard lock(m_mutex);
  place.serviceName = m_target.service;
  place.version = m_target.version;
  return place;
}

void
Gate::ReportCrash(wire::TargetCrash aCrash)
{
  aCrash.place = Place();
  aCrash.isNewlyWatched = m_completedRuns.IsNew(SteadyClock::now());
  m_options.onTargetCrashed(aCrash);
}

void
Gate::RecordRun(const HopRequest& aHop, const HttpRequest& aRequest)
{
  const bool isWatching = m_options.suspects != nullptr && !m_options.suspects->IsEmpty();
  if (isWatching || aRequest.body.size() <= kRememberedBodyBytes) {
    RecordRun(RequestFingerprint(aHop.route, aHop.team, aRequest));
  }
}

void
Gate::RecordRun(const std::string& aFingerprint)
{
  const Deadline now = SteadyClock::now();
  m_completedRuns.Record(aFingerprint, now);
  const std::optional<Deadline> provenSince = m_completedRuns.ProvenSince(aFingerprint);
  SuspectList* const suspects = m_options.suspects;
  if (suspects == nullptr || suspects->IsEmpty()) {
    return;
  }
  wire::ProvenRuns runs;
  if (provenSince && suspects->TakeProofIfDue(aFingerprint, *provenSince, now)) {
    wire::CrashSuspect proven;
    proven.fingerprint = aFingerprint;
    proven.__set_provenMillisAgo(MillisSince(*provenSince));
    runs.requests.push_back(std::move(proven));
  }
  if (!runs.requests.empty() || suspects->TakeActivityReportIfDue(now)) {
    runs.place = Place();
    m_options.onRunsProven(runs);
  }
}

// --- calls -----------------------------------------------------------------------------------------------

void
Gate::CountResult(TargetCallResult aResult, Deadline aSentAt)
{
  const Deadline now = SteadyClock::now();
  if (m_options.outcomes == nullptr || !m_options.outcomes->IsCounting(now)) {
    return;
  }
  {
    const std::lock_guard lock(m_mutex);
    if (aSentAt < m_warmUpEndsAt) {
      return;
    }
    aResult.usualTime = m_admission.MedianSlotTime(aResult.route);
  }
  m_options.outcomes->Record(aResult, now);
}

void
Gate::ApplyNotice(const std::string& aTarget, const TargetNotice& aNotice)
{
  {
    const std::lock_guard lock(m_mutex);
    if (m_target.name != aTarget || m_target.phase != wire::TargetPhase::Ready) {
      return;
    }
    if (!aNotice.isLeaving) {
      SetRateLimitLocked(aNotice.requestsPerSecond);
      return;
    }
  }
  // This calls SetTarget().
  m_options.onTargetLeaving(aTarget);
}

void
Gate::SetRateLimitLocked(std::optional<double> aPerSecond)
{
  const bool wasLimited = m_admission.RateLimit().has_value();
  m_admission.SetRateLimit(aPerSecond, SteadyClock::now());
  if (wasLimited != aPerSecond.has_value()) {
    Log(Event::TargetRateLimitChanged,
        { { "target", m_target.name },
          { "per-second", aPerSecond ? std::to_string(*aPerSecond) : std::string("any") },
          { "waiting", m_admission.WaitingCalls() } });
  }
}

bool
Gate::ShouldRejectForFailures(const GateCall& aCall)
{
  const std::lock_guard lock(m_mutex);
  return !aCall.Hop().isLastResort &&
         m_failureTracker.ShouldReject(aCall.Hop().maxFailurePenalty, SteadyClock::now());
}

bool
Gate::IsOwnIncarnation(int64_t aIncarnation) const
{
  // The first incarnation may become higher than the current one that was read before, never the reverse, so
  // that no incarnation of an earlier process is accepted.
  const int64_t current = m_options.incarnation();
  const int64_t first = m_options.firstIncarnation ? m_options.firstIncarnation() : current;
  return aIncarnation >= first && aIncarnation <= current;
}

void
Gate::Handle(const ExchangePointer& aExchange)
{
  HttpRequest request = aExchange->Request();
  const std::optional<HopRequest> hop = ExtractHopRequest(request.headers);
  if (!hop) {
    aExchange->Respond(
      { .status = 400,
        .headers = {},
        .body = "this address only accepts calls from entries; send the call to an entry\n" });
    return;
  }
  aExchange->SetCallId(hop->callId);
  const auto call =
    std::make_shared<GateCall>(*this, ++m_lastCallNumber, aExchange, *hop, std::move(request));
  if (hop->repeatPolicy != RepeatPolicy::Idempotent) {
    const auto arrival = m_nonIdempotentCalls.Add(hop->callId, call, call->LatestEnd(), SteadyClock::now());
    if (arrival.isRepeated) {
      GateCall::RespondToRepetition(arrival.earlierCall, aExchange);
      return;
    }
  }
  if (hop->sentToIncarnation != 0 && !IsOwnIncarnation(hop->sentToIncarnation)) {
    call->Reject(HopOutcome::Unknown, "the gate was restarted after the call was sent to it");
    return;
  }
  const std::string reason = RejectionReason(*hop);
  if (!reason.empty()) {
    call->Reject(HopOutcome::Rejected, reason);
    return;
  }
  if (ShouldRejectForFailures(*call)) {
    call->Reject(HopOutcome::Rejected, "the target fails too many calls");
    return;
  }
  call->WatchForDisconnect();
  RequestSlot(call);
}

void
Gate::RequestSlot(const std::shared_ptr<GateCall>& aCall)
{
  AdmissionDecision decision = AdmissionDecision::DeadlineUnreachable;
  {
    const std::lock_guard lock(m_mutex);
    decision = m_admission.RequestSlot(aCall->ToAdmissionRequest(), SteadyClock::now());
    if (decision == AdmissionDecision::Queued) {
      m_waitingCalls[aCall->Number()] = aCall;
    }
  }
  switch (decision) {
    case AdmissionDecision::Admitted:
      m_admitted->Increment();
      aCall->OnAdmitted();
      break;
    case AdmissionDecision::Queued:
      ScheduleSweep();
      break;
    case AdmissionDecision::WaitTooLong:
      aCall->Reject(HopOutcome::Rejected, "the wait for the target is too long");
      break;
    case AdmissionDecision::DeadlineUnreachable:
      aCall->Reject(HopOutcome::Rejected, "the target is too busy to answer before the deadline");
      break;
  }
}

void
Gate::Withdraw(GateCall& aCall)
{
  std::shared_ptr<GateCall> withdrawn;
  const std::lock_guard lock(m_mutex);
  if (m_admission.Withdraw(aCall.Number())) {
    withdrawn = RemoveWaitingLocked(aCall.Number());
  }
}

std::shared_ptr<GateCall>
Gate::RemoveWaitingLocked(uint64_t aCallNumber)
{
  const auto found = m_waitingCalls.find(aCallNumber);
  std::shared_ptr<GateCall> call = std::move(found->second);
  m_waitingCalls.erase(found);
  return call;
}

void
Gate::Release(GateCall& aCall, std::chrono::microseconds aHeldFor)
{
  m_slotTime->Observe(std::chrono::duration<double>(aHeldFor).count());
  {
    const std::lock_guard lock(m_mutex);
    m_admission.Release(aCall.Hop().callClass, aHeldFor, aCall.Hop().route);
  }
  ProcessQueue();
}

void
Gate::ReleaseUnused(GateCall& aCall)
{
  {
    const std::lock_guard lock(m_mutex);
    m_admission.ReleaseUnused(aCall.Hop().callClass);
  }
  ProcessQueue();
}

void
Gate::RejectAllWaiting(const std::string& aReason)
{
  std::map<uint64_t, std::shared_ptr<GateCall>> waiting;
  {
    const std::lock_guard lock(m_mutex);
    waiting.swap(m_waitingCalls);
    for (const auto& [number, call] : waiting) {
      m_admission.Withdraw(number);
    }
  }
  for (const auto& [number, call] : waiting) {
    call->Reject(HopOutcome::Rejected, aReason);
  }
}

void
Gate::ProcessQueue()
{
  std::vector<std::shared_ptr<GateCall>> expired;
  std::vector<std::shared_ptr<GateCall>> admitted;
  {
    const std::lock_guard lock(m_mutex);
    const Deadline now = SteadyClock::now();
    for (const uint64_t number : m_admission.RemoveExpired(now)) {
      expired.push_back(RemoveWaitingLocked(number));
    }
    for (const uint64_t number : m_admission.AdmitWaiting(now)) {
      admitted.push_back(RemoveWaitingLocked(number));
    }
  }
  for (const auto& call : expired) {
    call->Reject(HopOutcome::Rejected, "the target is too busy to answer in time");
  }
  for (const auto& call : admitted) {
    m_admitted->Increment();
    call->OnAdmitted();
  }
}

void
Gate::ScheduleSweep()
{
  {
    const std::lock_guard lock(m_mutex);
    if (m_sweepScheduled) {
      return;
    }
    m_sweepScheduled = true;
  }
  m_options.loops->First().RunAt(SteadyClock::now() + kSweepInterval, [this] {
    ProcessQueue();
    bool waiting = false;
    {
      const std::lock_guard lock(m_mutex);
      m_sweepScheduled = false;
      waiting = m_admission.WaitingCalls() > 0;
    }
    if (waiting) {
      ScheduleSweep();
    }
  });
}

} // namespace mimosarun
