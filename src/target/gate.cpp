#include "target/gate.h"

#include "common/log.h"
#include "target/gatecall.h"

namespace mimosarun {

static constexpr unsigned int kClaimWorkers = 8;
static constexpr size_t kClaimQueueLimit = 512;
/** A call waits for a slot for at most one part in this many of its time. */
static constexpr int kQueueShare = 3;
static constexpr std::chrono::milliseconds kSweepInterval{ 5 };

Gate::Gate(Options aOptions)
  : m_options(std::move(aOptions))
  , m_admission({ .slots = 1 })
  , m_workers(
      std::make_unique<Workers>(Workers::Options{ .threads = kClaimWorkers, .queueLimit = kClaimQueueLimit }))
  , m_timers(std::make_unique<TimerQueue>())
{
  m_admitted =
    &m_options.metrics->Counter("mimosarun_gate_admitted_total", "Calls given a slot of the target", {});
  m_refused = &m_options.metrics->Counter("mimosarun_gate_refused_total", "Calls refused at the gate", {});
  m_queueTime = &m_options.metrics->Seconds("mimosarun_gate_slot_seconds", "Time that calls held a slot", {});
}

Result<std::unique_ptr<Gate>>
Gate::Start(Options aOptions)
{
  std::unique_ptr<Gate> gate(new Gate(std::move(aOptions)));
  MIMOSARUN_TRY(gate->m_server,
                HttpServer::Start({ .address = gate->m_options.address,
                                    .handler = [raw = gate.get()](const ExchangePointer& aExchange) {
                                      raw->Handle(aExchange);
                                    } }));
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
  m_timers.reset();
  m_workers->Stop();
}

void
Gate::SetTarget(const TargetState& aState)
{
  const std::lock_guard lock(m_mutex);
  m_target = aState;
  m_admission.SetSlots(aState.slots);
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

TargetState
Gate::Target() const
{
  const std::lock_guard lock(m_mutex);
  return m_target;
}

std::string
Gate::LoadText() const
{
  const std::lock_guard lock(m_mutex);
  return std::to_string(m_admission.InUse()) + " " + std::to_string(m_admission.Slots()) + " " +
         std::to_string(m_admission.Waiting());
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
  return {};
}

void
Gate::Handle(const ExchangePointer& aExchange)
{
  GateRequest request = ParseGateRequest(aExchange->Request(), SteadyClock::now());
  const auto call = std::make_shared<GateCall>(*this, ++m_nextCall, aExchange, std::move(request));
  const std::string reason = ReasonToRefuse(call->Request().service);
  if (!reason.empty()) {
    call->Refuse(503, reason);
    return;
  }
  const std::weak_ptr<GateCall> weak = call;
  aExchange->OnCancel([weak] {
    if (const auto held = weak.lock()) {
      held->Cancelled();
    }
  });
  Offer(call);
}

void
Gate::Offer(const std::shared_ptr<GateCall>& aCall)
{
  const GateRequest& request = aCall->Request();
  const Deadline now = SteadyClock::now();
  AdmissionVerdict verdict = AdmissionVerdict::Refused;
  {
    const std::lock_guard lock(m_mutex);
    verdict = m_admission.Offer({ .call = aCall->Number(),
                                  .callClass = request.callClass,
                                  .deadline = request.deadline,
                                  .expectedCost = request.expectedCost,
                                  .giveBackAt = now + (request.deadline - now) / kQueueShare },
                                now);
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
    case AdmissionVerdict::Refused:
      aCall->Refuse(503, "the target is too busy to answer before the deadline");
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
  m_queueTime->Observe(std::chrono::duration<double>(aHeldFor).count());
  {
    const std::lock_guard lock(m_mutex);
    m_admission.Release(aCall.Request().callClass, aHeldFor);
  }
  PumpQueue();
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
    call->Refuse(503, "the target is too busy to answer before the deadline");
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
  m_timers->At(SteadyClock::now() + kSweepInterval, [this] {
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
