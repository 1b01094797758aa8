#include "http/peersilence.h"

#include <utility>

namespace mimosarun {

/** Slightly less than four checks of a connection, so that late timers rarely add a fifth. */
static constexpr std::chrono::milliseconds kSilenceTimeout{ 3800 };
/** A single probe or its answer may get lost, and the kernel waits for up to minutes before the next. */
static constexpr unsigned int kUnansweredAttempts = 2;

PeerState
PeerSilence::Observe(const DeliveryState& aState, std::chrono::milliseconds aStallTimeout, Deadline aNow)
{
  if (!m_stalledAt || aState.acknowledgedBytes != m_acknowledgedBytes) {
    m_acknowledgedBytes = aState.acknowledgedBytes;
    m_stalledAt = aNow + aStallTimeout;
    m_goneAt.reset();
  }
  if (IsGone(aState, aNow)) {
    return PeerState::Gone;
  }
  return aNow >= *m_stalledAt ? PeerState::Stalled : PeerState::Reachable;
}

bool
PeerSilence::IsGone(const DeliveryState& aState, Deadline aNow)
{
  if (!aState.inFlight && aState.unansweredAttempts == 0) {
    m_goneAt.reset();
    return false;
  }
  // The answer to the most recent attempt may be on its way, so only those of the previous observation count.
  const unsigned int earlierAttempts = std::exchange(m_unansweredAttempts, aState.unansweredAttempts);
  if (!m_goneAt || aState.lastAnswerAt > m_unansweredSince) {
    m_unansweredSince = aNow;
    m_goneAt = aNow + kSilenceTimeout;
    return false;
  }
  return aNow >= *m_goneAt && (aState.inFlight || earlierAttempts >= kUnansweredAttempts);
}

void
PeerSilence::Reset()
{
  m_stalledAt.reset();
  m_goneAt.reset();
}

} // namespace mimosarun
