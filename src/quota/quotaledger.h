#pragma once

#include "common/clock.h"
#include "quota/teamnumbers.h"
#include "settings/meshlimits.h"
#include "wire/gen-cpp/mesh_types.h"

#include <map>
#include <string>
#include <vector>

namespace mimosarun {

/** How freely a team's quota is granted. */
enum class QuotaMode
{
  /** Use is well below the limit; nodes get more than they are expected to need. */
  Free,
  /** Use is near the limit; what there is gets split by demand. */
  Limited,
  /** The ledger is new and refills only by the rates that nodes are known to hold. */
  Learning,
};

/** State of a team's quota, for operators. */
struct QuotaState
{
  std::string team;
  double requestsPerSecond = 0;
  double burst = 0;
  int64_t priority = 0;
  /** Requests per second that the nodes received recently, admitted or not. */
  double demand = 0;
  /** Requests that the bucket still has room for. */
  double level = 0;
  /** Requests that nodes may admit without asking again. */
  double kept = 0;
  QuotaMode mode = QuotaMode::Free;
  size_t holders = 0;
  size_t silentHolders = 0;
};

/**
 * Divides the quotas of the teams among the nodes: a token bucket per team, from which each grant is reserved
 * in full. Level and what nodes keep together never exceed the burst, so the requests of any window stay
 * within rate x window + burst, plus a debt that is part of the tolerance. What a node didn't use returns
 * with its next report. A node that is silent is charged at its fallback rate. Not thread-safe.
 */
class QuotaLedger
{
public:
  struct Options
  {
    QuotaTolerance tolerance;
    /** When this ledger took over; grants and fallback rates of an earlier one may still be in use. */
    Deadline startedAt;
  };

  explicit QuotaLedger(Options aOptions);

  /**
   * Sets the teams of a configuration version. Teams of the first call may have been granted quota by an
   * earlier ledger, those that appear later not.
   */
  void SetTeams(int64_t aVersion, const std::map<std::string, Team>& aTeams, Deadline aNow);

  /** Makes the numbers of an earlier version's teams known, for nodes that still hold it. */
  void AddVersion(int64_t aVersion, const std::map<std::string, Team>& aTeams)
  {
    m_numbers.Add(aVersion, aTeams);
  }

  /** Charges what a node used and grants it more. Lost, repeated and reordered requests do no harm. */
  wire::QuotaReply Handle(const wire::QuotaRequest& aRequest, Deadline aNow);

  std::vector<QuotaState> States(Deadline aNow);

private:
  /** What a node holds of a team's quota. */
  struct Holder
  {
    int64_t usedTotal = 0;
    int64_t allowedTotal = 0;
    Deadline allowedUntil{};
    /** Tokens taken from the bucket for the node beyond usedTotal. */
    double reserved = 0;
    /** Part of the reserved tokens that the node may keep; the rest is for requests that waited there. */
    double kept = 0;
    /** Tokens charged for the time in which the node was silent. */
    double silentCharge = 0;
    double demand = 0;
    /** Mean of the demand over a longer time, which rare requests change little. */
    double meanDemand = 0;
    double fallback = 0;
    /** Rate that the node held when this ledger first heard from it. */
    double inheritedFallback = 0;
    /** Part of a token to which the node is entitled from earlier splits. */
    double carry = 0;
    Deadline heardAt{};
    /** When the next report is due. */
    Deadline dueAt{};
    bool isSilent = false;
  };

  /** The bucket of a team. */
  struct Account
  {
    Team limit;
    double level = 0;
    Deadline settledAt{};
    Deadline nextScanAt{};
    Deadline learningUntil{};
    std::map<std::string, Holder> holders;
    /** Sums over the holders. */
    double kept = 0;
    double demand = 0;
    double meanDemand = 0;
    double fallback = 0;
    double inheritedFallback = 0;
    /** Tokens that a full bucket lost while this ledger catches up with late reports. */
    double overflow = 0;
    /** Tokens of ended processes that were added while the ledger learns. */
    double restartCredit = 0;
    /** Quota that heard holders left unused under an earlier ledger, less what they demanded beyond it. */
    double inheritedUnused = 0;
  };

  /** The process that a node's last request came from. */
  struct Sender
  {
    int64_t incarnation = 0;
    int64_t sequence = 0;
    Deadline heardAt{};
    /** Whether the process has started too late to hold anything of an earlier ledger. */
    bool isRestarted = false;
  };

  /** Returns whether a request isn't older than one that was handled. */
  bool Register(const wire::QuotaRequest& aRequest, Deadline aNow);
  /** Drops what earlier processes of a node held; it counts as used. */
  void ForgetHolders(const std::string& aNode);
  void ForgetSilentSenders(Deadline aNow);
  /** Returns the share of the heard nodes whose processes hold nothing of an earlier ledger. */
  double RestartedShare(Deadline aNow) const;
  /** Returns the part of a team's rate that no running process holds from an earlier ledger. */
  double RateOfEndedProcesses(const Account& aAccount, Deadline aNow) const;
  /** Adds the tokens of that part since the start of this ledger. */
  void CreditEndedProcesses(Account& aAccount, Deadline aNow) const;
  std::chrono::milliseconds Interval() const;
  /** Returns the shortest time until a node that was granted too little asks again. */
  std::chrono::milliseconds Pause() const;
  /** Refills the bucket and charges silent holders. */
  void Settle(Account& aAccount, Deadline aNow);
  void ChargeSilentHolders(Account& aAccount, Deadline aNow);
  /** Limits the level to what the burst leaves beside the tokens that nodes keep. */
  void Cap(Account& aAccount, Deadline aNow) const;
  /** Charges what a holder used beyond the tokens taken for it; a negative number returns tokens. */
  void Charge(Account& aAccount, double aTokens, Deadline aNow) const;
  /** Takes a holder out of the sums of its account. */
  static void Subtract(Account& aAccount, const Holder& aHolder);
  static void Add(Account& aAccount, const Holder& aHolder);
  /** Takes over what a holder had under an earlier ledger. */
  static void Inherit(Account& aAccount, Holder& aHolder, const wire::QuotaUsage& aUsage);
  wire::QuotaGrant Report(Account& aAccount,
                          const std::string& aNode,
                          const wire::QuotaUsage& aUsage,
                          Deadline aNow);
  /** Returns the number of tokens to reserve for a node. */
  int64_t TokensFor(const Account& aAccount, Holder& aHolder, int32_t aWaiting, Deadline aNow) const;
  double FallbackFor(const Account& aAccount, const Holder& aHolder, Deadline aNow) const;
  std::chrono::milliseconds TimeUntilRoom(const Account& aAccount, Deadline aNow) const;
  double DebtLimit(const Account& aAccount) const;
  /** Returns the level from which on tokens are for requests that wait already. */
  double WaitingLevel(const Account& aAccount, Deadline aNow) const;
  QuotaMode ModeOf(const Account& aAccount, Deadline aNow) const;
  static double RefillRate(const Account& aAccount, Deadline aNow);

  const Options m_options;
  TeamNumbers m_numbers;
  std::map<std::string, Account> m_accounts;
  std::map<std::string, Sender> m_senders;
  size_t m_restartedSenders = 0;
  bool m_hasTeams = false;
  Deadline m_nextSenderScanAt{};
  Deadline m_handledAt{};
  /** Until then reports arrive that are late as this process was suspended or cut off. */
  Deadline m_catchUpUntil{};
};

const char*
Name(QuotaMode aMode);

} // namespace mimosarun
