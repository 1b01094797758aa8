#include "caller/entry.h"

#include "caller/entrycall.h"
#include "common/random.h"
#include "http/refusal.h"

#include <algorithm>

namespace mimosarun {

static constexpr size_t kCallSuffixLength = 16;
static constexpr int kHedgeFactor = 2;
static constexpr int kLoggedRefusalsPerSecond = 10;
static constexpr std::chrono::milliseconds kLongestPatience{ 3600000 };
static constexpr int kFullPatiencePart = 50;
static constexpr double kPatienceSmoothing = 32;
static constexpr double kMostlyFull = 0.5;
static constexpr double kSizeSmoothing = 16;
static constexpr double kBytesInKilobyte = 1024;
/** About the size of the heads of a call and its answer between two nodes. */
static constexpr double kHeadBytes = 700;
/** About the time that a node needs from its start to its first configuration. */
static constexpr std::chrono::milliseconds kRetryWithoutConfiguration{ 600 };

Entry::Entry(Options aOptions)
  : m_options(std::move(aOptions))
  , m_balancer(m_options.balancer)
  , m_budget(m_options.retries)
  , m_hedgeBudget({ .share = m_options.hedges, .extra = 0 })
  , m_refusalLog(kLoggedRefusalsPerSecond)
  , m_snapshot(EmptySnapshot())
  , m_directory(std::make_shared<const Directory>())
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
  const auto refuse = [codec = entry->m_options.codec](const UnreadableRequest& aRequest) {
    return codec.refuse(
      { .status = aRequest.status, .outcome = CallOutcome::NotRun, .reason = aRequest.reason });
  };
  MIMOSARUN_TRY(
    entry->m_server,
    HttpServer::Start(
      { .address = entry->m_options.address,
        .handler = [raw = entry.get()](const ExchangePointer& aExchange) { raw->Handle(aExchange); },
        .refuser = refuse,
        .loops = entry->m_options.loops }));
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
}

void
Entry::SetSnapshot(SnapshotPointer aSnapshot)
{
  const CallerLimits& limits = aSnapshot->configuration.callerLimits;
  m_server->SetLimits({ .headerBytes = static_cast<size_t>(limits.maxHeaderBytes),
                        .bodyBytes = static_cast<size_t>(limits.maxBodyBytes),
                        .headerTimeout = limits.headerTimeout,
                        .idleTimeout = limits.idleTimeout });
  const std::lock_guard lock(m_mutex);
  m_snapshot = std::move(aSnapshot);
}

void
Entry::SetOwnService(const std::string& aService)
{
  const std::lock_guard lock(m_mutex);
  m_ownService = aService;
}

