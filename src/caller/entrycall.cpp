#include "caller/entrycall.h"

#include "caller/entry.h"
#include "common/log.h"
#include "common/random.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/** Time beyond a call's deadline in which a gate's own refusal may still arrive. */
static constexpr std::chrono::milliseconds kGrace{ 30 };
/** Usual times that a short call may take before its connection is doubted. */
static constexpr int kSilenceFactor = 10;
/** Gates that one call may ask. */
static constexpr int kHopLimit = 5;
/** Time that stands for "any" in a message. */
static constexpr std::chrono::hours kAnyTime{ 1 };
/** Part of the time left until the objective that a call may wait for a slot. */
static constexpr double kWaitShare = 0.75;
/** A call that misses its objective anyway waits for at most one part in this many of its time. */
static constexpr int kLateWaitPart = 8;
static constexpr std::chrono::milliseconds kConnectTimeout{ 250 };
/** A gate whose VM is gone or cut off acknowledges nothing. */
static constexpr std::chrono::milliseconds kUnacknowledgedLimit{ 600 };
/** Lets a gate notice that a connection broke before it is asked again. */
static constexpr std::chrono::milliseconds kAskAgainPause{ 30 };
static constexpr std::chrono::milliseconds kLeastRetryAfter{ 100 };
static constexpr std::chrono::milliseconds kRetryAfterSpread{ 200 };

