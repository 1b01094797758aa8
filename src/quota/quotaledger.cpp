#include "quota/quotaledger.h"

#include "quota/quotaterms.h"

#include <algorithm>
#include <cmath>

namespace mimosarun {

using Seconds = std::chrono::duration<double>;

/** Nodes that may report in each second; with more nodes, each reports less often. */
static constexpr size_t kReportingNodesPerSecond = 200;
/** Part of a bucket's depth that is only for requests that wait already, and its least number of tokens. */
static constexpr double kWaitingShare = 1.0 / 3;
static constexpr double kLeastForWaiting = 6;
/** Free mode needs tokens beyond those, and demand below this share of the rate. */
static constexpr double kFreeDemandShare = 0.7;
/** A node gets this many times its recent demand, so that an ordinary burst needs no further request. */
static constexpr double kDemandFactor = 2;
/**
 * Part of the tolerance by which a bucket may go into debt. A new ledger doesn't know of the debt, so a
 * change of the leader within a window can incur it twice; the rest covers late charges of silent holders.
 */
static constexpr double kDebtShare = 0.4;
/** Below this demand per second a node gets no fallback rate, and its reports end. */
static constexpr double kIdleDemand = 0.05;
/** Longest time between two scans for silent holders; each visits all holders. */
static constexpr std::chrono::milliseconds kScanInterval{ 50 };
static constexpr std::chrono::milliseconds kShortestPause{ 250 };
/** Nodes that may ask again in each second when all of them were granted too little. */
static constexpr size_t kAskingNodesPerSecond = 600;
/** A node that expects fewer requests than this until its next report keeps no spare token. */
static constexpr double kLeastExpectedRequests = 0.1;
/** Time over which the demand is averaged that divides the fallback rates. */
static constexpr Seconds kMeanDemandTime{ 10 };
/** A ledger without any request for this long was suspended, cut off or unused. */
static constexpr std::chrono::milliseconds kSuspensionTime{ 1000 };
/** Time in which most nodes report to a new ledger. */
static constexpr std::chrono::milliseconds kSurveyTime{ 600 };
/** Time in which the reports of all nodes arrive after that. */
static constexpr std::chrono::milliseconds kCatchUpTime{ 1000 };
/** Answer to a node that hasn't heard yet that the team has no limit any more. */
static constexpr int64_t kUnlimitedTokens = 100000;

/** Time that a node's demand covers at least; a team that used less than its rate so long has tokens left. */
static constexpr Seconds kDemandTime{ 2 };

const char*
Name(QuotaMode aMode)
{
  switch (aMode) {
    case QuotaMode::Free:
      return "free";
    case QuotaMode::Limited:
      return "limited";
    case QuotaMode::Learning:
      return "learning";
  }
  return "limited";
}

static double
Depth(const Team& aLimit)
{
  return std::max(aLimit.burst, 1.0);
}

QuotaLedger::QuotaLedger(Options aOptions)
  : m_options(aOptions)
{
}

void
QuotaLedger::SetTeams(int64_t aVersion, const std::map<std::string, Team>& aTeams, Deadline aNow)
{
  m_numbers.Add(aVersion, aTeams);
  const Deadline learningUntil = m_hasTeams ? Deadline{} : m_options.startedAt + kQuotaFallbackTime;
  m_hasTeams = true;
  std::erase_if(m_accounts, [&](const auto& aEntry) {
    const auto team = aTeams.find(aEntry.first);
    return team == aTeams.end() || team->second.requestsPerSecond <= 0;
  });
  for (const auto& [name, team] : aTeams) {
    if (team.requestsPerSecond <= 0) {
      continue;
    }
    const auto [entry, isNew] = m_accounts.try_emplace(name);
    Account& account = entry->second;
    if (isNew) {
      account.settledAt = aNow;
      account.learningUntil = learningUntil;
      account.level = aNow < learningUntil ? 0 : Depth(team);
    } else {
      Settle(account, aNow);
      const double change = team.requestsPerSecond / account.limit.requestsPerSecond;
      account.level *= account.level > 0 ? std::min(change, 1.0) : 1;
    }
    account.limit = team;
  }
}

// --- nodes -----------------------------------------------------------------------------------------------

bool
QuotaLedger::Register(const wire::QuotaRequest& aRequest, Deadline aNow)
{
  Sender& sender = m_senders[aRequest.node];
  if (aRequest.incarnation < sender.incarnation ||
      (aRequest.incarnation == sender.incarnation && aRequest.sequence < sender.sequence)) {
    return false;
  }
  if (sender.incarnation != 0 && aRequest.incarnation != sender.incarnation) {
    ForgetHolders(aRequest.node);
  }
  const std::chrono::milliseconds age(aRequest.ageMillis);
  const bool isRestarted =
    age >= std::chrono::milliseconds(0) && aNow - age > m_options.startedAt - kQuotaFallbackTime &&
    std::none_of(aRequest.usages.begin(), aRequest.usages.end(), [](const auto& aUsage) {
      return aUsage.fallbackMilli > 0;
    });
  // A process that holds nothing at its first report gets its rates from this ledger.
  const bool isKnownProcess = sender.incarnation == aRequest.incarnation;
  const bool wasRestarted = sender.isRestarted;
  sender = { .incarnation = aRequest.incarnation,
             .sequence = aRequest.sequence,
             .heardAt = aNow,
             .isRestarted = isKnownProcess ? wasRestarted : isRestarted };
  if (sender.isRestarted != wasRestarted) {
    m_restartedSenders = sender.isRestarted ? m_restartedSenders + 1 : m_restartedSenders - 1;
  }
  return true;
}

void
QuotaLedger::ForgetHolders(const std::string& aNode)
{
  for (auto& [name, account] : m_accounts) {
    const auto holder = account.holders.find(aNode);
    if (holder != account.holders.end()) {
      // The process that held the inherited rate has ended, so its part of the refill stays.
      holder->second.inheritedFallback = 0;
      Subtract(account, holder->second);
      account.holders.erase(holder);
    }
  }
}

void
QuotaLedger::ForgetSilentSenders(Deadline aNow)
{
  if (aNow < m_nextSenderScanAt) {
    return;
  }
  m_nextSenderScanAt = aNow + kQuotaFallbackTime;
  std::erase_if(m_senders,
                [&](const auto& aEntry) { return aNow > aEntry.second.heardAt + 2 * kQuotaFallbackTime; });
  m_restartedSenders = static_cast<size_t>(std::count_if(
    m_senders.begin(), m_senders.end(), [](const auto& aEntry) { return aEntry.second.isRestarted; }));
}

std::chrono::milliseconds
QuotaLedger::Interval() const
{
  const auto paced = std::chrono::milliseconds(1000 * m_senders.size() / kReportingNodesPerSecond);
  return std::max(kQuotaReportInterval, paced);
}

std::chrono::milliseconds
QuotaLedger::Pause() const
{
  return std::max(kShortestPause, std::chrono::milliseconds(1000 * m_senders.size() / kAskingNodesPerSecond));
}

wire::QuotaReply
QuotaLedger::Handle(const wire::QuotaRequest& aRequest, Deadline aNow)
{
  ForgetSilentSenders(aNow);
  if (aNow > m_handledAt + kSuspensionTime) {
    m_catchUpUntil = aNow + kCatchUpTime;
  }
  m_handledAt = aNow;
  wire::QuotaReply reply;
  reply.granted = true;
  reply.version = m_numbers.NewestVersion();
  const bool isCurrent = Register(aRequest, aNow);
  reply.intervalMillis = static_cast<int32_t>(Interval().count());
  if (!isCurrent) {
    return reply;
  }
  for (const wire::QuotaUsage& usage : aRequest.usages) {
    const std::optional<std::string> name = m_numbers.NameOf(aRequest.version, usage.team);
    if (!name) {
      continue;
    }
    if (const auto account = m_accounts.find(*name); account != m_accounts.end()) {
      reply.grants.push_back(Report(account->second, aRequest.node, usage, aNow));
    } else {
      wire::QuotaGrant grant;
      grant.team = usage.team;
      grant.allowedTotal = usage.usedTotal + kUnlimitedTokens;
      grant.validMillis = static_cast<int32_t>((Interval() + kQuotaGrantGrace).count());
      reply.grants.push_back(grant);
    }
  }
  return reply;
}

// --- buckets ---------------------------------------------------------------------------------------------

void
QuotaLedger::Subtract(Account& aAccount, const Holder& aHolder)
{
  if (!aHolder.isSilent) {
    aAccount.kept -= aHolder.kept;
    aAccount.demand -= aHolder.demand;
    aAccount.meanDemand -= aHolder.meanDemand;
  }
  aAccount.fallback -= aHolder.fallback;
  aAccount.inheritedFallback -= aHolder.inheritedFallback;
}

void
QuotaLedger::Add(Account& aAccount, const Holder& aHolder)
{
  // The grant of a silent holder has expired; its tokens count as used until the holder reports.
  if (!aHolder.isSilent) {
    aAccount.kept += aHolder.kept;
    aAccount.demand += aHolder.demand;
    aAccount.meanDemand += aHolder.meanDemand;
  }
  aAccount.fallback += aHolder.fallback;
  aAccount.inheritedFallback += aHolder.inheritedFallback;
}

double
QuotaLedger::RefillRate(const Account& aAccount, Deadline aNow)
{
  const double rate = aAccount.limit.requestsPerSecond;
  return aNow < aAccount.learningUntil ? std::min(rate, aAccount.inheritedFallback) : rate;
}

double
QuotaLedger::RestartedShare(Deadline aNow) const
{
  if (m_senders.empty() || aNow < m_options.startedAt + kSurveyTime) {
    return 0;
  }
  return static_cast<double>(m_restartedSenders) / static_cast<double>(m_senders.size());
}

double
QuotaLedger::RateOfEndedProcesses(const Account& aAccount, Deadline aNow) const
{
  // What no heard process holds belongs to processes that have ended or to nodes that are cut off. The share
  // of restarts among the heard nodes tells which: it is small unless the fleet was restarted.
  const double unheld = aAccount.limit.requestsPerSecond - aAccount.inheritedFallback;
  return RestartedShare(aNow) * std::max(0.0, unheld);
}

void
QuotaLedger::CreditEndedProcesses(Account& aAccount, Deadline aNow) const
{
  const Deadline learningUntil = aAccount.learningUntil;
  if (learningUntil == Deadline{} || aNow > learningUntil + kQuotaFallbackTime) {
    return;
  }
  const Seconds elapsed = std::min(aNow, learningUntil) - m_options.startedAt;
  const double total = RateOfEndedProcesses(aAccount, aNow) * elapsed.count();
  const double credit = std::max(0.0, total - aAccount.restartCredit);
  aAccount.restartCredit += credit;
  aAccount.level += credit;
}

void
QuotaLedger::ChargeSilentHolders(Account& aAccount, Deadline aNow)
{
  for (auto entry = aAccount.holders.begin(); entry != aAccount.holders.end();) {
    Holder& holder = entry->second;
    const Deadline fallbackEnd = holder.heardAt + kQuotaFallbackTime;
    if (aNow > holder.dueAt + kQuotaGrantGrace) {
      Subtract(aAccount, holder);
      holder.isSilent = true;
      Add(aAccount, holder);
      const Seconds silence = std::max(Deadline::duration(0), std::min(aNow, fallbackEnd) - holder.dueAt);
      const double charge = holder.fallback * silence.count();
      aAccount.level -= charge - holder.silentCharge;
      holder.silentCharge = charge;
    }
    if (aNow > fallbackEnd && holder.isSilent) {
      Subtract(aAccount, holder);
      entry = aAccount.holders.erase(entry);
    } else {
      ++entry;
    }
  }
}

void
QuotaLedger::Settle(Account& aAccount, Deadline aNow)
{
  if (aNow <= aAccount.settledAt) {
    return;
  }
  const Seconds elapsed = aNow - aAccount.settledAt;
  aAccount.settledAt = aNow;
  aAccount.level += elapsed.count() * RefillRate(aAccount, aNow);
  CreditEndedProcesses(aAccount, aNow);
  if (aNow >= aAccount.nextScanAt) {
    aAccount.nextScanAt = aNow + kScanInterval;
    ChargeSilentHolders(aAccount, aNow);
  }
  Cap(aAccount, aNow);
}

void
QuotaLedger::Cap(Account& aAccount, Deadline aNow) const
{
  const double limit = Depth(aAccount.limit) - aAccount.kept;
  const double excess = std::max(0.0, aAccount.level - limit);
  aAccount.level -= excess;
  aAccount.overflow = aNow < m_catchUpUntil ? aAccount.overflow + excess : 0;
}

void
QuotaLedger::Charge(Account& aAccount, double aTokens, Deadline aNow) const
{
  // The use of a suspension is reported after its refill has filled the bucket, which lost the rest.
  const double late = std::clamp(aTokens, 0.0, aAccount.overflow);
  aAccount.overflow -= late;
  aAccount.level -= aTokens - late;
  Cap(aAccount, aNow);
}

double
QuotaLedger::DebtLimit(const Account& aAccount) const
{
  const QuotaTolerance& tolerance = m_options.tolerance;
  const double quota =
    aAccount.limit.requestsPerSecond * Seconds(tolerance.window).count() + aAccount.limit.burst;
  return kDebtShare * (tolerance.burstShare * quota + static_cast<double>(tolerance.slack));
}

double
QuotaLedger::WaitingLevel(const Account& aAccount, Deadline aNow) const
{
  const double kept = std::max(kWaitingShare * Depth(aAccount.limit), kLeastForWaiting);
  // A new ledger doesn't know yet how much of the tolerance was used before it.
  return aNow < aAccount.learningUntil ? kept : kept - DebtLimit(aAccount);
}

QuotaMode
QuotaLedger::ModeOf(const Account& aAccount, Deadline aNow) const
{
  if (aNow < aAccount.learningUntil) {
    return QuotaMode::Learning;
  }
  const bool isFree = aAccount.level > WaitingLevel(aAccount, aNow) &&
                      aAccount.demand < kFreeDemandShare * aAccount.limit.requestsPerSecond;
  return isFree ? QuotaMode::Free : QuotaMode::Limited;
}

// --- grants ----------------------------------------------------------------------------------------------

void
QuotaLedger::Inherit(Account& aAccount, Holder& aHolder, const wire::QuotaUsage& aUsage)
{
  aHolder.inheritedFallback = static_cast<double>(aUsage.fallbackMilli) / kQuotaMilli;
  const double demand = static_cast<double>(aUsage.demandMilli) / kQuotaMilli;
  const double before = std::max(0.0, aAccount.inheritedUnused);
  aAccount.inheritedUnused += (aHolder.inheritedFallback - demand) * kDemandTime.count();
  aAccount.level += std::max(0.0, aAccount.inheritedUnused) - before;
}

wire::QuotaGrant
QuotaLedger::Report(Account& aAccount,
                    const std::string& aNode,
                    const wire::QuotaUsage& aUsage,
                    Deadline aNow)
{
  Settle(aAccount, aNow);
  const auto [entry, isNew] = aAccount.holders.try_emplace(aNode);
  Holder& holder = entry->second;
  if (isNew) {
    holder.usedTotal = aUsage.usedTotal;
    if (aNow < aAccount.learningUntil) {
      Inherit(aAccount, holder, aUsage);
    }
  } else {
    Subtract(aAccount, holder);
  }
  const auto used = static_cast<double>(aUsage.usedTotal - holder.usedTotal);
  Charge(aAccount, used - holder.reserved - holder.silentCharge, aNow);
  // If the reply is lost, the node goes on with the grant before this one.
  const int64_t earlierAllowed = aNow < holder.allowedUntil ? holder.allowedTotal : 0;
  holder.usedTotal = aUsage.usedTotal;
  holder.reserved = 0;
  holder.kept = 0;
  holder.silentCharge = 0;
  holder.isSilent = false;
  holder.demand = static_cast<double>(aUsage.demandMilli) / kQuotaMilli;
  const Seconds elapsed = aNow - holder.heardAt;
  holder.meanDemand += (1 - std::exp(-elapsed / kMeanDemandTime)) * (holder.demand - holder.meanDemand);
  holder.heardAt = aNow;
  holder.dueAt = aNow + Interval();
  holder.fallback = 0;
  aAccount.demand += holder.demand;
  const int64_t tokens = TokensFor(aAccount, holder, aUsage.waiting, aNow);
  holder.fallback = FallbackFor(aAccount, holder, aNow);
  aAccount.demand -= holder.demand;
  holder.allowedTotal = aUsage.usedTotal + tokens;
  holder.allowedUntil = holder.dueAt + kQuotaGrantGrace;
  holder.reserved = static_cast<double>(std::max(holder.allowedTotal, earlierAllowed) - aUsage.usedTotal);
  holder.kept = holder.reserved - static_cast<double>(std::min<int64_t>(tokens, aUsage.waiting));
  aAccount.level -= holder.reserved;
  Add(aAccount, holder);
  wire::QuotaGrant grant;
  grant.team = aUsage.team;
  grant.allowedTotal = holder.allowedTotal;
  grant.validMillis = static_cast<int32_t>((Interval() + kQuotaGrantGrace).count());
  grant.fallbackMilli = static_cast<int32_t>(holder.fallback * kQuotaMilli);
  grant.dueMillis = tokens < aUsage.waiting ? static_cast<int32_t>(TimeUntilRoom(aAccount, aNow).count()) : 0;
  return grant;
}

int64_t
QuotaLedger::TokensFor(const Account& aAccount, Holder& aHolder, int32_t aWaiting, Deadline aNow) const
{
  const double rate = aAccount.limit.requestsPerSecond;
  const auto waiting = static_cast<double>(aWaiting);
  const double interval = Seconds(Interval()).count();
  const double expected = aHolder.demand * interval;
  const double spare = expected >= kLeastExpectedRequests ? kDemandFactor * expected + 1 : 0;
  const double level = aAccount.level;
  if (ModeOf(aAccount, aNow) == QuotaMode::Free) {
    // The last part of the bucket is for calls that wait already.
    const double forWaiting = std::min(waiting, level + DebtLimit(aAccount));
    const double unneeded = level - forWaiting - WaitingLevel(aAccount, aNow);
    return static_cast<int64_t>(forWaiting + std::clamp(unneeded, 0.0, spare));
  }
  // The demand is an estimate over a few seconds, whose deviation is about half of this.
  const bool isBelowLimit = aAccount.demand < rate + std::sqrt(rate);
  const bool hasRoom = isBelowLimit || level > kWaitingShare * Depth(aAccount.limit);
  const double available = std::max(0.0, level + (isBelowLimit ? DebtLimit(aAccount) : 0));
  const double pause = Seconds(Pause()).count();
  const double share = aAccount.demand > 0 ? aHolder.demand / aAccount.demand : 1;
  const double regular = share * rate * pause;
  aHolder.carry += regular + share * std::max(0.0, level);
  if (hasRoom) {
    const double forWaiting = std::min(waiting, available);
    const double unneeded = level - forWaiting - WaitingLevel(aAccount, aNow);
    const double extra = std::clamp(std::min(aHolder.carry, unneeded), 0.0, spare);
    aHolder.carry = std::clamp(aHolder.carry - forWaiting - extra, 0.0, 1.0);
    return static_cast<int64_t>(forWaiting + extra);
  }
  const double wanted = std::min(waiting + spare, available);
  // Where a node's part of a pause's refill is less than a token, tokens go to the first calls that ask.
  const double entitled = regular < 1 ? std::max(aHolder.carry, std::min(waiting, 1.0)) : aHolder.carry;
  const double tokens = std::floor(std::min(wanted, entitled));
  aHolder.carry = std::clamp(aHolder.carry - tokens, 0.0, 1.0);
  return static_cast<int64_t>(tokens);
}

double
QuotaLedger::FallbackFor(const Account& aAccount, const Holder& aHolder, Deadline aNow) const
{
  if (aHolder.meanDemand < kIdleDemand) {
    return 0;
  }
  const double rate = aAccount.limit.requestsPerSecond;
  const double wanted = rate * aHolder.meanDemand / (aAccount.meanDemand + aHolder.meanDemand);
  const double unheld = std::max(0.0, rate - aAccount.fallback);
  // Rates that nodes hold from the ledger before this one aren't all known until they have ended.
  const double limit = aNow < aAccount.learningUntil ? std::min(unheld, aHolder.inheritedFallback) : unheld;
  return std::min(wanted, limit);
}

std::chrono::milliseconds
QuotaLedger::TimeUntilRoom(const Account& aAccount, Deadline aNow) const
{
  const auto pause = Pause();
  const double learned = aNow < aAccount.learningUntil ? RateOfEndedProcesses(aAccount, aNow) : 0;
  const double refill = RefillRate(aAccount, aNow) + learned;
  if (refill <= 0) {
    return std::max(pause, TimeLeft(aAccount.learningUntil, aNow));
  }
  const double seconds = std::min((1 - aAccount.level) / refill, Seconds(kQuotaFallbackTime).count());
  return std::max(pause, std::chrono::ceil<std::chrono::milliseconds>(Seconds(seconds)));
}

std::vector<QuotaState>
QuotaLedger::States(Deadline aNow)
{
  std::vector<QuotaState> states;
  for (auto& [name, account] : m_accounts) {
    Settle(account, aNow);
    const auto silent = std::count_if(account.holders.begin(), account.holders.end(), [](const auto& aEntry) {
      return aEntry.second.isSilent;
    });
    states.push_back({ .team = name,
                       .requestsPerSecond = account.limit.requestsPerSecond,
                       .burst = account.limit.burst,
                       .priority = account.limit.priority,
                       .demand = std::max(account.demand, 0.0),
                       .level = account.level,
                       .kept = std::max(account.kept, 0.0),
                       .mode = ModeOf(account, aNow),
                       .holders = account.holders.size(),
                       .silentHolders = static_cast<size_t>(silent) });
  }
  return states;
}

} // namespace mimosarun
