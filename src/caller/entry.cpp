#include "caller/entry.h"

#include "caller/entrycall.h"
#include "common/random.h"
#include "http/meshheaders.h"
#include "http/refusal.h"

#include <algorithm>

namespace mimosarun {

static constexpr size_t kCallSuffixLength = 16;
static constexpr double kHedgeShare = 0.05;
static constexpr double kHedgeLimit = 3;
static constexpr double kUsualQuantile = 0.95;
static constexpr int kHedgeFactor = 2;
static constexpr int kLoggedRefusalsPerSecond = 10;

Entry::Entry(Options aOptions)
  : m_options(std::move(aOptions))
  , m_balancer(m_options.policy)
  , m_budget({})
  , m_hedgeBudget({ .share = kHedgeShare, .limit = kHedgeLimit })
  , m_refusalLog(kLoggedRefusalsPerSecond)
  , m_snapshot(EmptySnapshot())
  , m_directory(std::make_shared<const Directory>())
  , m_timers(std::make_unique<TimerQueue>())
{
  Metrics& metrics = *m_options.metrics;
  const std::string help = "Calls of this entry by outcome";
  m_complete = &metrics.Counter("mimosarun_entry_calls_total", help, { { "outcome", "complete" } });
  m_notRun = &metrics.Counter("mimosarun_entry_calls_total", help, { { "outcome", "not-run" } });
  m_unknown = &metrics.Counter("mimosarun_entry_calls_total", help, { { "outcome", "unknown" } });
  m_retries = &metrics.Counter("mimosarun_entry_retries_total", "Attempts after the first", {});
  m_time = &metrics.Seconds("mimosarun_entry_call_seconds", "Time of calls from arrival to the end", {});
}

Result<std::unique_ptr<Entry>>
Entry::Start(Options aOptions)
{
  std::unique_ptr<Entry> entry(new Entry(std::move(aOptions)));
  MIMOSARUN_TRY(entry->m_server,
                HttpServer::Start({ .address = entry->m_options.address,
                                    .handler = [raw = entry.get()](const ExchangePointer& aExchange) {
                                      raw->Handle(aExchange);
                                    } }));
  return entry;
}

Entry::~Entry()
{
  Stop();
}

void
Entry::Stop()
{
  m_server.reset();
  m_timers.reset();
}

void
Entry::SetSnapshot(SnapshotPointer aSnapshot)
{
  const std::lock_guard lock(m_mutex);
  m_snapshot = std::move(aSnapshot);
}

void
Entry::SetDirectory(DirectoryPointer aDirectory)
{
  const std::lock_guard lock(m_mutex);
  m_directory = std::move(aDirectory);
}

void
Entry::BeginDrain()
{
  {
    const std::lock_guard lock(m_mutex);
    m_draining = true;
  }
  m_server->StopListening();
}

int
Entry::CallsInHand() const
{
  return m_calls;
}

std::vector<GateInfo>
Entry::GatesOf(const std::string& aService) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_directory->gates.find(aService);
  return found == m_directory->gates.end() ? std::vector<GateInfo>() : found->second;
}

std::chrono::microseconds
Entry::HedgeDelay(const Route& aRoute) const
{
  if (!aRoute.idempotent || aRoute.callClass == CallClass::Long) {
    return std::chrono::microseconds(0);
  }
  if (aRoute.hedgeAfter.count() > 0) {
    return aRoute.hedgeAfter;
  }
  const std::lock_guard lock(m_timesMutex);
  const auto usual = m_usualTimes.find(aRoute.service);
  return usual == m_usualTimes.end() ? kHedgeFactor * std::chrono::microseconds(aRoute.expectedCost)
                                     : kHedgeFactor * usual->second.Value();
}

void
Entry::NoteTime(const Route& aRoute, std::chrono::microseconds aTime)
{
  if (aRoute.callClass == CallClass::Short) {
    const std::lock_guard lock(m_timesMutex);
    m_usualTimes.try_emplace(aRoute.service, kUsualQuantile).first->second.Add(aTime);
  }
}

bool
Entry::TakeLimit(const Configuration& aConfiguration, const std::string& aLimit)
{
  if (aLimit.empty()) {
    return true;
  }
  const std::lock_guard lock(m_limitMutex);
  int64_t& inUse = m_limitInUse[aLimit];
  if (inUse >= aConfiguration.limits.at(aLimit).maxInFlight) {
    return false;
  }
  ++inUse;
  return true;
}

void
Entry::GiveLimitBack(const std::string& aLimit)
{
  if (!aLimit.empty()) {
    const std::lock_guard lock(m_limitMutex);
    --m_limitInUse[aLimit];
  }
}

void
Entry::RefuseAtOnce(const ExchangePointer& aExchange,
                    const std::string& aCall,
                    int aStatus,
                    const std::string& aReason)
{
  m_notRun->Increment();
  aExchange->Respond(
    MakeRefusal({ .status = aStatus, .outcome = CallOutcome::NotRun, .reason = aReason, .call = aCall }));
}

static std::string
HostWithoutPort(const HttpRequest& aRequest)
{
  const std::string host = FindHeader(aRequest.headers, "Host");
  return host.substr(0, host.find(':'));
}

static Deadline
CallDeadline(const HttpRequest& aRequest, const Route& aRoute, Deadline aNow)
{
  const std::string wish = FindHeader(aRequest.headers, kTimeoutHeader);
  std::chrono::milliseconds time = aRoute.timeout;
  if (!wish.empty()) {
    const std::chrono::milliseconds wished(std::strtoll(wish.c_str(), nullptr, 10));
    time = std::clamp(wished, std::chrono::milliseconds(0), aRoute.timeout);
  }
  return aNow + time;
}

void
Entry::Handle(const ExchangePointer& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const std::string call = m_options.node + "-" + RandomIdentifier().substr(0, kCallSuffixLength);
  SnapshotPointer snapshot;
  bool draining = false;
  {
    const std::lock_guard lock(m_mutex);
    snapshot = m_snapshot;
    draining = m_draining;
  }
  if (draining) {
    RefuseAtOnce(aExchange, call, 503, "the entry is shutting down; use another");
    return;
  }
  const Configuration& configuration = snapshot->configuration;
  const Route* route = FindRoute(configuration, HostWithoutPort(request), request.path, request.method);
  if (route == nullptr) {
    RefuseAtOnce(aExchange, call, 404, "no route matches the request");
    return;
  }
  if (!TakeLimit(configuration, route->limit)) {
    RefuseAtOnce(aExchange, call, 429, "the limit '" + route->limit + "' is reached");
    return;
  }
  const Deadline deadline = CallDeadline(request, *route, SteadyClock::now());
  const auto entryCall = std::make_shared<EntryCall>(
    *this,
    aExchange,
    EntryCall::Options{ .call = call, .snapshot = snapshot, .route = route, .deadline = deadline });
  const std::weak_ptr<EntryCall> weak = entryCall;
  aExchange->OnCancel([weak] {
    if (const auto held = weak.lock()) {
      held->Cancelled();
    }
  });
  entryCall->Begin();
}

} // namespace mimosarun
