#include "quota/quotapool.h"

#include "common/random.h"
#include "quota/quotaterms.h"

#include <algorithm>
#include <cmath>

namespace mimosarun {

/** Share of the limit that all nodes together go on with when their fallback rates have ended. */
static constexpr double kFloorShare = 0.02;
/** Requests of one team that may wait at once; more would need a node's memory when control is lost. */
static constexpr size_t kWaitingLimit = 1024;
/** Time whose fallback requests may be admitted at once, so that ordinary bursts pass. */
static constexpr std::chrono::duration<double> kFallbackDepth{ 0.5 };
static constexpr double kLeastFallbackDepth = 2;
/** Part of a grant whose use leads to an early report, so that later requests needn't wait for more. */
static constexpr int64_t kEarlyReportDivisor = 4;
/** Reports that are due within this time are sent with the others. */
static constexpr std::chrono::milliseconds kReportJoinTime{ 250 };
/** Longest time for which requests are refused without a report, as the ledger may get room earlier. */
static constexpr std::chrono::milliseconds kLongestPause{ 1000 };
/** Time in which a lost leader is usually replaced. */
static constexpr std::chrono::milliseconds kElectionTime{ 2000 };
/** Retry-After of a request for which no time is known. */
static constexpr std::chrono::milliseconds kDefaultRetryAfter{ 1000 };

QuotaPool::QuotaPool(Options aOptions)
  : m_options(std::move(aOptions))
{
}

// --- configuration ---------------------------------------------------------------------------------------

void
QuotaPool::ScaleLocked(Share& aShare, double aFactor) const
{
  if (aFactor < 1) {
    const int64_t left = std::max<int64_t>(0, aShare.allowed - aShare.used);
    aShare.allowed = aShare.used + static_cast<int64_t>(static_cast<double>(left) * aFactor);
    aShare.fallback *= aFactor;
  }
}

void
QuotaPool::SetTeams(int64_t aVersion, const std::map<std::string, Team>& aTeams, Deadline aNow)
{
  std::vector<Notification> notifications;
  {
    const std::lock_guard lock(m_mutex);
    m_version = aVersion;
    for (auto entry = m_shares.begin(); entry != m_shares.end();) {
      const auto team = aTeams.find(entry->first);
      if (team != aTeams.end() && team->second.requestsPerSecond > 0) {
        ++entry;
        continue;
      }
      for (Waiter& waiter : entry->second.waiting) {
        notifications.push_back({ .listener = std::move(waiter.listener), .verdict = {} });
      }
      entry = m_shares.erase(entry);
    }
    int32_t number = 0;
    for (const auto& [name, team] : aTeams) {
      if (team.requestsPerSecond > 0) {
        const auto [entry, isNew] = m_shares.try_emplace(name);
        Share& share = entry->second;
        if (isNew) {
          share.fallbackAt = aNow;
          share.fallbackTokens = RandomFraction();
        } else {
          ScaleLocked(share, team.requestsPerSecond / share.requestsPerSecond);
        }
        share.number = number;
        share.requestsPerSecond = team.requestsPerSecond;
      }
      ++number;
    }
  }
  Notify(notifications);
}

void
QuotaPool::SetNodeCount(size_t aCount)
{
  const std::lock_guard lock(m_mutex);
  // A node that is cut off sees few others, though all of them may use the floor.
  m_nodeCount = std::max(m_nodeCount, aCount);
}

bool
QuotaPool::HasLimits() const
{
  const std::lock_guard lock(m_mutex);
  return !m_shares.empty();
}

// --- requests --------------------------------------------------------------------------------------------

double
QuotaPool::FloorRateLocked(const Share& aShare) const
{
  return kFloorShare * aShare.requestsPerSecond / static_cast<double>(m_nodeCount);
}

void
QuotaPool::RefillFallbackLocked(Share& aShare, Deadline aNow) const
{
  using Seconds = std::chrono::duration<double>;
  if (aNow <= aShare.fallbackAt) {
    return;
  }
  const Deadline fallbackEnd = std::clamp(aShare.fallbackUntil, aShare.fallbackAt, aNow);
  const Seconds atFallback = fallbackEnd - aShare.fallbackAt;
  const Seconds atFloor = aNow - fallbackEnd;
  const double depth = std::max(kLeastFallbackDepth, aShare.fallback * kFallbackDepth.count());
  aShare.fallbackTokens += atFallback.count() * aShare.fallback + atFloor.count() * FloorRateLocked(aShare);
  aShare.fallbackTokens = std::min(aShare.fallbackTokens, depth);
  aShare.fallbackAt = aNow;
}

QuotaVerdict
QuotaPool::DecideByFallbackLocked(Share& aShare, Deadline aNow)
{
  RefillFallbackLocked(aShare, aNow);
  if (aShare.fallbackTokens >= 1) {
    aShare.fallbackTokens -= 1;
    ++aShare.used;
    return { .decision = QuotaDecision::Admitted };
  }
  return { .decision = QuotaDecision::Refused, .retryAfter = kDefaultRetryAfter };
}

bool
QuotaPool::MayAwaitContactLocked(const Share& aShare, Deadline aNow) const
{
  const bool wasBelowLimit = aShare.refusedUntil == Deadline{};
  return wasBelowLimit && aNow < m_contactLostAt + kElectionTime;
}

QuotaVerdict
QuotaPool::DecideLocked(Share& aShare, Deadline aNow)
{
  if (aNow < aShare.grantedUntil && aShare.used < aShare.allowed) {
    ++aShare.used;
    const int64_t left = aShare.allowed - aShare.used;
    const bool isNearlyUsed = left <= aShare.granted / kEarlyReportDivisor;
    if (isNearlyUsed && aShare.granted >= kEarlyReportDivisor && aNow >= aShare.refusedUntil) {
      aShare.nextReportAt = std::min(aShare.nextReportAt.value_or(aNow), aNow);
    }
    return { .decision = QuotaDecision::Admitted };
  }
  if (!m_hasContact && aNow >= aShare.fallbackAt) {
    const QuotaVerdict verdict = DecideByFallbackLocked(aShare, aNow);
    if (verdict.decision == QuotaDecision::Admitted || !MayAwaitContactLocked(aShare, aNow)) {
      return verdict;
    }
  }
  if (aNow < aShare.refusedUntil) {
    return { .decision = QuotaDecision::Refused, .retryAfter = TimeLeft(aShare.refusedUntil, aNow) };
  }
  if (aShare.waiting.size() >= kWaitingLimit) {
    return { .decision = QuotaDecision::Refused, .retryAfter = kDefaultRetryAfter };
  }
  return { .decision = QuotaDecision::Waiting };
}

void
QuotaPool::CountLocked(Share& aShare, const QuotaVerdict& aVerdict)
{
  aShare.counts.admitted += aVerdict.decision == QuotaDecision::Admitted ? 1 : 0;
  aShare.counts.refused += aVerdict.decision == QuotaDecision::Refused ? 1 : 0;
  aShare.counts.waited += aVerdict.decision == QuotaDecision::Waiting ? 1 : 0;
}

QuotaPool::Ticket
QuotaPool::Request(const std::string& aTeam, Deadline aNow, Listener aListener)
{
  Ticket ticket;
  bool isReportDue = false;
  {
    const std::lock_guard lock(m_mutex);
    const auto entry = m_shares.find(aTeam);
    if (entry == m_shares.end()) {
      return ticket;
    }
    Share& share = entry->second;
    share.demand.Count();
    share.nextReportAt = share.nextReportAt.value_or(aNow + kQuotaReportInterval);
    const Deadline reportAt = *share.nextReportAt;
    ticket.verdict = DecideLocked(share, aNow);
    CountLocked(share, ticket.verdict);
    isReportDue = *share.nextReportAt < reportAt;
    if (ticket.verdict.decision == QuotaDecision::Waiting) {
      isReportDue = true;
      ticket.identifier = ++m_lastIdentifier;
      share.waiting.push_back({ .identifier = ticket.identifier, .listener = std::move(aListener) });
    }
  }
  if (isReportDue && m_options.onReportDue) {
    m_options.onReportDue();
  }
  return ticket;
}

bool
QuotaPool::RemoveWaiterLocked(Share& aShare, uint64_t aIdentifier)
{
  return std::erase_if(aShare.waiting,
                       [&](const Waiter& aWaiter) { return aWaiter.identifier == aIdentifier; }) > 0;
}

std::optional<QuotaVerdict>
QuotaPool::TryFallback(const std::string& aTeam, uint64_t aIdentifier, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  const auto entry = m_shares.find(aTeam);
  if (entry == m_shares.end()) {
    return std::nullopt;
  }
  Share& share = entry->second;
  RefillFallbackLocked(share, aNow);
  const bool hasRoom = aNow >= share.fallbackAt && share.fallbackTokens >= 1;
  if (!hasRoom || !RemoveWaiterLocked(share, aIdentifier)) {
    return std::nullopt;
  }
  const QuotaVerdict verdict = DecideByFallbackLocked(share, aNow);
  CountLocked(share, verdict);
  return verdict;
}

std::optional<QuotaVerdict>
QuotaPool::EndWait(const std::string& aTeam, uint64_t aIdentifier, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  const auto entry = m_shares.find(aTeam);
  if (entry == m_shares.end() || !RemoveWaiterLocked(entry->second, aIdentifier)) {
    return std::nullopt;
  }
  Share& share = entry->second;
  const QuotaVerdict verdict =
    aNow >= share.fallbackAt
      ? DecideByFallbackLocked(share, aNow)
      : QuotaVerdict{ .decision = QuotaDecision::Refused, .retryAfter = TimeLeft(share.fallbackAt, aNow) };
  CountLocked(share, verdict);
  return verdict;
}

void
QuotaPool::Withdraw(const std::string& aTeam, uint64_t aIdentifier)
{
  const std::lock_guard lock(m_mutex);
  if (const auto entry = m_shares.find(aTeam); entry != m_shares.end()) {
    RemoveWaiterLocked(entry->second, aIdentifier);
  }
}

void
QuotaPool::Return(const std::string& aTeam)
{
  const std::lock_guard lock(m_mutex);
  if (const auto entry = m_shares.find(aTeam); entry != m_shares.end()) {
    --entry->second.used;
    ++entry->second.counts.returned;
  }
}

// --- reports ---------------------------------------------------------------------------------------------

std::optional<Deadline>
QuotaPool::NextReportAt(Deadline aNow) const
{
  const std::lock_guard lock(m_mutex);
  std::optional<Deadline> next;
  for (const auto& [name, share] : m_shares) {
    if (HasNewWaiter(share)) {
      return aNow;
    }
    if (share.nextReportAt) {
      next = std::min(next.value_or(*share.nextReportAt), *share.nextReportAt);
    }
  }
  return next;
}

bool
QuotaPool::HasNewWaiter(const Share& aShare)
{
  return !aShare.waiting.empty() && aShare.waiting.back().identifier > aShare.reportedWaiter;
}

bool
QuotaPool::HasUnreportedRequests() const
{
  const std::lock_guard lock(m_mutex);
  return std::any_of(
    m_shares.begin(), m_shares.end(), [](const auto& aEntry) { return HasNewWaiter(aEntry.second); });
}

wire::QuotaRequest
QuotaPool::MakeReport(Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  wire::QuotaRequest report;
  report.node = m_options.node;
  report.incarnation = m_options.incarnation;
  report.sequence = ++m_sequence;
  report.version = m_version;
  report.ageMillis =
    std::chrono::floor<std::chrono::milliseconds>(std::max(aNow, m_options.startedAt) - m_options.startedAt)
      .count();
  for (auto& [name, share] : m_shares) {
    const bool isDue = share.nextReportAt && *share.nextReportAt <= aNow + kReportJoinTime;
    if (!isDue && !HasNewWaiter(share)) {
      continue;
    }
    share.reportedWaiter = share.waiting.empty() ? 0 : share.waiting.back().identifier;
    share.nextReportAt = aNow + kQuotaReportInterval;
    wire::QuotaUsage usage;
    usage.team = share.number;
    usage.usedTotal = share.used;
    usage.demandMilli = static_cast<int32_t>(share.demand.Sample(aNow) * kQuotaMilli);
    usage.waiting = static_cast<int32_t>(share.waiting.size());
    usage.fallbackMilli = aNow < share.fallbackUntil ? static_cast<int32_t>(share.fallback * kQuotaMilli) : 0;
    report.usages.push_back(usage);
  }
  return report;
}

void
QuotaPool::AdoptGrantLocked(Share& aShare,
                            const wire::QuotaGrant& aGrant,
                            std::chrono::milliseconds aInterval,
                            Deadline aSentAt,
                            Deadline aNow)
{
  aShare.allowed = aGrant.allowedTotal;
  aShare.granted = std::max<int64_t>(0, aGrant.allowedTotal - aShare.used);
  aShare.grantedUntil = aSentAt + std::chrono::milliseconds(aGrant.validMillis);
  aShare.fallback = static_cast<double>(aGrant.fallbackMilli) / kQuotaMilli;
  aShare.fallbackUntil = aSentAt + kQuotaFallbackTime;
  // The ledger charges a silent node from when its next report is due. A random part of a token makes the
  // nodes together use their rates on average, although each can only use whole tokens.
  aShare.fallbackAt = aSentAt + aInterval;
  aShare.fallbackTokens = RandomFraction();
  const std::chrono::milliseconds due{ aGrant.dueMillis };
  aShare.refusedUntil = due.count() > 0 ? aNow + std::min(due, kLongestPause) : Deadline{};
  aShare.nextReportAt = aSentAt + aInterval;
}

void
QuotaPool::DecideWaitingLocked(Share& aShare, Deadline aNow, std::vector<Notification>& aNotifications)
{
  while (!aShare.waiting.empty()) {
    const QuotaVerdict verdict = DecideLocked(aShare, aNow);
    if (verdict.decision == QuotaDecision::Waiting) {
      return;
    }
    CountLocked(aShare, verdict);
    aNotifications.push_back({ .listener = std::move(aShare.waiting.front().listener), .verdict = verdict });
    aShare.waiting.pop_front();
  }
}

void
QuotaPool::Accept(const wire::QuotaRequest& aReport,
                  const wire::QuotaReply& aReply,
                  Deadline aSentAt,
                  Deadline aNow)
{
  std::vector<Notification> notifications;
  {
    const std::lock_guard lock(m_mutex);
    m_hasContact = true;
    std::map<int32_t, const wire::QuotaGrant*> grants;
    for (const wire::QuotaGrant& grant : aReply.grants) {
      grants[grant.team] = &grant;
    }
    for (auto& [name, share] : m_shares) {
      const auto grant = grants.find(share.number);
      // Numbers of an earlier version may stand for other teams, and replies may overtake each other.
      if (aReport.version == m_version && grant != grants.end() &&
          aReport.sequence > share.acceptedSequence) {
        share.acceptedSequence = aReport.sequence;
        AdoptGrantLocked(
          share, *grant->second, std::chrono::milliseconds(aReply.intervalMillis), aSentAt, aNow);
        DecideWaitingLocked(share, aNow, notifications);
        const bool holdsNothing = share.used >= share.allowed && share.fallback == 0;
        if (holdsNothing && share.waiting.empty()) {
          share.nextReportAt.reset();
        }
      }
    }
  }
  Notify(notifications);
}

void
QuotaPool::ReportAgain(Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  for (auto& [name, share] : m_shares) {
    share.reportedWaiter = 0;
    if (share.nextReportAt) {
      share.nextReportAt = aNow;
    }
  }
}

void
QuotaPool::LoseContact(Deadline aNow)
{
  std::vector<Notification> notifications;
  {
    const std::lock_guard lock(m_mutex);
    m_contactLostAt = m_hasContact ? aNow : m_contactLostAt;
    m_hasContact = false;
    for (auto& [name, share] : m_shares) {
      share.reportedWaiter = 0;
      if (aNow >= share.fallbackAt) {
        DecideWaitingLocked(share, aNow, notifications);
      }
    }
  }
  Notify(notifications);
}

void
QuotaPool::Notify(const std::vector<Notification>& aNotifications)
{
  for (const Notification& notification : aNotifications) {
    notification.listener(notification.verdict);
  }
}

std::map<std::string, QuotaCounts>
QuotaPool::Counts() const
{
  const std::lock_guard lock(m_mutex);
  std::map<std::string, QuotaCounts> counts;
  for (const auto& [name, share] : m_shares) {
    counts.emplace(name, share.counts);
  }
  return counts;
}

} // namespace mimosarun