void
Entry::SetNodes(size_t aNodes)
{
  m_budget.SetNodes(aNodes);
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

void
Entry::CloseAfterAnswers()
{
  m_server->CloseAfterAnswers();
}

int
Entry::CallsInHand() const
{
  return m_calls;
}

DirectoryPointer
Entry::Gates() const
{
  const std::lock_guard lock(m_mutex);
  return m_directory;
}

void
Entry::NoteSize(const Route& aRoute, size_t aBytes)
{
  const std::lock_guard lock(m_timesMutex);
  double& bytes = m_times[aRoute.name].bytes;
  const auto size = static_cast<double>(aBytes);
  bytes += bytes == 0 ? size : (size - bytes) / kSizeSmoothing;
}

double
Entry::UsualKilobytes(const Route& aRoute) const
{
  const std::lock_guard lock(m_timesMutex);
  const auto times = m_times.find(aRoute.name);
  const double bytes = times == m_times.end() ? 0 : times->second.bytes;
  return (bytes + kHeadBytes) / kBytesInKilobyte;
}

std::chrono::microseconds
Entry::HedgeDelay(const Route& aRoute) const
{
  if (!aRoute.Idempotent() || aRoute.callClass == CallClass::Long || m_options.hedges == 0) {
    return std::chrono::microseconds(0);
  }
  if (aRoute.hedgeAfter.count() > 0) {
    return aRoute.hedgeAfter;
  }
  const std::lock_guard lock(m_timesMutex);
  const auto times = m_times.find(aRoute.name);
  const bool known = times != m_times.end() && times->second.slow.Value().count() > 0;
  return kHedgeFactor * (known ? times->second.slow.Value() : std::chrono::microseconds(aRoute.expectedCost));
}

void
Entry::NoteTime(const Route& aRoute, std::chrono::microseconds aTime)
{
  const std::lock_guard lock(m_timesMutex);
  RouteTimes& times = m_times[aRoute.name];
  times.usual.Add(aTime);
  times.slow.Add(aTime);
}

std::chrono::microseconds
Entry::UsualTime(const Route& aRoute) const
{
  const std::lock_guard lock(m_timesMutex);
  const auto times = m_times.find(aRoute.name);
  const bool known = times != m_times.end() && times->second.usual.Value().count() > 0;
  return known ? times->second.usual.Value() : std::chrono::microseconds(aRoute.expectedCost);
}

std::chrono::milliseconds
Entry::TimeSpent(const Route& aRoute, std::chrono::milliseconds aPatience)
{
  const std::lock_guard lock(m_timesMutex);
  RouteTimes& times = m_times[aRoute.name];
  times.longestPatience = std::max(times.longestPatience, aPatience);
  const auto missing = times.longestPatience - aPatience;
  const bool full = missing < times.longestPatience / kFullPatiencePart;
  times.fullPatienceShare += ((full ? 1.0 : 0.0) - times.fullPatienceShare) / kPatienceSmoothing;
  // Where calls come with all kinds of patience, little patience doesn't tell of an earlier attempt.
  return times.fullPatienceShare > kMostlyFull ? missing : std::chrono::milliseconds(0);
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
Entry::RefuseAtOnce(const ExchangePointer& aExchange, const Refused& aRefused)
{
  m_notRun->Increment();
  aExchange->Respond(m_options.codec.refuse(aRefused));
}

static std::string
HostWithoutPort(const HttpRequest& aRequest)
{
  const std::string host = FindHeader(aRequest.headers, "Host");
  return host.substr(0, host.find(':'));
}

void
Entry::Handle(const ExchangePointer& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  CallerWishes wishes = m_options.codec.readWishes(request);
  if (wishes.call.empty()) {
    wishes.call = m_options.node + "-" + RandomIdentifier().substr(0, kCallSuffixLength);
  }
  SnapshotPointer snapshot;
  bool draining = false;
  {
    const std::lock_guard lock(m_mutex);
    snapshot = m_snapshot;
    draining = m_draining;
  }
  if (draining) {
    RefuseAtOnce(aExchange,
                 { .status = 503, .reason = "the entry is shutting down; use another", .call = wishes.call });
    return;
  }
  if (snapshot->version == 0) {
    RefuseAtOnce(aExchange,
                 { .status = 503,
                   .reason = "the entry has no configuration yet; try again shortly",
                   .call = wishes.call,
                   .retryAfter = kRetryWithoutConfiguration });
    return;
  }
  const Configuration& configuration = snapshot->configuration;
  const Route* route = FindRoute(configuration, HostWithoutPort(request), request.path, request.method);
  if (route == nullptr) {
    RefuseAtOnce(aExchange, { .status = 404, .reason = "no route matches the request", .call = wishes.call });
    return;
  }
  if (!TakeLimit(configuration, route->limit)) {
    RefuseAtOnce(
      aExchange,
      { .status = 429, .reason = "the limit '" + route->limit + "' is reached", .call = wishes.call });
    return;
  }
  const std::chrono::milliseconds patience =
    std::clamp(wishes.patience.value_or(route->timeout), std::chrono::milliseconds(0), kLongestPatience);
  const auto objective = route->latencyObjective.count() > 0 ? route->latencyObjective : route->timeout;
  const Deadline now = aExchange->ReceivedAt();
  const auto call = std::make_shared<EntryCall>(
    *this,
    aExchange,
    EntryCall::Options{ .call = wishes.call,
                        .snapshot = snapshot,
                        .route = route,
                        .deadline = now + std::min(patience, route->timeout),
                        .objective = now + objective - TimeSpent(*route, patience) });
  call->Begin();
}

} // namespace mimosarun
