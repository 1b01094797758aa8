#pragma once

#include "http/deliverystate.h"

#include <cstdint>
#include <optional>

namespace mimosarun {

enum class PeerState
{
  Reachable,
  /** The peer answers no attempt to reach it: its VM has ended or is cut off. */
  Gone,
  /** The peer answers, but has taken no byte for too long. */
  Stalled,
};

/**
 * Tells a peer that is gone from one that doesn't read, by observations of a connection on which the peer
 * lacks bytes. Not thread-safe.
 */
class PeerSilence
{
public:
  /** Evaluates an observation; the peer is stalled if it takes no byte for aStallTimeout. */
  PeerState Observe(const DeliveryState& aState, std::chrono::milliseconds aStallTimeout, Deadline aNow);

  /** Forgets all observations, as the peer has all bytes. */
  void Reset();

private:
  bool IsGone(const DeliveryState& aState, Deadline aNow);

  uint64_t m_acknowledgedBytes = 0;
  /** When the peer counts as stalled unless it takes a byte. */
  std::optional<Deadline> m_stalledAt;
  /** Unanswered attempts of the last observation. */
  unsigned int m_unansweredAttempts = 0;
  /** When an attempt without an answer was first observed, or bytes in flight without progress. */
  Deadline m_unansweredSince{};
  /** When the peer counts as gone unless it answers. */
  std::optional<Deadline> m_goneAt;
};

} // namespace mimosarun
