#pragma once

#include "common/clock.h"

#include <cstdint>
#include <optional>

namespace mimosarun {

/** What the kernel knows of the delivery of a connection's bytes, at one moment. */
struct DeliveryState
{
  /** Bytes that the peer has acknowledged since the connection was established. */
  uint64_t acknowledgedBytes = 0;
  /** Bytes were sent that the peer hasn't acknowledged; none are while its window is closed. */
  bool inFlight = false;
  /** Retransmissions and probes of a closed window since the peer's last answer to one. */
  unsigned int unansweredAttempts = 0;
  /** When the peer's last acknowledgement arrived; one that takes no bytes counts too. Nothing if unknown. */
  std::optional<Deadline> lastAnswerAt;
};

/** Returns the state of a TCP socket; nothing if the system can't tell. */
std::optional<DeliveryState>
ReadDeliveryState(int aSocket);

} // namespace mimosarun
