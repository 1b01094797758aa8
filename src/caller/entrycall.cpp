#include "caller/entrycall.h"

#include "caller/entry.h"
#include "common/log.h"
#include "http/meshheaders.h"

#include <algorithm>
#include <cstdio>

namespace mimosarun {

/** Time beyond a call's deadline in which a gate's own refusal may still arrive. */
static constexpr std::chrono::milliseconds kGrace{ 30 };
static constexpr size_t kRefusalLimitBytes = 4096;
/** Expected costs that a short call may take before its connection is doubted. */
static constexpr int kSilenceFactor = 10;

static GateLoad
ParseLoad(const std::string& aText)
{
  GateLoad load;
  if (std::sscanf(aText.c_str(), "%d %d %d", &load.inUse, &load.slots, &load.waiting) != 3) {
    return {};
  }
  return load;
}

static const char*
EndName(ForwardEnd aEnd)
{
  switch (aEnd) {
    case ForwardEnd::Complete:
      return "complete";
    case ForwardEnd::NotSent:
      return "not-sent";
    case ForwardEnd::Broken:
      return "broken";
    case ForwardEnd::TimedOut:
      return "timed-out";
    case ForwardEnd::Cancelled:
      return "abandoned";
  }
  return "broken";
}

static std::chrono::microseconds
Since(Deadline aStart)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(SteadyClock::now() - aStart);
}

EntryAttempt::EntryAttempt(std::shared_ptr<EntryCall> aCall, GateInfo aGate)
  : m_call(std::move(aCall))
  , m_gate(std::move(aGate))
  , m_sentAt(SteadyClock::now())
{
}

void
EntryAttempt::OnHead(const HttpHead& aHead)
{
  m_call->OnAttemptHead(*this, aHead);
}

bool
EntryAttempt::OnBody(std::string_view aBytes)
{
  return m_call->OnAttemptBody(*this, aBytes);
}

void
EntryAttempt::OnEnd(ForwardEnd aEnd)
{
  m_call->OnAttemptEnd(*this, aEnd);
}

EntryCall::EntryCall(Entry& aEntry, ExchangePointer aExchange, Options aOptions)
  : m_entry(aEntry)
  , m_exchange(std::move(aExchange))
  , m_options(std::move(aOptions))
  , m_began(SteadyClock::now())
  , m_retriesLeft(m_options.route->retries)
{
  m_record.call = m_options.call;
  m_record.route = m_options.route->name;
  m_record.version = m_options.snapshot->version;
  ++m_entry.m_calls;
}

EntryCall::~EntryCall()
{
  m_entry.GiveLimitBack(m_options.route->limit);
  --m_entry.m_calls;
}

// --- sending ---------------------------------------------------------------------------------------------

void
EntryCall::Begin()
{
  const std::weak_ptr<EntryCall> weak = weak_from_this();
  m_entry.m_timers->At(m_options.deadline + kGrace, [weak] {
    if (const auto self = weak.lock()) {
      self->OnDeadline();
    }
  });
  if (m_options.route->idempotent) {
    m_entry.m_timers->At(m_began + (m_options.deadline - m_began) / 2, [weak] {
      if (const auto self = weak.lock()) {
        self->OnHalfTime();
      }
    });
  }
  const std::chrono::microseconds hedgeDelay = m_entry.HedgeDelay(*m_options.route);
  if (hedgeDelay.count() > 0) {
    m_entry.m_timers->At(m_began + hedgeDelay, [weak] {
      if (const auto self = weak.lock()) {
        self->LaunchHedge();
      }
    });
  }
  m_entry.m_budget.Earn();
  m_entry.m_hedgeBudget.Earn();
  const std::lock_guard lock(m_mutex);
  if (!LaunchLocked()) {
    RefuseLocked(503, "no target of the service is ready");
  }
}

HttpRequest
EntryCall::GateRequest(Deadline aNow) const
{
  const Route& route = *m_options.route;
  HttpRequest request = m_exchange->Request();
  SetHeader(request.headers, kCallHeader, m_options.call);
  SetHeader(request.headers, kServiceHeader, route.service);
  SetHeader(request.headers, kClassHeader, Name(route.callClass));
  SetHeader(request.headers, kCostHeader, std::to_string(route.expectedCost.count()));
  SetHeader(request.headers, kIdempotentHeader, route.idempotent ? "yes" : "no");
  SetHeader(request.headers, kTimeoutHeader, std::to_string(TimeLeft(m_options.deadline, aNow).count()));
  SetHeader(request.headers,
            kHomeRegionHeader,
            m_options.snapshot->configuration.services.at(route.service).homeRegion);
  return request;
}

