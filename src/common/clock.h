#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <mutex>

namespace mimosarun {

using SteadyClock = std::chrono::steady_clock;
using Deadline = SteadyClock::time_point;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

/** Returns the time of the wall clock, in microseconds since the epoch. */
WallTime
WallNow();

/** Returns the time until a deadline, rounded up to milliseconds, or zero if it has passed. */
std::chrono::milliseconds
TimeLeft(Deadline aDeadline, Deadline aNow = SteadyClock::now());

/** A timestamp of a hybrid logical clock, ordered by wall time and then by a counter. */
struct HybridTime
{
  WallTime physical{};
  int32_t logical = 0;

  auto operator<=>(const HybridTime&) const = default;
};

/**
 * A hybrid logical clock. Its timestamps increase strictly, and after a message was received, they are
 * greater than that of the message (Kulkarni et al., "Logical Physical Clocks", 2014). Thread-safe.
 */
class HybridClock
{
public:
  /** Returns the clock that the whole process shares. */
  static HybridClock& Instance();

  /** Returns a new timestamp, greater than all before. */
  HybridTime Now();

  /** Merges a timestamp of another process; ignores it if it is too far ahead of the wall clock. */
  void Observe(const HybridTime& aRemote);

private:
  std::mutex m_mutex;
  HybridTime m_last;
};

} // namespace mimosarun
