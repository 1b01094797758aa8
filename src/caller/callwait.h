#pragma once

#include "common/clock.h"

#include <cstddef>

namespace mimosarun {

/** Points in time that limit how long a call may wait for a slot. */
struct CallTimes
{
  /** Until then a response has its full value to the caller. */
  Deadline objective;
  Deadline deadline;
  /** Median time of the calls of its route. */
  std::chrono::microseconds medianTime{ 0 };
};

/** Attempts that one call may send to gates. */
inline constexpr int kMaxGateAttempts = 5;

/**
 * Gates that must have rejected a call before it is refused because the others are expected to reject it too.
 * With one, calls that another gate would have run came back too late: 4% fewer were in time at 1.3 of the
 * capacity in loadspreadtest. Without this limit, gates rejected twice as many attempts.
 */
inline constexpr size_t kRejectionsToGiveUp = 2;

/** Returns how long a call may wait for a slot of a gate. */
std::chrono::microseconds
LongestAllowedWait(const CallTimes& aTimes, Deadline aNow);

/**
 * Returns the time after which the caller of a refused call may send it again, with a random part that
 * spreads the calls that were refused at the same time.
 *
 * @param aLongestWait longest wait that a gate reported when it rejected the call; zero if none did
 */
std::chrono::milliseconds
RetryAfter(std::chrono::microseconds aLongestWait);

/**
 * Returns the same for a call that was refused because the quota of its team is used up.
 *
 * @param aTimeToRoom time until the quota has room
 */
std::chrono::milliseconds
RetryAfterQuota(std::chrono::milliseconds aTimeToRoom);

} // namespace mimosarun