bool
EntryCall::LaunchLocked(Reach aReach)
{
  const Deadline now = SteadyClock::now();
  std::vector<GateInfo> gates = m_entry.GatesOf(m_options.route->service);
  if (aReach == Reach::Region) {
    std::erase_if(gates, [](const GateInfo& aGate) { return aGate.locality == Locality::OtherRegion; });
  }
  std::optional<GateInfo> gate = m_entry.m_balancer.Choose(gates, m_excluded);
  if (!gate || now >= m_options.deadline) {
    return false;
  }
  const auto attempt = std::make_shared<EntryAttempt>(shared_from_this(), *gate);
  m_attempts.push_back(attempt);
  m_entry.m_balancer.Sent(gate->node, m_options.route->callClass, attempt->m_sentAt);
  attempt->m_ticket = m_entry.m_options.forwarder->Start(
    { .to = gate->address,
      .request = GateRequest(now),
      .deadline = m_options.deadline + 2 * kGrace,
      .freshConnection = !m_options.route->idempotent,
      .connectionGeneration = m_entry.m_balancer.ConnectionGeneration(gate->node) },
    attempt);
  WatchForSilence(attempt);
  return true;
}

void
EntryCall::WatchForSilence(const std::shared_ptr<EntryAttempt>& aAttempt)
{
  const Route& route = *m_options.route;
  // Only idempotent calls use kept connections, and only short ones are expected to answer soon.
  if (!route.idempotent || route.callClass == CallClass::Long) {
    return;
  }
  const auto expected = std::chrono::microseconds(route.expectedCost) * kSilenceFactor;
  const auto patience = std::max(m_entry.m_balancer.Patience(aAttempt->m_gate.node), expected);
  const std::weak_ptr<EntryCall> weak = weak_from_this();
  const std::weak_ptr<EntryAttempt> attempt = aAttempt;
  m_entry.m_timers->At(SteadyClock::now() + patience, [weak, attempt] {
    if (const auto self = weak.lock()) {
      self->OnSilence(attempt);
    }
  });
}

void
EntryCall::OnSilence(const std::weak_ptr<EntryAttempt>& aAttempt)
{
  const auto attempt = aAttempt.lock();
  const std::lock_guard lock(m_mutex);
  if (attempt == nullptr || m_decided || attempt->m_answering) {
    return;
  }
  // The kept connection may have gone silent, so calls use new ones from now on. It may as well be a slow
  // call, so this one is sent again only when half of its time has passed.
  m_entry.m_balancer.DistrustConnections(attempt->m_gate.node);
}

void
EntryCall::OnHalfTime()
{
  const std::lock_guard lock(m_mutex);
  const bool answering =
    std::any_of(m_attempts.begin(), m_attempts.end(), [](const auto& aHeld) { return aHeld->m_answering; });
  if (!m_decided && !answering && m_options.route->idempotent) {
    TryAgainLocked();
  }
}

void
EntryCall::LaunchHedge()
{
  const std::lock_guard lock(m_mutex);
  if (m_decided || m_attempts.size() != 1 || !m_entry.m_hedgeBudget.TrySpend()) {
    return;
  }
  const std::string first = m_attempts.front()->m_gate.node;
  m_excluded.insert(first);
  if (LaunchLocked(Reach::Region)) {
    m_entry.m_retries->Increment();
  } else {
    // Where there is no other gate, a later attempt may still use this one.
    m_excluded.erase(first);
  }
}

bool
EntryCall::TryAgainLocked()
{
  const bool inTime = SteadyClock::now() + m_options.route->expectedCost < m_options.deadline;
  if (m_retriesLeft <= 0 || !inTime || !m_entry.m_budget.TrySpend()) {
    return false;
  }
  if (!LaunchLocked()) {
    return false;
  }
  --m_retriesLeft;
  m_entry.m_retries->Increment();
  Log(Event::CallRetried, { { "call", m_options.call } });
  return true;
}

// --- answers ---------------------------------------------------------------------------------------------

