#include "caller/entry.h"

#include "caller/entrycall.h"
#include "common/random.h"
#include "hop/fingerprint.h"
#include "http/refusal.h"

#include <algorithm>

namespace mimosarun {

static constexpr size_t kCallIdSuffixLength = 16;
static constexpr int kHedgeFactor = 2;
static constexpr std::chrono::milliseconds kLongestTimeout{ 3600000 };
static constexpr int kFullTimeoutDivisor = 50;
static constexpr double kTimeoutSmoothing = 32;
static constexpr double kMinFullTimeoutShare = 0.5;
static constexpr double kSizeSmoothing = 16;
static constexpr double kBytesInKilobyte = 1024;
/** Approximate size of the headers of a request and its response between two nodes. */
static constexpr double kHeaderBytes = 700;
/** Approximate time from the start of a node to its first configuration. */
static constexpr std::chrono::milliseconds kRetryAfterWithoutConfiguration{ 600 };
/** Short, since another entry may serve the call at once. */
static constexpr std::chrono::milliseconds kRetryAfterWhileStopping{ 50 };

Entry::Entry(Options aOptions)
  : m_options(std::move(aOptions))
  , m_balancer(m_options.balancer)
  , m_choiceMetrics(*m_options.metrics)
  , m_retryBudget(m_options.retryBudget)
  , m_hedgeBudget({ .retriesPerRequest = m_options.hedgesPerCall, .baseRetries = 0 })
  , m_recorder(*m_options.metrics)
  , m_credentials({ .lease = m_options.lease, .metrics = m_options.metrics })
  , m_snapshot(EmptySnapshot())
  , m_directory(std::make_shared<const GateDirectory>())
  , m_calls(std::make_shared<EntryCallRegistry>())
{
  Metrics& metrics = *m_options.metrics;
  m_retryCounter = &metrics.Counter("mimosarun_entry_retries_total", "Attempts after the first", {});
  m_quarantinedCounter =
    &metrics.Counter("mimosarun_entry_quarantined_total", "Calls refused as they are quarantined", {});
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
        .makeErrorResponse = refuse,
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
Entry::SetLocalService(const std::string& aService)
{
  const std::lock_guard lock(m_mutex);
  m_localService = aService;
}

void
Entry::SetNodeCount(size_t aCount)
{
  m_retryBudget.SetNodeCount(aCount);
}

void
Entry::SetDirectory(GateDirectoryPointer aDirectory)
{
  m_balancer.SetDirectory(aDirectory);
  const std::lock_guard lock(m_mutex);
  m_directory = std::move(aDirectory);
}

void
Entry::RefreshMetrics()
{
  m_choiceMetrics.SetLoads(m_balancer.ServiceLoads(SteadyClock::now()));
}

void
Entry::BeginDrain(const DrainSchedule& aSchedule)
{
  const std::lock_guard lock(m_mutex);
  m_drainSchedule = aSchedule;
}

void
Entry::CloseAfterResponses()
{
  m_server->CloseAfterResponses();
}

void
Entry::StopListening()
{
  m_server->StopListening();
}

void
Entry::ForEachOpenCall(const std::function<void(EntryCall&)>& aFunction)
{
  std::vector<std::shared_ptr<EntryCall>> calls;
  {
    const std::lock_guard lock(m_calls->mutex);
    for (const auto& [address, weak] : m_calls->calls) {
      if (auto call = weak.lock()) {
        calls.push_back(std::move(call));
      }
    }
  }
  for (std::shared_ptr<EntryCall>& call : calls) {
    // The last reference may end here, and must do so on the loop.
    EventLoop& loop = call->Loop();
    loop.Dispatch([aFunction, onLoop = std::move(call)] { aFunction(*onLoop); });
  }
}

void
Entry::RefuseUnansweredCalls()
{
  ForEachOpenCall([](EntryCall& aCall) {
    if (!aCall.HasResponse()) {
      aCall.OnEntryEnds();
    }
  });
}

void
Entry::RefuseOpenCalls()
{
  ForEachOpenCall([](EntryCall& aCall) { aCall.OnEntryEnds(); });
}

int
Entry::OpenCalls() const
{
  return m_openCalls;
}

Entry::State
Entry::CurrentState() const
{
  const std::lock_guard lock(m_mutex);
  return { .snapshot = m_snapshot, .drainSchedule = m_drainSchedule };
}

GateDirectoryPointer
Entry::CurrentDirectory() const
{
  const std::lock_guard lock(m_mutex);
  return m_directory;
}

std::string
Entry::LocalService() const
{
  const std::lock_guard lock(m_mutex);
  return m_localService;
}

void
Entry::RecordCallSize(const Route& aRoute, size_t aBytes)
{
  const std::lock_guard lock(m_routeStatsMutex);
  double& meanBytes = m_routeStats[aRoute.name].meanBytes;
  const auto bytes = static_cast<double>(aBytes);
  meanBytes += meanBytes == 0 ? bytes : (bytes - meanBytes) / kSizeSmoothing;
}

double
Entry::MeanCallKilobytes(const Route& aRoute) const
{
  const std::lock_guard lock(m_routeStatsMutex);
  const auto stats = m_routeStats.find(aRoute.name);
  const double bytes = stats == m_routeStats.end() ? 0 : stats->second.meanBytes;
  return (bytes + kHeaderBytes) / kBytesInKilobyte;
}

std::chrono::microseconds
Entry::HedgeDelay(const Route& aRoute) const
{
  if (!aRoute.Idempotent() || aRoute.callClass == CallClass::Long || m_options.hedgesPerCall == 0) {
    return std::chrono::microseconds(0);
  }
  if (aRoute.hedgeAfter.count() > 0) {
    return aRoute.hedgeAfter;
  }
  return kHedgeFactor * P95CallTime(aRoute);
}

std::chrono::microseconds
Entry::P95CallTime(const Route& aRoute) const
{
  const std::lock_guard lock(m_routeStatsMutex);
  const auto stats = m_routeStats.find(aRoute.name);
  const bool isKnown = stats != m_routeStats.end() && stats->second.p95Time.Value().count() > 0;
  return isKnown ? stats->second.p95Time.Value() : std::chrono::microseconds(aRoute.expectedCost);
}

void
Entry::RecordCallTime(const Route& aRoute, std::chrono::microseconds aTime)
{
  const std::lock_guard lock(m_routeStatsMutex);
  RouteStats& stats = m_routeStats[aRoute.name];
  stats.medianTime.Add(aTime);
  stats.p95Time.Add(aTime);
}

std::chrono::microseconds
Entry::MedianCallTime(const Route& aRoute) const
{
  const std::lock_guard lock(m_routeStatsMutex);
  const auto stats = m_routeStats.find(aRoute.name);
  const bool isKnown = stats != m_routeStats.end() && stats->second.medianTime.Value().count() > 0;
  return isKnown ? stats->second.medianTime.Value() : std::chrono::microseconds(aRoute.expectedCost);
}

std::chrono::milliseconds
Entry::EstimateTimeSpent(const Route& aRoute, std::chrono::milliseconds aTimeout)
{
  const std::lock_guard lock(m_routeStatsMutex);
  RouteStats& stats = m_routeStats[aRoute.name];
  stats.longestTimeout = std::max(stats.longestTimeout, aTimeout);
  const auto timeSpent = stats.longestTimeout - aTimeout;
  const bool isFullTimeout = timeSpent < stats.longestTimeout / kFullTimeoutDivisor;
  stats.fullTimeoutShare += ((isFullTimeout ? 1.0 : 0.0) - stats.fullTimeoutShare) / kTimeoutSmoothing;
  // Where the callers' timeouts vary, a short timeout doesn't indicate an earlier attempt.
  return stats.fullTimeoutShare > kMinFullTimeoutShare ? timeSpent : std::chrono::milliseconds(0);
}

bool
Entry::TryAcquireLimit(const Configuration& aConfiguration, const std::string& aLimit)
{
  if (aLimit.empty()) {
    return true;
  }
  const std::lock_guard lock(m_limitMutex);
  int64_t& openCalls = m_limitUsage[aLimit];
  if (openCalls >= aConfiguration.limits.at(aLimit).maxInFlight) {
    return false;
  }
  ++openCalls;
  return true;
}

void
Entry::ReleaseLimit(const std::string& aLimit)
{
  if (!aLimit.empty()) {
    const std::lock_guard lock(m_limitMutex);
    --m_limitUsage[aLimit];
  }
}

CallRequirements
Entry::RequirementsOf(const Route& aRoute, const CallTimes& aTimes, Deadline aNow) const
{
  const auto timeToObjective = std::chrono::duration_cast<std::chrono::microseconds>(aTimes.objective - aNow);
  return { .costGroup = aRoute.name,
           .latencyObjective = aRoute.latencyObjective.count() > 0 ? aRoute.latencyObjective : aRoute.timeout,
           .timeToObjective = std::max(timeToObjective, std::chrono::microseconds(0)),
           .kilobytes = MeanCallKilobytes(aRoute),
           .longestWait = LongestAllowedWait(aTimes, aNow) };
}

RouteExplanation
Entry::ExplainRoute(const std::string& aHost, const HttpRequest& aRequest, Deadline aNow)
{
  SnapshotPointer snapshot;
  GateDirectoryPointer directory;
  {
    const std::lock_guard lock(m_mutex);
    snapshot = m_snapshot;
    directory = m_directory;
  }
  RouteExplanation explanation{ .version = snapshot->version };
  const Route* route = FindRoute(snapshot->configuration, aHost, aRequest.path, aRequest.method);
  if (route == nullptr) {
    return explanation;
  }
  explanation.route = route->name;
  // The question names no team.
  if (const auto until = QuarantinedUntil(*route, "", aRequest, aNow)) {
    explanation.quarantinedFor = std::chrono::ceil<std::chrono::milliseconds>(*until - aNow);
  }
  const auto objective = route->latencyObjective.count() > 0 ? route->latencyObjective : route->timeout;
  const CallRequirements requirements = RequirementsOf(*route,
                                                       { .objective = aNow + objective,
                                                         .deadline = aNow + route->timeout,
                                                         .medianTime = MedianCallTime(*route) },
                                                       aNow);
  explanation.longestWait = requirements.longestWait;
  for (const RouteShare& share : route->shares) {
    ExplainedService service{ .service = share.service, .weight = share.weight };
    if (const auto gates = directory->gates.find(share.service); gates != directory->gates.end()) {
      service.gates = gates->second.size();
      service.considered = m_balancer.Explain(gates->second, requirements, aNow);
    }
    explanation.services.push_back(std::move(service));
  }
  return explanation;
}

std::optional<Deadline>
Entry::QuarantinedUntil(const Route& aRoute,
                        const std::string& aTeam,
                        const HttpRequest& aRequest,
                        Deadline aNow) const
{
  if (m_options.quarantine == nullptr || !m_options.quarantine->MayListRequests()) {
    return std::nullopt;
  }
  return m_options.quarantine->ListedUntil(RequestFingerprint(aRoute.name, aTeam, aRequest), aNow);
}

std::set<std::string>
Entry::ExcludedNodes(const Route& aRoute,
                     const std::string& aTeam,
                     const HttpRequest& aRequest,
                     Deadline aNow) const
{
  if (m_options.quarantine == nullptr || !m_options.quarantine->MayListRequests()) {
    return {};
  }
  return m_options.quarantine->ExcludedNodes(RequestFingerprint(aRoute.name, aTeam, aRequest), aNow);
}

void
Entry::RefuseImmediately(const ExchangePointer& aExchange, const RefusalDetails& aRefusal)
{
  m_recorder.CountImmediateRefusal();
  aExchange->Respond(m_options.codec.refuse(aRefusal));
}

void
Entry::RefuseCredential(const ExchangePointer& aExchange,
                        CredentialVerdict aVerdict,
                        const Snapshot& aSnapshot,
                        const Route& aRoute,
                        const std::string& aCallId)
{
  const RefusalDetails details = m_credentials.Refuse(aVerdict, aSnapshot, aRoute, aCallId);
  m_recorder.Add({ .callId = aCallId,
                   .route = aRoute.name,
                   .version = aSnapshot.version,
                   .status = details.status,
                   .outcome = "not-run",
                   .reason = std::string(Name(aVerdict)) + ": " + details.reason });
  RefuseImmediately(aExchange, details);
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
  RequestOptions options = m_options.codec.readOptions(request);
  if (options.callId.empty()) {
    options.callId = m_options.node + "-" + RandomIdentifier().substr(0, kCallIdSuffixLength);
  }
  aExchange->SetCallId(options.callId);
  const State state = CurrentState();
  const SnapshotPointer& snapshot = state.snapshot;
  if (snapshot->version == 0) {
    RefuseImmediately(aExchange,
                      { .status = 503,
                        .reason = "the entry has no configuration yet; try again shortly",
                        .callId = options.callId,
                        .retryAfter = kRetryAfterWithoutConfiguration });
    return;
  }
  const Route* route =
    FindRoute(snapshot->configuration, HostWithoutPort(request), request.path, request.method);
  if (route == nullptr) {
    RefuseImmediately(aExchange,
                      { .status = 404, .reason = "no route matches the request", .callId = options.callId });
    return;
  }
  const CredentialDecision credential =
    m_credentials.Check(*snapshot, *route, options.credential, SteadyClock::now());
  if (credential.IsRefused()) {
    RefuseCredential(aExchange, credential.verdict, *snapshot, *route, options.callId);
    return;
  }
  const AcceptedRequest accepted{
    .exchange = aExchange, .options = options, .state = state, .route = *route, .team = credential.team
  };
  if (const auto refusal = Admit(accepted)) {
    RefuseImmediately(aExchange, *refusal);
    return;
  }
  StartCall(accepted);
}

std::optional<RefusalDetails>
Entry::Admit(const AcceptedRequest& aRequest)
{
  if (auto refusal = RefuseWhileStopping(aRequest)) {
    return refusal;
  }
  if (auto refusal = RefuseQuarantined(aRequest)) {
    return refusal;
  }
  const std::string& limit = aRequest.route.limit;
  if (!TryAcquireLimit(aRequest.state.snapshot->configuration, limit)) {
    return RefusalDetails{ .status = 429,
                           .reason = "the limit '" + limit + "' is reached",
                           .callId = aRequest.options.callId };
  }
  return std::nullopt;
}

std::chrono::milliseconds
Entry::TimeoutOf(const AcceptedRequest& aRequest)
{
  return std::clamp(
    aRequest.options.timeout.value_or(aRequest.route.timeout), std::chrono::milliseconds(0), kLongestTimeout);
}

Deadline
Entry::DeadlineOf(const AcceptedRequest& aRequest)
{
  return aRequest.exchange->ReceivedAt() + std::min(TimeoutOf(aRequest), aRequest.route.timeout);
}

std::optional<RefusalDetails>
Entry::RefuseWhileStopping(const AcceptedRequest& aRequest) const
{
  const std::optional<DrainSchedule>& drainSchedule = aRequest.state.drainSchedule;
  if (!drainSchedule ||
      drainSchedule->Accepts(aRequest.exchange->ReceivedAt(), P95CallTime(aRequest.route)) ||
      drainSchedule->AcceptsUntilDeadline(DeadlineOf(aRequest))) {
    return std::nullopt;
  }
  return RefusalDetails{ .status = 503,
                         .reason = "the entry is shutting down; use another",
                         .callId = aRequest.options.callId,
                         .retryAfter = kRetryAfterWhileStopping };
}

std::optional<RefusalDetails>
Entry::RefuseQuarantined(const AcceptedRequest& aRequest)
{
  const Deadline receivedAt = aRequest.exchange->ReceivedAt();
  const std::string team = aRequest.team == nullptr ? "" : aRequest.team->name;
  const auto until = QuarantinedUntil(aRequest.route, team, aRequest.exchange->Request(), receivedAt);
  if (!until) {
    return std::nullopt;
  }
  m_quarantinedCounter->Increment();
  return RefusalDetails{
    .status = 503,
    .reason = "targets ended whenever they ran this request; report it to the authors of the service",
    .callId = aRequest.options.callId,
    .retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*until - receivedAt)
  };
}

void
Entry::StartCall(const AcceptedRequest& aRequest)
{
  const Route& route = aRequest.route;
  const Team* const team = aRequest.team;
  const auto objective = route.latencyObjective.count() > 0 ? route.latencyObjective : route.timeout;
  const Deadline receivedAt = aRequest.exchange->ReceivedAt();
  const auto call = std::make_shared<EntryCall>(
    *this,
    aRequest.exchange,
    CallOptions{ .callId = aRequest.options.callId,
                 .snapshot = aRequest.state.snapshot,
                 .route = &route,
                 .team = team == nullptr ? "" : team->name,
                 .teamPriority = team == nullptr ? 0 : team->priority,
                 .teamRate = team == nullptr ? 0 : team->requestsPerSecond,
                 .deadline = DeadlineOf(aRequest),
                 .objectiveDeadline =
                   receivedAt + objective - EstimateTimeSpent(route, TimeoutOf(aRequest)) });
  call->Start();
}

} // namespace mimosarun
