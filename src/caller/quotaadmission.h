#pragma once

#include "http/eventloop.h"
#include "quota/quotapool.h"

#include <functional>
#include <memory>
#include <string>

namespace mimosarun {

/**
 * One call's token from its team's quota. A call that has to wait for a grant blocks no thread; its function
 * runs on the call's loop. All functions may only be called on that loop.
 */
class QuotaAdmission : public std::enable_shared_from_this<QuotaAdmission>
{
public:
  using Continuation = std::function<void(const QuotaVerdict&)>;

  QuotaAdmission(QuotaPool& aPool, std::string aTeam, EventLoop& aLoop);

  /** Calls a function with the decision, possibly at once, and early enough for the call to run then. */
  void Request(Deadline aNow, Deadline aCallDeadline, Continuation aContinuation);

  /** Returns the token, or ends the wait for one without a call of the function. */
  void Cancel();

private:
  enum class State
  {
    Idle,
    Waiting,
    Held,
    Ended,
  };

  void Decide(const QuotaVerdict& aVerdict);
  void TryFallbackAt(Deadline aAt);
  /** Uses the fallback rate if it has room, and ends the wait when its time is over. */
  void TryFallback();

  QuotaPool& m_pool;
  const std::string m_team;
  EventLoop& m_loop;
  State m_state = State::Idle;
  uint64_t m_identifier = 0;
  Deadline m_waitEndsAt{};
  Continuation m_continuation;
};

} // namespace mimosarun
