#include "caller/quotaadmission.h"

#include <utility>

namespace mimosarun {

/**
 * Longest time that a call waits for a grant. A reply from another region takes about 45 ms, the first one,
 * with two connections to open, three times as long; a refused caller would come back later than that.
 */
static constexpr std::chrono::milliseconds kLongestQuotaWait{ 200 };

QuotaAdmission::QuotaAdmission(QuotaPool& aPool, std::string aTeam, EventLoop& aLoop)
  : m_pool(aPool)
  , m_team(std::move(aTeam))
  , m_loop(aLoop)
{
}

void
QuotaAdmission::Request(Deadline aNow, Continuation aContinuation)
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
  m_loop.RunAt(aNow + kLongestQuotaWait, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->EndWait();
    }
  });
}

void
QuotaAdmission::EndWait()
{
  if (m_state != State::Waiting) {
    return;
  }
  if (const auto verdict = m_pool.EndWait(m_team, m_identifier, SteadyClock::now())) {
    Decide(*verdict);
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
