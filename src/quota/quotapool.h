#pragma once

#include "common/clock.h"
#include "configuration/configuration.h"
#include "quota/demandestimate.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** Whether a request is within its team's quota. */
enum class QuotaDecision
{
  Admitted,
  /** The pool asks the ledger for more; the listener gets the decision. */
  Waiting,
  Refused,
};

/** Decision about a request; a refused one learns when the quota is expected to have room again. */
struct QuotaVerdict
{
  QuotaDecision decision = QuotaDecision::Admitted;
  std::chrono::milliseconds retryAfter{ 0 };
};

/** Requests of a team at one node, by decision, since the start of the process. */
struct QuotaCounts
{
  int64_t admitted = 0;
  int64_t refused = 0;
  /** Those admitted that ran nowhere. */
  int64_t returned = 0;
  /** Those that waited for a grant before they were admitted or refused. */
  int64_t waited = 0;
};

/**
 * What a node may use of the teams' quotas: admits requests while the node's grant has room, has more granted
 * otherwise, and goes on at the granted fallback rate when the ledger can't be reached. Thread-safe.
 */
class QuotaPool
{
public:
  /** Gets the decision about a request that waited, without a lock. */
  using Listener = std::function<void(const QuotaVerdict&)>;

  struct Options
  {
    std::string node;
    int64_t incarnation = 0;
    /** When this process started. */
    Deadline startedAt{};
    /** Is called without a lock when a report becomes due earlier than NextReportAt() said. */
    std::function<void()> onReportDue;
  };

  /** Decision about a new request; the identifier is valid while it waits. */
  struct Ticket
  {
    QuotaVerdict verdict;
    uint64_t identifier = 0;
  };

  explicit QuotaPool(Options aOptions);

  /** Sets the teams of a configuration version. */
  void SetTeams(int64_t aVersion, const std::map<std::string, Team>& aTeams, Deadline aNow);

  /** Sets the number of nodes that share the rate of nodes without contact. */
  void SetNodeCount(size_t aCount);

  /** Whether any team has a limit. */
  bool HasLimits() const;

  /** Decides about a request; requests of teams without a limit are admitted. */
  Ticket Request(const std::string& aTeam, Deadline aNow, Listener aListener);

  /**
   * Admits a request that waits if the fallback rate has room; returns nothing if it waits on, or if its
   * listener has got or is about to get the decision.
   */
  std::optional<QuotaVerdict> TryFallback(const std::string& aTeam, uint64_t aIdentifier, Deadline aNow);

  /**
   * Ends the wait of a request by its fallback rate; returns nothing if its listener has got or is about to
   * get the decision.
   */
  std::optional<QuotaVerdict> EndWait(const std::string& aTeam, uint64_t aIdentifier, Deadline aNow);

  /** Drops a request that waits. If its decision is on its way, the listener returns the token. */
  void Withdraw(const std::string& aTeam, uint64_t aIdentifier);

  /** Returns the token of an admitted request that ran nowhere. */
  void Return(const std::string& aTeam);

  /**
   * Returns when the next report is due: now if requests wait that no report in flight names, nothing if no
   * report is needed.
   */
  std::optional<Deadline> NextReportAt(Deadline aNow) const;

  /** Whether requests wait that no report in flight names. */
  bool HasUnreportedRequests() const;

  wire::QuotaRequest MakeReport(Deadline aNow);

  /** Takes over the grants of a reply to a report that was sent at the given time, and decides waiting
   * requests. */
  void Accept(const wire::QuotaRequest& aReport,
              const wire::QuotaReply& aReply,
              Deadline aSentAt,
              Deadline aNow);

  /** Makes a report due at once, which names all requests that wait, as one in flight reached no ledger. */
  void ReportAgain(Deadline aNow);

  /**
   * From now on, expired grants are replaced by fallback rates. Requests beyond these wait while a new leader
   * may be elected.
   */
  void LoseContact(Deadline aNow);

  std::map<std::string, QuotaCounts> Counts() const;

private:
  struct Waiter
  {
    uint64_t identifier = 0;
    Listener listener;
  };

  /** A listener and the decision that it gets. */
  struct Notification
  {
    Listener listener;
    QuotaVerdict verdict;
  };

  /** What the node holds of one team's quota. */
  struct Share
  {
    int32_t number = 0;
    double requestsPerSecond = 0;
    int64_t used = 0;
    int64_t allowed = 0;
    /** Size of the grant, from which the level for an early report follows. */
    int64_t granted = 0;
    Deadline grantedUntil{};
    double fallback = 0;
    Deadline fallbackUntil{};
    double fallbackTokens = 0;
    /** When fallbackTokens was computed, or when the rate begins to apply. */
    Deadline fallbackAt{};
    /** Until then the ledger has no room; zero if it had room for all that asked. */
    Deadline refusedUntil{};
    DemandEstimate demand;
    std::deque<Waiter> waiting;
    /** The newest request that waits and that a report without a reply yet names. */
    uint64_t reportedWaiter = 0;
    /** Sequence of the report whose reply was taken over last. */
    int64_t acceptedSequence = 0;
    /** Nothing while there is nothing to report. */
    std::optional<Deadline> nextReportAt;
    QuotaCounts counts;
  };

  static bool HasNewWaiter(const Share& aShare);
  /** Takes a request out of those that wait; returns false if it doesn't wait. */
  static bool RemoveWaiterLocked(Share& aShare, uint64_t aIdentifier);
  void ScaleLocked(Share& aShare, double aFactor) const;
  /** Whether a request without contact may wait for a ledger that is probably back before its wait ends. */
  bool MayAwaitContactLocked(const Share& aShare, Deadline aNow) const;
  /** Decides without asking the ledger if possible. */
  QuotaVerdict DecideLocked(Share& aShare, Deadline aNow);
  QuotaVerdict DecideByFallbackLocked(Share& aShare, Deadline aNow);
  void RefillFallbackLocked(Share& aShare, Deadline aNow) const;
  double FloorRateLocked(const Share& aShare) const;
  void AdoptGrantLocked(Share& aShare,
                        const wire::QuotaGrant& aGrant,
                        std::chrono::milliseconds aInterval,
                        Deadline aSentAt,
                        Deadline aNow);
  /** Decides requests that wait, in their order. */
  void DecideWaitingLocked(Share& aShare, Deadline aNow, std::vector<Notification>& aNotifications);
  static void CountLocked(Share& aShare, const QuotaVerdict& aVerdict);
  static void Notify(const std::vector<Notification>& aNotifications);

  const Options m_options;
  mutable std::mutex m_mutex;
  int64_t m_version = 0;
  int64_t m_sequence = 0;
  uint64_t m_lastIdentifier = 0;
  size_t m_nodeCount = 1;
  bool m_hasContact = true;
  Deadline m_contactLostAt{};
  /** Shares of the teams that have a limit. */
  std::map<std::string, Share> m_shares;
};

} // namespace mimosarun
