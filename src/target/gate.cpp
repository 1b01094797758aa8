#include "target/gate.h"

#include "common/log.h"
#include "target/gatecall.h"

namespace mimosarun {

static constexpr unsigned int kClaimWorkers = 8;
static constexpr size_t kClaimQueueLimit = 512;
static constexpr std::chrono::milliseconds kSweepInterval{ 10 };
/** A target that takes no connections is tried again after this. */
static constexpr std::chrono::milliseconds kAloneTime{ 200 };
static constexpr size_t kHopBodyLimitBytes = 64UL * 1024 * 1024;
static constexpr std::chrono::milliseconds kHopIdleTime{ 60000 };

Gate::Gate(Options aOptions)
  : m_options(std::move(aOptions))
  , m_admission({ .slots = 1 })
{
  if (m_options.claims != nullptr) {
    m_workers =
      std::make_unique<Workers>(Workers::Options{ .threads = kClaimWorkers, .queueLimit = kClaimQueueLimit });
  }
  m_admitted =
    &m_options.metrics->Counter("mimosarun_gate_admitted_total", "Calls given a slot of the target", {});
  m_refused = &m_options.metrics->Counter("mimosarun_gate_refused_total", "Calls refused at the gate", {});
  m_slotTime = &m_options.metrics->Seconds("mimosarun_gate_slot_seconds", "Time that calls held a slot", {});
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
        .limits = { .headerBytes = kHopBodyLimitBytes,
                    .bodyBytes = kHopBodyLimitBytes,
                    .idleTimeout = kHopIdleTime } }));
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
      m_trust = {};
    }
    m_target = aState;
    m_admission.SetSlots(aState.slots);
    m_aloneUntil = {};
  }
  if (aState.phase == wire::TargetPhase::Ready) {
    PumpQueue();
  } else {
    TurnBackAllWaiting("the target stopped taking calls");
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
Gate::BeginDrain()
{
  const std::lock_guard lock(m_mutex);
  m_draining = true;
}

int
Gate::CallsInHand() const
{
  const std::lock_guard lock(m_mutex);
  return m_admission.InUse() + m_admission.Waiting();
}

std::optional<TargetState>
Gate::TargetFor(const std::string& aService) const
{
  const std::lock_guard lock(m_mutex);
  if (m_target.phase != wire::TargetPhase::Ready || m_target.service != aService) {
    return std::nullopt;
  }
  return m_target;
}

HopAnswer
Gate::Load(const GateCall& aCall) const
{
  const std::lock_guard lock(m_mutex);
  const Deadline now = SteadyClock::now();
  const auto wait = m_admission.ExpectedWait(aCall.Admission(), now);
  return { .slotsInUse = m_admission.InUse(),
           .slots = m_admission.Slots(),
           .waiting = m_admission.Waiting(),
           .wait = std::chrono::ceil<std::chrono::milliseconds>(wait),
           .doubt = m_trust.Doubt(now) };
}

std::string
Gate::ReasonToRefuse(const std::string& aService) const
{
  const std::lock_guard lock(m_mutex);
  if (m_draining) {
    return "the node is shutting down";
  }
  if (m_target.phase != wire::TargetPhase::Ready) {
    return "the target isn't ready";
  }
  if (m_intent != TargetIntent::Serving) {
    return "the target is being drained";
  }
  if (m_target.service != aService) {
    return "the target here serves another service";
  }
  if (SteadyClock::now() < m_aloneUntil) {
    return "the target takes no connections";
  }
  return {};
}

void
Gate::NoteConnecting(bool aConnected)
{
  const std::lock_guard lock(m_mutex);
  m_aloneUntil = aConnected ? Deadline{} : SteadyClock::now() + kAloneTime;
}

void
Gate::NoteOutcome(TargetTrust::Outcome aOutcome)
{
  const std::lock_guard lock(m_mutex);
  m_trust.Note(aOutcome, SteadyClock::now());
}

bool
Gate::IsDoubtful(const GateCall& aCall)
{
  const std::lock_guard lock(m_mutex);
  return !aCall.Hop().lastChoice && m_trust.TurnsBack(aCall.Hop().toleratedDoubt, SteadyClock::now());
}

void
Gate::Handle(const ExchangePointer& aExchange)
{
  HttpRequest request = aExchange->Request();
  const std::optional<HopRequest> hop = TakeHopRequest(request.headers);
  if (!hop) {
    aExchange->Respond({ .status = 400, .headers = {}, .body = "only entries call gates\n" });
    return;
  }
  const auto call = std::make_shared<GateCall>(*this, ++m_nextCall, aExchange, *hop, std::move(request));
  const bool once = hop->repeat != RepeatPolicy::Idempotent;
  if (const auto before = once ? m_onceCalls.FindOrAdd(hop->call, call, SteadyClock::now()) : nullptr) {
    before->Join(aExchange);
    return;
  }
  if (hop->sentToLife != 0 && hop->sentToLife != m_options.life()) {
    call->TurnBack(HopOutcome::Unknown, "the gate was restarted since it was sent the call");
    return;
  }
  const std::string reason = ReasonToRefuse(hop->service);
  if (!reason.empty()) {
    call->TurnBack(HopOutcome::TurnedBack, reason);
    return;
  }
  if (IsDoubtful(*call)) {
    call->TurnBack(HopOutcome::TurnedBack, "the target fails too many calls");
    return;
  }
  call->Watch();
  Offer(call);
}

void
Gate::Offer(const std::shared_ptr<GateCall>& aCall)
{
  AdmissionVerdict verdict = AdmissionVerdict::Refused;
  {
    const std::lock_guard lock(m_mutex);
    verdict = m_admission.Offer(aCall->Admission(), SteadyClock::now());
    if (verdict == AdmissionVerdict::Queued) {
      m_waiting[aCall->Number()] = aCall;
    }
  }
  switch (verdict) {
    case AdmissionVerdict::Admitted:
      m_admitted->Increment();
      aCall->Admitted();
      break;
    case AdmissionVerdict::Queued:
      ScheduleSweep();
      break;
    case AdmissionVerdict::TurnedBack:
      aCall->TurnBack(HopOutcome::TurnedBack, "the wait for the target is too long");
      break;
    case AdmissionVerdict::Refused:
      aCall->TurnBack(HopOutcome::TurnedBack, "the target is too busy to answer before the deadline");
      break;
  }
}

void
Gate::Withdraw(GateCall& aCall)
{
  std::shared_ptr<GateCall> withdrawn;
  const std::lock_guard lock(m_mutex);
  if (m_admission.Withdraw(aCall.Number())) {
    withdrawn = TakeWaitingLocked(aCall.Number());
  }
}

std::shared_ptr<GateCall>
Gate::TakeWaitingLocked(uint64_t aCall)
{
  const auto found = m_waiting.find(aCall);
  std::shared_ptr<GateCall> call = std::move(found->second);
  m_waiting.erase(found);
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
  PumpQueue();
}

void
Gate::ReleaseUnused(GateCall& aCall)
{
  {
    const std::lock_guard lock(m_mutex);
    m_admission.ReleaseUnused(aCall.Hop().callClass);
  }
  PumpQueue();
}

void
Gate::TurnBackAllWaiting(const std::string& aReason)
{
  std::map<uint64_t, std::shared_ptr<GateCall>> waiting;
  {
    const std::lock_guard lock(m_mutex);
    waiting.swap(m_waiting);
    for (const auto& [number, call] : waiting) {
      m_admission.Withdraw(number);
    }
  }
  for (const auto& [number, call] : waiting) {
    call->TurnBack(HopOutcome::TurnedBack, aReason);
  }
}

void
Gate::PumpQueue()
{
  std::vector<std::shared_ptr<GateCall>> hopeless;
  std::vector<std::shared_ptr<GateCall>> admitted;
  {
    const std::lock_guard lock(m_mutex);
    const Deadline now = SteadyClock::now();
    for (const uint64_t number : m_admission.TakeHopeless(now)) {
      hopeless.push_back(TakeWaitingLocked(number));
    }
    for (const uint64_t number : m_admission.TakeAdmitted(now)) {
      admitted.push_back(TakeWaitingLocked(number));
    }
  }
  for (const auto& call : hopeless) {
    call->TurnBack(HopOutcome::TurnedBack, "the target is too busy to answer in time");
  }
  for (const auto& call : admitted) {
    m_admitted->Increment();
    call->Admitted();
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
    PumpQueue();
    bool waiting = false;
    {
      const std::lock_guard lock(m_mutex);
      m_sweepScheduled = false;
      waiting = m_admission.Waiting() > 0;
    }
    if (waiting) {
      ScheduleSweep();
    }
  });
}

} // namespace mimosarun
