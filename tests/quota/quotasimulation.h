#pragma once

#include "quota/quotaledger.h"
#include "quota/quotapool.h"

#include <array>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

/** Requests of one team in a simulation, by the millisecond of their decision. */
struct TeamTrace
{
  /** Admitted and not returned. */
  std::vector<int64_t> admitted;
  std::vector<int64_t> refused;
  std::vector<int64_t> arrived;
  int64_t waited = 0;
};

/** Nodes with pools, a leader with a ledger, and a network between them that can be cut. */
class QuotaSimulation
{
public:
  struct Options
  {
    size_t nodes = 67;
    std::map<std::string, Team> teams;
    uint64_t seed = 1;
    QuotaTolerance tolerance;
    /** Share of the admitted requests that run nowhere. */
    double returnedShare = 0.02;
    /** Share of the messages that are lost. */
    double lossShare = 0;
    std::chrono::milliseconds tick{ 2 };
  };

  /** Requests per second of a team at a node. */
  using Load = std::function<double(const std::string& aTeam, size_t aNode)>;

  explicit QuotaSimulation(Options aOptions);

  /** Runs for a time under a load. */
  void Run(std::chrono::milliseconds aTime, const Load& aLoad);

  void SetTeams(const std::map<std::string, Team>& aTeams);
  /** Replaces the ledger by a new one, as a new leader does. */
  void ReplaceLedger();
  void SetLeaderSuspended(bool aSuspended);
  void SetCutOff(size_t aNode, bool aCutOff) { m_nodes[aNode].isCutOff = aCutOff; }
  void RestartNode(size_t aNode);

  int64_t Millis() const { return m_millis; }
  const TeamTrace& Trace(const std::string& aTeam) { return m_traces[aTeam]; }
  std::vector<QuotaState> LedgerStates() { return m_ledger->States(Now()); }
  /** Bytes of reports and replies so far, as the fields of the wire's compact encoding take them. */
  int64_t Bytes() const { return m_bytes; }
  int64_t Messages() const { return m_messages; }

private:
  /** One of the two connections of a node to the leader. */
  struct Lane
  {
    bool isInFlight = false;
    wire::QuotaRequest report;
    int64_t sentAt = 0;
    int64_t nextAttemptAt = 0;
    /** Number of the exchange, so that replies to earlier ones are dropped. */
    int64_t exchange = 0;
  };

  struct Node
  {
    std::unique_ptr<QuotaPool> pool;
    bool isCutOff = false;
    std::array<Lane, 2> lanes;
  };

  struct Message
  {
    int64_t at = 0;
    size_t node = 0;
    size_t lane = 0;
    int64_t exchange = 0;
    wire::QuotaRequest report;
    std::unique_ptr<wire::QuotaReply> reply;
  };

  struct Wait
  {
    int64_t until = 0;
    /** When the request may use the fallback rate next. */
    int64_t fallbackAt = 0;
    size_t node = 0;
    std::string team;
    uint64_t identifier = 0;
    int64_t incarnation = 0;
  };

  Deadline Now() const;
  int64_t DelayOf(size_t aNode) const;
  void StartNode(size_t aNode);
  void Arrive(const std::string& aTeam, size_t aNode);
  void Record(const std::string& aTeam, size_t aNode, const QuotaVerdict& aVerdict);
  void Exchange(size_t aNode, size_t aLane);
  void DeliverMessages();
  void EndWaits();
  bool IsLost();

  const Options m_options;
  std::mt19937_64 m_random;
  int64_t m_millis = 1000000;
  int64_t m_version = 1;
  int64_t m_incarnation = 0;
  std::map<std::string, Team> m_teams;
  std::unique_ptr<QuotaLedger> m_ledger;
  bool m_isSuspended = false;
  std::vector<Node> m_nodes;
  std::vector<Message> m_inFlight;
  std::vector<Wait> m_waits;
  std::map<std::string, TeamTrace> m_traces;
  int64_t m_bytes = 0;
  int64_t m_messages = 0;
};

/**
 * Returns the most requests beyond the bound in any window: (rate x window + burst) x (1 + share) + slack. A
 * negative number is the room that was left.
 */
double
WorstExcess(const std::vector<int64_t>& aAdmitted,
            const std::function<double(int64_t aFrom, int64_t aTo)>& aRequests,
            const std::function<double(int64_t aFrom, int64_t aTo)>& aBurst,
            const QuotaTolerance& aTolerance);

} // namespace mimosarun
