#include "node/quotaclient.h"

#include "common/log.h"

#include <algorithm>
#include <optional>

namespace mimosarun {

/** Longer than a reply from another region takes, with the leader's processor shared. */
static constexpr std::chrono::milliseconds kExchangeTimeout{ 300 };
static constexpr std::chrono::milliseconds kRetryInterval{ 100 };
/** Shortest time between two exchanges, in which the requests that arrive are reported together. */
static constexpr std::chrono::milliseconds kShortestInterval{ 5 };
/**
 * Time from a report to one on the second connection. With about half of a round trip to another region, each
 * request that waits has its reply within one and a half.
 */
static constexpr std::chrono::milliseconds kStagger{ 20 };
/** Bounds the number of time series; the teams beyond it are counted together. */
static constexpr size_t kLabelledTeams = 100;

QuotaClient::QuotaClient(const std::string& aNode, ReplicaSource aReplicas)
  : m_replicas(std::move(aReplicas))
  , m_pool({ .node = aNode,
             .incarnation = WallNow().time_since_epoch().count(),
             .startedAt = SteadyClock::now(),
             .onReportDue = [this] { m_reportDue.Notify(); } })
{
}

QuotaClient::~QuotaClient()
{
  Stop();
}

void
QuotaClient::SetConfiguration(const SnapshotPointer& aSnapshot)
{
  m_pool.SetTeams(aSnapshot->version, aSnapshot->configuration.teams, SteadyClock::now());
  if (!m_pool.HasLimits()) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  for (size_t connection = 0; connection < m_connections.size() && !m_reportDue.IsStopped(); ++connection) {
    if (!m_connections[connection].thread.joinable()) {
      m_connections[connection].thread = std::thread([this, connection] { Run(connection); });
    }
  }
}

void
QuotaClient::BeginStop()
{
  // No thread is started after this.
  const std::lock_guard lock(m_mutex);
  m_reportDue.Stop();
}

void
QuotaClient::Stop()
{
  BeginStop();
  for (Connection& connection : m_connections) {
    if (connection.thread.joinable()) {
      connection.thread.join();
    }
  }
}

// --- exchange --------------------------------------------------------------------------------------------

std::optional<Deadline>
QuotaClient::WorkAt(size_t aConnection, Deadline aNow)
{
  if (aConnection == 0) {
    return m_pool.NextReportAt(aNow);
  }
  const std::lock_guard lock(m_mutex);
  const Connection& first = m_connections.front();
  return first.isBusy && m_pool.HasUnreportedRequests()
           ? std::optional(std::max(aNow, first.sentAt + kStagger))
           : std::nullopt;
}

bool
QuotaClient::WaitForWork(size_t aConnection)
{
  return m_reportDue.WaitForWork(m_connections[aConnection].nextAttemptAt,
                                 [&](Deadline aNow) { return WorkAt(aConnection, aNow); });
}

void
QuotaClient::SetBusy(Connection& aConnection, bool aIsBusy)
{
  const std::lock_guard lock(m_mutex);
  aConnection.isBusy = aIsBusy;
  aConnection.sentAt = SteadyClock::now();
}

void
QuotaClient::Run(size_t aConnection)
{
  Connection& connection = m_connections[aConnection];
  while (WaitForWork(aConnection)) {
    SetBusy(connection, true);
    Exchange(connection);
    SetBusy(connection, false);
  }
}

void
QuotaClient::Exchange(Connection& aConnection)
{
  if (aConnection.client == nullptr) {
    Connect(aConnection);
  }
  if (aConnection.client == nullptr) {
    HandleFailure(aConnection, "no control replica is known");
    return;
  }
  const Deadline sentAt = SteadyClock::now();
  const wire::QuotaRequest report = m_pool.MakeReport(sentAt);
  wire::QuotaReply reply;
  const Result<void> called = aConnection.client->Call(
    sentAt + kExchangeTimeout, [&](wire::ControlPeerClient& aClient) { aClient.quota(reply, report); });
  const Deadline now = SteadyClock::now();
  aConnection.nextAttemptAt = now + kShortestInterval;
  if (called && reply.granted) {
    aConnection.isFollowing = false;
    m_pool.Accept(report, reply, sentAt, now);
    RecordContact(aConnection.client->Peer(), "");
    return;
  }
  if (called && !aConnection.isFollowing && Follow(aConnection, reply.leader)) {
    m_pool.ReportAgain(now);
    return;
  }
  HandleFailure(aConnection,
                called ? aConnection.client->Peer().Text() + ": the replica doesn't lead"
                       : called.error().message);
}

void
QuotaClient::HandleFailure(Connection& aConnection, const std::string& aReason)
{
  aConnection.isFollowing = false;
  aConnection.nextAttemptAt = SteadyClock::now() + kRetryInterval;
  m_pool.LoseContact(SteadyClock::now());
  RecordContact(std::nullopt, aReason);
  Connect(aConnection);
}

bool
QuotaClient::Follow(Connection& aConnection, const std::string& aLeader)
{
  std::optional<Address> address;
  for (const ReplicaSettings& replica : m_replicas()) {
    if (replica.name == aLeader) {
      address = replica.address;
    }
  }
  if (const Result<Address> named = ParseAddress(aLeader); !address && named) {
    address = named.value();
  }
  if (!address || address->Text() == aConnection.client->Peer().Text()) {
    return false;
  }
  aConnection.isFollowing = true;
  aConnection.client = std::make_unique<Client>(*address);
  return true;
}

void
QuotaClient::Connect(Connection& aConnection)
{
  const std::vector<ReplicaSettings> replicas = m_replicas();
  const std::lock_guard lock(m_mutex);
  if (m_leader) {
    aConnection.client = std::make_unique<Client>(*m_leader);
  } else if (!replicas.empty()) {
    aConnection.client = std::make_unique<Client>(replicas[m_nextReplica++ % replicas.size()].address);
  }
}

void
QuotaClient::RecordContact(const std::optional<Address>& aLeader, const std::string& aReason)
{
  bool isChanged = false;
  {
    const std::lock_guard lock(m_mutex);
    m_leader = aLeader;
    isChanged = m_hasContact != aLeader.has_value();
    m_hasContact = aLeader.has_value();
  }
  if (isChanged && aLeader) {
    Log(Event::QuotaContactRestored, { { "leader", aLeader->Text() } });
  } else if (isChanged) {
    Log(Event::QuotaContactLost, { { "reason", aReason } });
  }
}

// --- metrics ---------------------------------------------------------------------------------------------

void
QuotaClient::RefreshMetrics(Metrics& aMetrics) const
{
  std::map<std::string, QuotaCounts> counts;
  for (const auto& [team, teamCounts] : m_pool.Counts()) {
    const bool isLabelled = counts.contains(team) || counts.size() < kLabelledTeams;
    QuotaCounts& sum = counts[isLabelled ? team : "other teams"];
    sum.admitted += teamCounts.admitted;
    sum.refused += teamCounts.refused;
    sum.returned += teamCounts.returned;
    sum.waited += teamCounts.waited;
  }
  for (const auto& [team, teamCounts] : counts) {
    const std::pair<const char*, int64_t> values[] = { { "admitted", teamCounts.admitted },
                                                       { "refused", teamCounts.refused },
                                                       { "returned", teamCounts.returned },
                                                       { "waited", teamCounts.waited } };
    for (const auto& [decision, value] : values) {
      prometheus::Counter& counter =
        aMetrics.Counter("mimosarun_quota_requests_total",
                         "Requests of teams with a quota, by what happened to them",
                         { { "team", team }, { "decision", decision } });
      counter.Increment(std::max(0.0, static_cast<double>(value) - counter.Value()));
    }
  }
}

} // namespace mimosarun
