#include "caller/quotaadmission.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/**
 * Time after which a call that waits for a grant may use the fallback rate. A reply from another region takes
 * about 45 ms, the first one, with two connections to open, three times as long.
 */
static constexpr std::chrono::milliseconds kFallbackInterval{ 200 };
/** Longest time that a call waits for a grant. A refused caller would come back later than that. */
static constexpr std::chrono::milliseconds kLongestQuotaWait{ 1000 };

/** Part of a call's time that it may spend on waiting. */
static constexpr int kQuotaWaitDivisor = 3;

QuotaAdmission::QuotaAdmission(QuotaPool& aPool, std::string aTeam, EventLoop& aLoop)
  : m_pool(aPool)
  , m_team(std::move(aTeam))
  , m_loop(aLoop)
{
}

void
QuotaAdmission::Request(Deadline aNow, Deadline aCallDeadline, Continuation aContinuation)
{
  m_continuation = std::move(aContinuation);
  m_state = State::Waiting;
  const QuotaPool::Ticket ticket = m_pool.Request(
    m_team,
    aNow,
    [weak = weak_from_this(), &loop = m_loop, &pool = m_pool, team = m_team](const QuotaVerdict& aVerdict) {
      loop.Dispatch([weak, &pool, team, aVerdict] {
        const auto self = weak.lock();
        if (self && self->m_state == State::Waiting) {
          self->Decide(aVerdict);
        } else if (aVerdict.decision == QuotaDecision::Admitted) {
          // The call ended while the decision was on its way.
          pool.Return(team);
        }
      });
    });
  if (ticket.verdict.decision != QuotaDecision::Waiting) {
    Decide(ticket.verdict);
    return;
  }
  m_identifier = ticket.identifier;
  m_waitEndsAt = std::min(aNow + kLongestQuotaWait, aNow + (aCallDeadline - aNow) / kQuotaWaitDivisor);
  TryFallbackAt(std::min(aNow + kFallbackInterval, m_waitEndsAt));
}

void
QuotaAdmission::TryFallbackAt(Deadline aAt)
{
  m_loop.RunAt(aAt, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->m_state == State::Waiting) {
      self->TryFallback();
    }
  });
}

void
QuotaAdmission::TryFallback()
{
  const Deadline now = SteadyClock::now();
  const bool isLast = now >= m_waitEndsAt;
  const auto verdict =
    isLast ? m_pool.EndWait(m_team, m_identifier, now) : m_pool.TryFallback(m_team, m_identifier, now);
  if (verdict) {
    Decide(*verdict);
  } else if (!isLast) {
    TryFallbackAt(std::min(now + kFallbackInterval, m_waitEndsAt));
  }
}

void
QuotaAdmission::Decide(const QuotaVerdict& aVerdict)
{
  m_state = aVerdict.decision == QuotaDecision::Admitted ? State::Held : State::Ended;
  std::exchange(m_continuation, {})(aVerdict);
}

void
QuotaAdmission::Cancel()
{
  if (m_state == State::Held) {
    m_pool.Return(m_team);
  } else if (m_state == State::Waiting) {
    m_pool.Withdraw(m_team, m_identifier);
  }
  m_state = State::Ended;
  m_continuation = {};
}

} // namespace mimosarun