void
EntryCall::AnswerLocked(EntryAttempt& aAttempt, const HttpHead& aHead)
{
  m_decided = true;
  m_winner = &aAttempt;
  DropOthersLocked(&aAttempt);
  HttpHead head = aHead;
  std::erase_if(head.headers,
                [](const HttpHeader& aHeader) { return SameHeaderName(aHeader.name, kLoadHeader); });
  m_exchange->OnDrain(
    [forwarder = m_entry.m_options.forwarder, ticket = aAttempt.m_ticket] { forwarder->Resume(ticket); });
  m_record.status = head.status;
  m_exchange->Start(std::move(head));
}

void
EntryCall::OnAttemptHead(EntryAttempt& aAttempt, const HttpHead& aHead)
{
  const std::lock_guard lock(m_mutex);
  aAttempt.m_head = aHead;
  aAttempt.m_answering = true;
  const std::string load = FindHeader(aHead.headers, kLoadHeader);
  if (!load.empty()) {
    m_entry.m_balancer.NoteLoad(aAttempt.m_gate.node, ParseLoad(load));
  }
  const std::string outcome = FindHeader(aHead.headers, kOutcomeHeader);
  const bool foreign = FindHeader(aHead.headers, kCallHeader) != m_options.call;
  aAttempt.m_notRun = outcome == kOutcomeNotRun && !foreign;
  aAttempt.m_unknown = outcome == kOutcomeUnknown || foreign;
  if (!aAttempt.m_notRun && !aAttempt.m_unknown && !m_decided) {
    AnswerLocked(aAttempt, aHead);
  }
}

bool
EntryCall::OnAttemptBody(EntryAttempt& aAttempt, std::string_view aBytes)
{
  const std::lock_guard lock(m_mutex);
  if (m_winner == &aAttempt) {
    return m_exchange->Write(aBytes);
  }
  if (aAttempt.m_refusalBody.size() < kRefusalLimitBytes) {
    aAttempt.m_refusalBody.append(aBytes);
  }
  return true;
}

void
EntryCall::OnAttemptEnd(EntryAttempt& aAttempt, ForwardEnd aEnd)
{
  const auto self = shared_from_this();
  std::shared_ptr<EntryAttempt> ended;
  const std::lock_guard lock(m_mutex);
  const auto place = std::find_if(
    m_attempts.begin(), m_attempts.end(), [&](const auto& aHeld) { return aHeld.get() == &aAttempt; });
  if (place != m_attempts.end()) {
    ended = std::move(*place);
    m_attempts.erase(place);
  }
  const auto time = Since(aAttempt.m_sentAt);
  const bool answered = aEnd == ForwardEnd::Complete && !aAttempt.m_notRun && !aAttempt.m_unknown;
  const AttemptEnd end = answered                        ? AttemptEnd::Answered
                         : aEnd == ForwardEnd::Cancelled ? AttemptEnd::Abandoned
                         : aEnd == ForwardEnd::Complete  ? AttemptEnd::Shed
                                                         : AttemptEnd::Failed;
  m_entry.m_balancer.Ended(
    aAttempt.m_gate.node, m_options.route->callClass, end, aAttempt.m_sentAt, SteadyClock::now());
  m_record.attempts.push_back({ .node = aAttempt.m_gate.node,
                                .end = aAttempt.m_notRun    ? "not-run"
                                       : aAttempt.m_unknown ? "unknown"
                                                            : EndName(aEnd),
                                .time = time });
  if (m_winner == &aAttempt) {
    m_exchange->Finish(aEnd == ForwardEnd::Complete);
    Record(m_record.status, aEnd == ForwardEnd::Complete ? kOutcomeComplete : "cut", "");
    return;
  }
  if (m_decided) {
    return;
  }
  if (aEnd == ForwardEnd::Complete && aAttempt.m_notRun) {
    OnRefusal(aAttempt);
  } else {
    OnFailure(aAttempt, aEnd);
  }
}

static std::string
ReasonIn(const std::string& aBody)
{
  static const std::string kStart = "\"reason\":\"";
  const size_t start = aBody.find(kStart);
  if (start == std::string::npos) {
    return "the gate refused the call";
  }
  const size_t from = start + kStart.size();
  return aBody.substr(from, aBody.find('"', from) - from);
}