static const char*
EndName(ForwardEnd aEnd)
{
  switch (aEnd) {
    case ForwardEnd::Complete:
      return "unknown";
    case ForwardEnd::NotSent:
      return "not-sent";
    case ForwardEnd::KeptConnectionClosed:
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

EntryCall::EntryCall(Entry& aEntry, ExchangePointer aExchange, Options aOptions)
  : m_entry(aEntry)
  , m_exchange(std::move(aExchange))
  , m_loop(m_exchange->Loop())
  , m_options(std::move(aOptions))
  , m_began(m_exchange->ReceivedAt())
  , m_service(m_entry.m_splitter.Next(*m_options.route))
  , m_deadlineTimer(m_loop.Context())
  , m_hedgeTimer(m_loop.Context())
  , m_halfTimer(m_loop.Context())
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
  const auto self = shared_from_this();
  m_exchange->OnCancel([self] { self->OnCallerGone(); });
  m_entry.m_budget.Earn(m_service, m_began);
  m_entry.m_hedgeBudget.Earn(m_service, m_began);
  StartTimers();
  if (m_options.route->Idempotent()) {
    SendFirst();
    return;
  }
  // An answer before it may close the connection, and its caller would then send this one again.
  m_exchange->OnTurn([weak = weak_from_this()] {
    if (const auto call = weak.lock()) {
      call->SendFirst();
    }
  });
}

static void
Arm(boost::asio::steady_timer& aTimer,
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
  Arm(m_deadlineTimer, m_options.deadline + kGrace, weak_from_this(), &EntryCall::OnDeadline);
  if (!m_options.route->Idempotent()) {
    return;
  }
  Arm(m_halfTimer, m_began + (m_options.deadline - m_began) / 2, weak_from_this(), &EntryCall::OnHalfTime);
  const std::chrono::microseconds hedgeDelay = m_entry.HedgeDelay(*m_options.route);
  if (hedgeDelay.count() > 0) {
    Arm(m_hedgeTimer, m_began + hedgeDelay, weak_from_this(), &EntryCall::OnHedgeTime);
  }
}

void
EntryCall::SendFirst()
{
  if (!m_decided && !SendNext()) {
    GiveUp(503, "no target of the service takes calls");
  }
}

std::chrono::microseconds
EntryCall::AffordableWait(Deadline aNow) const
{
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  const microseconds usual = m_entry.UsualTime(*m_options.route);
  const auto toObjective = duration_cast<microseconds>(m_options.objective - aNow) - usual;
  if (toObjective.count() > 0) {
    const auto share = static_cast<int64_t>(kWaitShare * static_cast<double>(toObjective.count()));
    return std::min(microseconds(share), duration_cast<microseconds>(m_options.deadline - aNow));
  }
  const auto toDeadline = duration_cast<microseconds>(m_options.deadline - aNow);
  return std::max(microseconds(0), std::min(toDeadline - usual, toDeadline / kLateWaitPart));
}

bool
EntryCall::MayRunAgain()
{
  // An attempt under way may reach a target, so it counts.
  const int64_t given = m_runs + static_cast<int64_t>(m_attempts.size());
  if (given == 0) {
    return true;
  }
  const Route& route = *m_options.route;
  const Deadline now = SteadyClock::now();
  const bool inTime = now + m_entry.UsualTime(route) / 2 < m_options.deadline;
  return given <= route.retries && inTime && m_entry.m_budget.TrySpend(m_service, now);
}

CallWish
EntryCall::WishAt(Deadline aNow) const
{
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(m_options.objective - aNow);
  const Route& route = *m_options.route;
  return { .kind = route.name,
           .objective = route.latencyObjective.count() > 0 ? route.latencyObjective : route.timeout,
           .objectiveLeft = std::max(left, std::chrono::microseconds(0)),
           .kilobytes = m_entry.UsualKilobytes(route) };
}

bool
EntryCall::SendNext()
{
  const Deadline now = SteadyClock::now();
  if (now >= m_options.deadline || m_hops >= kHopLimit) {
    return false;
  }
  std::optional<GateChoice> choice = ChooseGate(now);
  if (!choice) {
    return false;
  }
  const std::chrono::microseconds affordable = AffordableWait(now);
  const auto named = m_experience.turnedBack.find(choice->gate.node);
  const bool again = named != m_experience.turnedBack.end();
  if (again && named->second > affordable) {
    return false;
  }
  if (!MayRunAgain()) {
    return false;
  }
  choice->last = again;
  choice->longestWait = again ? affordable : std::min(choice->longestWait, affordable);
  Send(*choice);
  return true;
}

std::optional<GateChoice>
EntryCall::ChooseGate(Deadline aNow)
{
  const DirectoryPointer directory = m_entry.Gates();
  const auto gates = directory->gates.find(m_service);
  if (gates == directory->gates.end()) {
    return std::nullopt;
  }
  if (m_hops < kHopLimit - 1) {
    return m_entry.m_balancer.Choose(gates->second, m_experience, WishAt(aNow));
  }
  // Enough gates were asked, so the call waits at the best one of them.
  std::vector<GateInfo> asked = gates->second;
  std::erase_if(asked, [this](const GateInfo& aGate) {
    return !m_experience.turnedBack.contains(aGate.node) || m_experience.excluded.contains(aGate.node);
  });
  return m_entry.m_balancer.Choose(asked.empty() ? gates->second : asked, m_experience, WishAt(aNow));
}

HttpRequest
EntryCall::GateRequest(Deadline aNow, const GateChoice& aChoice) const
{
  using std::chrono::milliseconds;
  const Route& route = *m_options.route;
  HttpRequest request = m_exchange->Request();
  std::string ownService;
  {
    const std::lock_guard lock(m_entry.m_mutex);
    ownService = m_entry.m_ownService;
  }
  m_entry.m_options.codec.prepareForTarget(request.headers, ownService);
  HopRequest hop{ .call = m_options.call,
                  .service = m_service,
                  .route = route.name,
                  .repeat = route.repeat,
                  .callClass = route.callClass,
                  .priority = route.priority,
                  .expectedCost = route.expectedCost,
                  .timeLeft = TimeLeft(m_options.deadline, aNow),
                  .objectiveLeft = std::chrono::floor<milliseconds>(m_options.objective - aNow),
                  .longestWait = std::chrono::ceil<milliseconds>(aChoice.longestWait),
                  .toleratedDoubt = std::chrono::ceil<milliseconds>(
                    std::min<std::chrono::microseconds>(aChoice.toleratedDoubt, kAnyTime)),
                  .lastChoice = aChoice.last,
                  .sentToLife = m_asksAgain ? aChoice.gate.life : 0 };
  if (route.repeat == RepeatPolicy::Keyed) {
    hop.homeRegion = m_options.snapshot->configuration.services.at(m_service).homeRegion;
  }
  WriteHop(request.headers, hop);
  return request;
}

void
EntryCall::Send(const GateChoice& aChoice)
{
  const auto attempt = std::make_shared<EntryAttempt>(shared_from_this(), aChoice.gate);
  const std::string& node = aChoice.gate.node;
  attempt->m_paid = m_runs > 0 || !m_attempts.empty();
  m_attempts.push_back(attempt);
  ++m_hops;
  m_entry.m_balancer.Sent(node, m_options.route->callClass, attempt->m_sentAt);
  attempt->m_ticket = m_entry.m_options.forwarder->Start(
    m_loop,
    { .to = aChoice.gate.address,
      .request = GateRequest(attempt->m_sentAt, aChoice),
      .deadline = m_options.deadline + 2 * kGrace,
      .connectTimeout = kConnectTimeout,
      .unacknowledgedLimit = kUnacknowledgedLimit,
      .connectionGeneration = m_entry.m_balancer.ConnectionGeneration(node) },
    attempt);
  WatchForSilence(attempt);
}

void
EntryCall::SendAgainTo(const GateInfo& aGate)
{
  m_asksAgain = true;
  m_loop.RunAt(SteadyClock::now() + kAskAgainPause, [weak = weak_from_this(), aGate] {
    const auto self = weak.lock();
    if (self && !self->m_decided) {
      // The gate recognises the call, so it joins this attempt to what the first one began.
      self->Send({ .gate = aGate, .longestWait = self->AffordableWait(SteadyClock::now()) });
    }
  });
}

bool
EntryCall::SendBeside()
{
  const std::set<std::string> excluded = m_experience.excluded;
  for (const AttemptPointer& attempt : m_attempts) {
    m_experience.excluded.insert(attempt->m_gate.node);
  }
  bool sent = SendNext();
  m_experience.excluded = excluded;
  // Where there is no other gate, the same one may be reached over another connection.
  sent = sent || SendNext();
  if (sent) {
    m_entry.m_retries->Increment();
  }
  return sent;
}

// --- doubts ----------------------------------------------------------------------------------------------

void
EntryCall::WatchForSilence(const AttemptPointer& aAttempt)
{
  const Route& route = *m_options.route;
  // Only short calls are expected to answer soon.
  if (!route.Idempotent() || route.callClass == CallClass::Long) {
    return;
  }
  const auto expected = m_entry.UsualTime(route) * kSilenceFactor;
  const auto patience = std::max(m_entry.m_balancer.Patience(aAttempt->m_gate.node), expected);
  const Deadline at = SteadyClock::now() + patience;
  if (at >= m_options.deadline) {
    return;
  }
  m_loop.RunAt(at, [weak = weak_from_this(), attempt = std::weak_ptr(aAttempt)] {
    if (const auto self = weak.lock()) {
      self->OnSilence(attempt);
    }
  });
}

void
EntryCall::OnSilence(const std::weak_ptr<EntryAttempt>& aAttempt)
{
  const auto attempt = aAttempt.lock();
  if (attempt == nullptr || m_decided || attempt->m_hop) {
    return;
  }
  // The kept connection may have gone silent, so calls use new ones from now on. It may as well be a slow
  // call, so this one is sent again only when half of its time has passed.
  m_entry.m_balancer.DistrustConnections(attempt->m_gate.node);
}

void
EntryCall::OnHalfTime()
{
  // A gate that answers other calls is slow rather than gone, and more load would make it slower.
  const bool heard = std::any_of(m_attempts.begin(), m_attempts.end(), [this](const auto& aHeld) {
    return aHeld->m_hop || m_entry.m_balancer.HeardSince(aHeld->m_gate.node, aHeld->m_sentAt);
  });
  if (!m_decided && !heard && !m_attempts.empty()) {
    SendBeside();
  }
}

void
EntryCall::OnHedgeTime()
{
  const bool alone = m_attempts.size() == 1 && !m_attempts.front()->m_hop;
  if (!m_decided && alone && m_entry.m_hedgeBudget.TrySpend(m_service, SteadyClock::now())) {
    SendBeside();
  }
}

void
EntryCall::OnDeadline()
{
  if (m_decided) {
    return;
  }
  m_mayHaveRun = m_mayHaveRun || !m_attempts.empty();
  Refuse(504, "no answer before the deadline");
  CancelOthers(nullptr);
}

void
EntryCall::OnCallerGone()
{
  if (!m_decided) {
    Record(0, m_mayHaveRun || !m_attempts.empty() ? "unknown" : "not-run", "the caller has gone");
  }
  Decide();
  CancelOthers(nullptr);
}

// --- answers ---------------------------------------------------------------------------------------------

void
EntryCall::NoteEnd(const EntryAttempt& aAttempt, AttemptEnd aEnd)
{
  m_entry.m_balancer.Ended({ .node = aAttempt.m_gate.node,
                             .kind = m_options.route->name,
                             .callClass = m_options.route->callClass,
                             .end = aEnd,
                             .sentAt = aAttempt.m_sentAt },
                           SteadyClock::now());
}

void
EntryCall::Remove(EntryAttempt& aAttempt, AttemptEnd aEnd, const std::string& aName)
{
  std::erase_if(m_attempts, [&](const AttemptPointer& aHeld) { return aHeld.get() == &aAttempt; });
  NoteEnd(aAttempt, aEnd);
  m_record.attempts.push_back(
    { .node = aAttempt.m_gate.node, .end = aName, .time = Since(aAttempt.m_sentAt) });
}

bool
EntryCall::BeginStreaming(EntryAttempt& aAttempt)
{
  if (m_decided) {
    return false;
  }
  Decide();
  m_winner = &aAttempt;
  CancelOthers(&aAttempt);
  HttpHead head = aAttempt.m_head;
  m_entry.m_options.codec.finishAnswer(head, m_options.call);
  m_exchange->OnDrain([ticket = aAttempt.m_ticket] { ticket.Resume(); });
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
  m_entry.NoteSize(*m_options.route, m_exchange->Request().body.size() + aAttempt.m_bodyBytes);
  Remove(aAttempt, failed ? AttemptEnd::Failed : AttemptEnd::Answered, "complete");
  ++m_runs;
  if (m_winner == &aAttempt) {
    m_exchange->Finish(true);
    Record(status, "complete", "");
    return;
  }
  if (m_decided) {
    return;
  }
  if (failed && m_options.route->Idempotent()) {
    m_experience.excluded.insert(aAttempt.m_gate.node);
    m_failure = HttpResponse{ .status = status,
                              .headers = std::move(aAttempt.m_head.headers),
                              .body = std::move(aAttempt.m_body) };
    if (!m_attempts.empty() || SendNext()) {
      return;
    }
    GiveUp(502, "the target failed");
    return;
  }
  Answer(std::move(aAttempt.m_head), std::move(aAttempt.m_body));
}

void
EntryCall::OnTurnedBack(EntryAttempt& aAttempt)
{
  Remove(aAttempt, AttemptEnd::Shed, "not-run");
  if (aAttempt.m_paid) {
    m_entry.m_budget.GiveBack(m_service, SteadyClock::now());
  }
  if (m_decided) {
    return;
  }
  const std::string& node = aAttempt.m_gate.node;
  const bool mayChange = aAttempt.m_hop->wait.count() > 0 || aAttempt.m_hop->doubt.count() > 0;
  if (m_experience.turnedBack.contains(node) || !mayChange) {
    // It isn't a matter of waiting, or the call waited there in vain.
    m_experience.excluded.insert(node);
  }
  m_experience.turnedBack[node] = aAttempt.m_hop->wait;
  // The gate that was asked again says that the call never came, so it may go elsewhere.
  m_mayHaveRun = m_mayHaveRun && !m_asksAgain;
  m_asksAgain = false;
  const bool everywhere = aAttempt.m_hop->outcome == HopOutcome::Refused;
  if (!everywhere && SendNext()) {
    return;
  }
  if (m_attempts.empty()) {
    GiveUp(aAttempt.m_head.status, aAttempt.m_body);
  }
}

void
EntryCall::OnNotRun(EntryAttempt& aAttempt)
{
  Remove(aAttempt, AttemptEnd::Shed, "not-run");
  ++m_runs;
  if (m_decided) {
    return;
  }
  m_experience.excluded.insert(aAttempt.m_gate.node);
  if (SendNext()) {
    m_entry.m_retries->Increment();
    Log(Event::CallRetried, { { "call", m_options.call }, { "reason", aAttempt.m_body } });
    return;
  }
  if (m_attempts.empty()) {
    GiveUp(503, aAttempt.m_body);
  }
}

void
EntryCall::OnLost(EntryAttempt& aAttempt, ForwardEnd aEnd)
{
  Remove(aAttempt, AttemptEnd::Failed, EndName(aEnd));
  if (m_winner == &aAttempt) {
    m_exchange->Finish(false);
    Record(m_record.status, "cut", "the answer broke off");
    return;
  }
  if (m_decided) {
    return;
  }
  const bool sent = aEnd != ForwardEnd::NotSent;
  const bool saidByGate = aEnd == ForwardEnd::Complete;
  if (!sent && aAttempt.m_paid) {
    m_entry.m_budget.GiveBack(m_service, SteadyClock::now());
  }
  const bool idempotent = m_options.route->Idempotent();
  if (!idempotent && ((sent && !saidByGate) || m_mayHaveRun)) {
    // The gate may hold the call; only the same gate can tell.
    m_mayHaveRun = true;
    if (aEnd != ForwardEnd::TimedOut && m_hops < kHopLimit && SteadyClock::now() < m_options.deadline) {
      SendAgainTo(aAttempt.m_gate);
      return;
    }
  }
  m_experience.excluded.insert(aAttempt.m_gate.node);
  m_mayHaveRun = m_mayHaveRun || sent;
  m_runs += sent ? 1 : 0;
  if ((!sent || idempotent) && SendNext()) {
    if (sent) {
      m_entry.m_retries->Increment();
      Log(Event::CallRetried, { { "call", m_options.call }, { "reason", EndName(aEnd) } });
    }
    return;
  }
  if (!m_attempts.empty()) {
    return;
  }
  const bool late = aEnd == ForwardEnd::TimedOut || aAttempt.m_head.status == 504;
  GiveUp(!m_mayHaveRun ? 503
         : late        ? 504
                       : 502,
         saidByGate ? aAttempt.m_body : "the connection to the gate broke");
}

void
EntryCall::GiveUp(int aStatus, const std::string& aReason)
{
  if (m_failure) {
    HttpHead head{ .status = m_failure->status, .headers = std::move(m_failure->headers) };
    Answer(std::move(head), std::move(m_failure->body));
    return;
  }
  // A refusal may say "not run" only where no attempt may have run.
  const bool promise = aStatus == 503 || aStatus == 429;
  Refuse(promise && m_mayHaveRun ? 502 : aStatus, aReason);
}

void
EntryCall::Answer(HttpHead aHead, std::string aBody)
{
  Decide();
  CancelOthers(nullptr);
  m_entry.m_options.codec.finishAnswer(aHead, m_options.call);
  const int status = aHead.status;
  m_exchange->Respond({ .status = status, .headers = std::move(aHead.headers), .body = std::move(aBody) });
  Record(status, "complete", "");
}

std::optional<std::chrono::milliseconds>
EntryCall::RetryAfter() const
{
  std::chrono::microseconds wait = kLeastRetryAfter;
  for (const auto& [node, named] : m_experience.turnedBack) {
    wait = std::max(wait, named);
  }
  // Callers that were refused together come back spread out.
  return std::chrono::ceil<std::chrono::milliseconds>(wait) +
         std::chrono::milliseconds(RandomBetween(0, kRetryAfterSpread.count()));
}

void
EntryCall::Refuse(int aStatus, const std::string& aReason)
{
  Decide();
  const CallOutcome outcome = m_mayHaveRun ? CallOutcome::Unknown : CallOutcome::NotRun;
  m_exchange->Respond(m_entry.m_options.codec.refuse({ .status = aStatus,
                                                       .outcome = outcome,
                                                       .reason = aReason,
                                                       .call = m_options.call,
                                                       .retryAfter = RetryAfter() }));
  Record(aStatus, m_mayHaveRun ? "unknown" : "not-run", aReason);
}

void
EntryCall::Decide()
{
  m_decided = true;
  m_deadlineTimer.cancel();
  m_hedgeTimer.cancel();
  m_halfTimer.cancel();
}

void
EntryCall::CancelOthers(const EntryAttempt* aKept)
{
  for (const AttemptPointer& attempt : std::exchange(m_attempts, {})) {
    if (attempt.get() == aKept) {
      m_attempts.push_back(attempt);
      continue;
    }
    attempt->m_ticket.Cancel();
    NoteEnd(*attempt, AttemptEnd::Abandoned);
  }
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
  if (aOutcome == "complete") {
    m_entry.m_complete->Increment();
    m_entry.NoteTime(*m_options.route, m_record.time);
  } else if (aOutcome == "not-run") {
    m_entry.m_notRun->Increment();
    if (m_entry.m_refusalLog.Allow()) {
      Log(Event::CallRefused,
          { { "call", m_options.call },
            { "route", m_record.route },
            { "status", aStatus },
            { "reason", aReason },
            { "version", m_record.version },
            { "attempts", AttemptsText(m_record.attempts) },
            { "micros", m_record.time.count() } });
    }
  } else {
    m_entry.m_unknown->Increment();
    Log(Event::CallUnknown,
        { { "call", m_options.call },
          { "route", m_record.route },
          { "status", aStatus },
          { "reason", aReason },
          { "version", m_record.version },
          { "attempts", AttemptsText(m_record.attempts) },
          { "micros", m_record.time.count() } });
  }
  m_entry.m_history.Add(m_record);
}

} // namespace mimosarun
