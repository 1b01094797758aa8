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
static constexpr std::chrono::milliseconds kIdleInterval{ 5000 };
/** Bounds the number of time series; the teams beyond it are counted together. */
static constexpr size_t kLabelledTeams = 100;

QuotaClient::QuotaClient(const std::string& aNode, ReplicaSource aReplicas)
  : m_replicas(std::move(aReplicas))
  , m_pool({ .node = aNode, .incarnation = WallNow().time_since_epoch().count(), .onReportDue = [this] {
              {
                const std::lock_guard lock(m_mutex);
                m_isWoken = true;
              }
              m_wake.notify_one();
            } })
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
  if (!m_thread.joinable() && !m_stop) {
    m_thread = std::thread([this] { Run(); });
  }
}

void
QuotaClient::BeginStop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_one();
}

void
QuotaClient::Stop()
{
  BeginStop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

// --- exchange --------------------------------------------------------------------------------------------

bool
QuotaClient::WaitUntilReportIsDue()
{
  while (true) {
    const Deadline now = SteadyClock::now();
    const std::optional<Deadline> next = m_pool.NextReportAt(now);
    const Deadline due = std::max(next.value_or(now + kIdleInterval), m_nextAttemptAt);
    std::unique_lock lock(m_mutex);
    if (m_stop) {
      return false;
    }
    if (next && due <= now) {
      return true;
    }
    // Requests that begin to wait don't shorten the time until the next attempt.
    if (m_nextAttemptAt > now) {
      m_wake.wait_until(lock, m_nextAttemptAt, [this] { return m_stop; });
    } else {
      m_wake.wait_until(lock, due, [this] { return m_stop || m_isWoken; });
    }
    m_isWoken = false;
  }
}

void
QuotaClient::Run()
{
  while (WaitUntilReportIsDue()) {
    Exchange();
  }
}

void
QuotaClient::Exchange()
{
  if (m_client == nullptr) {
    SwitchToNextReplica();
  }
  if (m_client == nullptr) {
    HandleFailure("no control replica is known");
    return;
  }
  const Deadline sentAt = SteadyClock::now();
  const wire::QuotaRequest report = m_pool.MakeReport(sentAt);
  wire::QuotaReply reply;
  const Result<void> called = m_client->Call(
    sentAt + kExchangeTimeout, [&](wire::ControlPeerClient& aClient) { aClient.quota(reply, report); });
  const Deadline now = SteadyClock::now();
  m_nextAttemptAt = now + kShortestInterval;
  if (called && reply.granted) {
    m_isFollowing = false;
    m_pool.Accept(report, reply, sentAt, now);
    RecordContact(true, "");
    return;
  }
  if (called && !m_isFollowing && Follow(reply.leader)) {
    return;
  }
  HandleFailure(called ? m_client->Peer().Text() + ": the replica doesn't lead" : called.error().message);
}

void
QuotaClient::HandleFailure(const std::string& aReason)
{
  m_isFollowing = false;
  m_nextAttemptAt = SteadyClock::now() + kRetryInterval;
  m_pool.LoseContact(SteadyClock::now());
  RecordContact(false, aReason);
  SwitchToNextReplica();
}

void
QuotaClient::ConnectTo(const Address& aAddress)
{
  m_client = std::make_unique<Client>(aAddress);
}

bool
QuotaClient::Follow(const std::string& aLeader)
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
  if (!address || address->Text() == m_client->Peer().Text()) {
    return false;
  }
  m_isFollowing = true;
  ConnectTo(*address);
  return true;
}

void
QuotaClient::SwitchToNextReplica()
{
  const std::vector<ReplicaSettings> replicas = m_replicas();
  if (!replicas.empty()) {
    ConnectTo(replicas[m_nextReplica++ % replicas.size()].address);
  }
}

void
QuotaClient::RecordContact(bool aHasContact, const std::string& aReason)
{
  if (aHasContact == m_hasContact) {
    return;
  }
  m_hasContact = aHasContact;
  if (aHasContact) {
    Log(Event::QuotaContactRestored, { { "leader", m_client->Peer().Text() } });
  } else {
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