void
EntryCall::OnRefusal(EntryAttempt& aAttempt)
{
  m_excluded.insert(aAttempt.m_gate.node);
  const bool retriable = FindHeader(aAttempt.m_head.headers, kRetryHeader) != "no";
  if (retriable && TryAgainLocked()) {
    return;
  }
  if (m_attempts.empty() && !m_decided) {
    RefuseLocked(aAttempt.m_head.status, ReasonIn(aAttempt.m_refusalBody));
  }
}

static int
FailureStatus(ForwardEnd aEnd)
{
  switch (aEnd) {
    case ForwardEnd::NotSent:
      return 503;
    case ForwardEnd::TimedOut:
      return 504;
    default:
      return 502;
  }
}

void
EntryCall::OnFailure(EntryAttempt& aAttempt, ForwardEnd aEnd)
{
  m_excluded.insert(aAttempt.m_gate.node);
  // Nothing ran and no load was caused by a try that wasn't sent, so the next one costs no budget.
  const bool sent = aEnd != ForwardEnd::NotSent;
  if (!sent && LaunchLocked()) {
    return;
  }
  m_mayHaveRun = m_mayHaveRun || sent;
  if (sent && m_options.route->idempotent && TryAgainLocked()) {
    return;
  }
  if (m_attempts.empty() && !m_decided) {
    const bool late = aEnd == ForwardEnd::TimedOut;
    RefuseLocked(aAttempt.m_unknown ? aAttempt.m_head.status
                 : late             ? 504
                                    : 502,
                 aAttempt.m_unknown ? ReasonIn(aAttempt.m_refusalBody) : "the connection to the gate broke");
  }
}

void
EntryCall::OnDeadline()
{
  const std::lock_guard lock(m_mutex);
  if (m_decided) {
    return;
  }
  m_mayHaveRun = m_mayHaveRun || !m_attempts.empty();
  RefuseLocked(504, "no answer before the deadline");
  DropOthersLocked(nullptr);
}

void
EntryCall::Cancelled()
{
  const std::lock_guard lock(m_mutex);
  m_decided = true;
  DropOthersLocked(nullptr);
}

void
EntryCall::DropOthersLocked(const EntryAttempt* aKept)
{
  for (const auto& attempt : m_attempts) {
    if (attempt.get() != aKept) {
      m_entry.m_options.forwarder->Cancel(attempt->m_ticket);
    }
  }
}

void
EntryCall::RefuseLocked(int aStatus, const std::string& aReason)
{
  m_decided = true;
  const CallOutcome outcome = m_mayHaveRun ? CallOutcome::Unknown : CallOutcome::NotRun;
  m_exchange->Respond(MakeRefusal({ .status = aStatus,
                                    .outcome = outcome,
                                    .reason = aReason,
                                    .call = m_options.call,
                                    .retryAfter = std::chrono::seconds(1) }));
  Record(aStatus, m_mayHaveRun ? kOutcomeUnknown : kOutcomeNotRun, aReason);
}

static std::string
AttemptsText(const std::vector<AttemptRecord>& aAttempts)
{
  std::string text;
  for (const AttemptRecord& attempt : aAttempts) {
    text += (text.empty() ? "" : " ") + attempt.node + ":" + attempt.end + ":" +
            std::to_string(attempt.time.count());
  }
  return text;
}

void
EntryCall::Record(int aStatus, const std::string& aOutcome, const std::string& aReason)
{
  m_record.status = aStatus;
  m_record.outcome = aOutcome;
  m_record.reason = aReason;
  m_record.time = Since(m_began);
  m_entry.m_time->Observe(std::chrono::duration<double>(m_record.time).count());
  if (aOutcome == kOutcomeComplete) {
    m_entry.m_complete->Increment();
    m_entry.NoteTime(*m_options.route, m_record.time);
  } else if (aOutcome == kOutcomeNotRun) {
    m_entry.m_notRun->Increment();
    if (m_entry.m_refusalLog.Allow()) {
      Log(Event::CallRefused,
          { { "call", m_options.call },
            { "route", m_record.route },
            { "reason", aReason },
            { "attempts", AttemptsText(m_record.attempts) },
            { "micros", m_record.time.count() } });
    }
  } else {
    m_entry.m_unknown->Increment();
    Log(Event::CallUnknown,
        { { "call", m_options.call }, { "route", m_record.route }, { "reason", aReason } });
  }
  m_entry.m_history.Add(m_record);
}

} // namespace mimosarun
