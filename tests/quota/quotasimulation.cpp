#include "quotasimulation.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

namespace mimosarun {

static constexpr int64_t kWaitMillis = 1000;
static constexpr int64_t kFallbackMillis = 200;
static constexpr int64_t kTimeoutMillis = 300;
static constexpr int64_t kRetryMillis = 100;
static constexpr int64_t kPauseMillis = 5;
static constexpr int64_t kStaggerMillis = 20;
static constexpr size_t kDomains = 4;

template<typename Message>
static int64_t
EncodedBytes(const Message& aMessage)
{
  const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(buffer);
  aMessage.write(&protocol);
  return buffer->available_read();
}

QuotaSimulation::QuotaSimulation(Options aOptions)
  : m_options(std::move(aOptions))
  , m_random(m_options.seed)
  , m_teams(m_options.teams)
  , m_nodes(m_options.nodes)
{
  // The first leader has led for long before the teams appear.
  m_ledger = std::make_unique<QuotaLedger>(
    QuotaLedger::Options{ .tolerance = m_options.tolerance, .startedAt = Now() - std::chrono::hours(1) });
  m_ledger->SetTeams(m_version, m_teams, Now());
  for (size_t node = 0; node < m_nodes.size(); ++node) {
    StartNode(node);
  }
}

Deadline
QuotaSimulation::Now() const
{
  return Deadline(std::chrono::milliseconds(m_millis));
}

int64_t
QuotaSimulation::DelayOf(size_t aNode) const
{
  const size_t domain = aNode % kDomains;
  return domain < kDomains / 2 ? 1 : 21;
}

void
QuotaSimulation::StartNode(size_t aNode)
{
  Node& node = m_nodes[aNode];
  node.pool = std::make_unique<QuotaPool>(QuotaPool::Options{
    .node = "node-" + std::to_string(aNode), .incarnation = ++m_incarnation, .onReportDue = {} });
  node.pool->SetTeams(m_version, m_teams, Now());
  node.pool->SetNodeCount(m_nodes.size());
  for (Lane& lane : node.lanes) {
    lane.isInFlight = false;
    lane.nextAttemptAt = m_millis;
    ++lane.exchange;
  }
}

void
QuotaSimulation::RestartNode(size_t aNode)
{
  // Requests that waited at the node are lost with it.
  std::erase_if(m_waits, [&](const Wait& aWait) { return aWait.node == aNode; });
  StartNode(aNode);
}

void
QuotaSimulation::SetTeams(const std::map<std::string, Team>& aTeams)
{
  m_teams = aTeams;
  ++m_version;
  m_ledger->SetTeams(m_version, m_teams, Now());
  for (Node& node : m_nodes) {
    node.pool->SetTeams(m_version, m_teams, Now());
  }
}

void
QuotaSimulation::ReplaceLedger()
{
  m_ledger = std::make_unique<QuotaLedger>(
    QuotaLedger::Options{ .tolerance = m_options.tolerance, .startedAt = Now() });
  m_ledger->SetTeams(m_version, m_teams, Now());
}

void
QuotaSimulation::SetLeaderSuspended(bool aSuspended)
{
  m_isSuspended = aSuspended;
}

void
QuotaSimulation::Record(const std::string& aTeam, size_t /*aNode*/, const QuotaVerdict& aVerdict)
{
  TeamTrace& trace = m_traces[aTeam];
  (aVerdict.decision == QuotaDecision::Admitted ? trace.admitted : trace.refused).push_back(m_millis);
}

void
QuotaSimulation::Arrive(const std::string& aTeam, size_t aNode)
{
  TeamTrace& trace = m_traces[aTeam];
  trace.arrived.push_back(m_millis);
  const QuotaPool::Ticket ticket = m_nodes[aNode].pool->Request(
    aTeam, Now(), [this, aTeam, aNode](const QuotaVerdict& aVerdict) { Record(aTeam, aNode, aVerdict); });
  if (ticket.verdict.decision == QuotaDecision::Waiting) {
    ++trace.waited;
    m_waits.push_back({ .until = m_millis + kWaitMillis,
                        .fallbackAt = m_millis + kFallbackMillis,
                        .node = aNode,
                        .team = aTeam,
                        .identifier = ticket.identifier });
    return;
  }
  const bool isReturned = ticket.verdict.decision == QuotaDecision::Admitted &&
                          std::bernoulli_distribution(m_options.returnedShare)(m_random);
  if (isReturned) {
    m_nodes[aNode].pool->Return(aTeam);
    return;
  }
  Record(aTeam, aNode, ticket.verdict);
}

void
QuotaSimulation::EndWaits()
{
  size_t kept = 0;
  for (size_t index = 0; index < m_waits.size(); ++index) {
    Wait& wait = m_waits[index];
    QuotaPool& pool = *m_nodes[wait.node].pool;
    std::optional<QuotaVerdict> verdict;
    if (wait.until <= m_millis) {
      verdict = pool.EndWait(wait.team, wait.identifier, Now());
    } else if (wait.fallbackAt <= m_millis) {
      verdict = pool.TryFallback(wait.team, wait.identifier, Now());
      wait.fallbackAt = m_millis + kFallbackMillis;
    }
    if (verdict) {
      Record(wait.team, wait.node, *verdict);
    } else if (wait.until > m_millis) {
      m_waits[kept++] = wait;
    }
  }
  m_waits.resize(kept);
}

bool
QuotaSimulation::IsLost()
{
  return m_options.lossShare > 0 && std::bernoulli_distribution(m_options.lossShare)(m_random);
}

void
QuotaSimulation::Exchange(size_t aNode, size_t aLane)
{
  Node& node = m_nodes[aNode];
  Lane& lane = node.lanes[aLane];
  if (lane.isInFlight) {
    if (m_millis - lane.sentAt >= kTimeoutMillis) {
      lane.isInFlight = false;
      ++lane.exchange;
      lane.nextAttemptAt = m_millis + kRetryMillis;
      node.pool->LoseContact(Now());
    }
    return;
  }
  const auto next = node.pool->NextReportAt(Now());
  const bool isNeeded =
    aLane == 0 || (node.lanes[0].isInFlight && m_millis >= node.lanes[0].sentAt + kStaggerMillis &&
                   node.pool->HasUnreportedRequests());
  if (m_millis < lane.nextAttemptAt || !next || *next > Now() || !isNeeded) {
    return;
  }
  lane.isInFlight = true;
  lane.report = node.pool->MakeReport(Now());
  lane.sentAt = m_millis;
  m_bytes += EncodedBytes(lane.report);
  ++m_messages;
  if (!node.isCutOff && !IsLost()) {
    Message message{
      .at = m_millis + DelayOf(aNode), .node = aNode, .lane = aLane, .exchange = lane.exchange
    };
    message.report = lane.report;
    m_inFlight.push_back(std::move(message));
  }
}

void
QuotaSimulation::DeliverMessages()
{
  std::vector<Message> due;
  std::vector<Message> later;
  for (Message& message : m_inFlight) {
    const bool isHeld = m_isSuspended && message.reply == nullptr;
    (message.at <= m_millis && !isHeld ? due : later).push_back(std::move(message));
  }
  m_inFlight = std::move(later);
  for (Message& message : due) {
    Node& node = m_nodes[message.node];
    if (message.reply == nullptr) {
      const bool isUnheard = node.isCutOff;
      message.reply = std::make_unique<wire::QuotaReply>(m_ledger->Handle(message.report, Now()));
      m_bytes += EncodedBytes(*message.reply);
      message.at = m_millis + DelayOf(message.node);
      if (!isUnheard && !IsLost()) {
        m_inFlight.push_back(std::move(message));
      }
    } else if (Lane& lane = node.lanes[message.lane];
               lane.isInFlight && message.exchange == lane.exchange && !node.isCutOff) {
      lane.isInFlight = false;
      ++lane.exchange;
      lane.nextAttemptAt = m_millis + kPauseMillis;
      node.pool->Accept(lane.report, *message.reply, Deadline(std::chrono::milliseconds(lane.sentAt)), Now());
    }
  }
}

void
QuotaSimulation::Run(std::chrono::milliseconds aTime, const Load& aLoad)
{
  struct Source
  {
    std::string team;
    std::poisson_distribution<int> arrivals;
    std::discrete_distribution<size_t> nodes;
  };
  std::vector<Source> sources;
  for (const auto& [name, team] : m_teams) {
    std::vector<double> rates;
    double sum = 0;
    for (size_t node = 0; node < m_nodes.size(); ++node) {
      rates.push_back(aLoad(name, node));
      sum += rates.back();
    }
    if (sum > 0) {
      const double perTick = sum * std::chrono::duration<double>(m_options.tick).count();
      sources.push_back({ .team = name,
                          .arrivals = std::poisson_distribution<int>(perTick),
                          .nodes = std::discrete_distribution<size_t>(rates.begin(), rates.end()) });
    }
  }
  for (const int64_t end = m_millis + aTime.count(); m_millis < end; m_millis += m_options.tick.count()) {
    DeliverMessages();
    for (Source& source : sources) {
      for (int count = source.arrivals(m_random); count > 0; --count) {
        Arrive(source.team, source.nodes(m_random));
      }
    }
    for (size_t node = 0; node < m_nodes.size(); ++node) {
      Exchange(node, 0);
      Exchange(node, 1);
    }
    EndWaits();
  }
}

double
WorstExcess(const std::vector<int64_t>& aAdmitted,
            const std::function<double(int64_t aFrom, int64_t aTo)>& aRequests,
            const std::function<double(int64_t aFrom, int64_t aTo)>& aBurst,
            const QuotaTolerance& aTolerance)
{
  double worst = -1e9;
  size_t first = 0;
  for (size_t last = 0; last < aAdmitted.size(); ++last) {
    const int64_t from = aAdmitted[last] - aTolerance.window.count();
    while (aAdmitted[first] <= from) {
      ++first;
    }
    const auto count = static_cast<double>(last - first + 1);
    const double quota = aRequests(from, aAdmitted[last]) + aBurst(from, aAdmitted[last]);
    const double bound = quota * (1 + aTolerance.burstShare) + static_cast<double>(aTolerance.slack);
    worst = std::max(worst, count - bound);
  }
  return worst;
}

} // namespace mimosarun
