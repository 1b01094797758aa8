#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <mutex>

namespace mimosarun {

using SteadyClock = std::chrono::steady_clock;
using Deadline = SteadyClock::time_point;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

/** The wall clock, in microseconds since the epoch. */
WallTime
WallNow();

/** Time left until a deadline, never negative. */
std::chrono::milliseconds
TimeLeft(Deadline aDeadline, Deadline aNow = SteadyClock::now());

/** A reading of a hybrid logical clock: wall time first, then a counter. */
struct HybridTime
{
  WallTime physical{};
  int32_t logical = 0;

  auto operator<=>(const HybridTime&) const = default;
};

/**
 * Hybrid logical clock of this process. Readings grow strictly, and a reading taken after a message arrived
 * is greater than the one the message carries (Kulkarni et al., "Logical Physical Clocks", 2014).
 */
class HybridClock
{
public:
  /** The clock shared by the whole process. */
  static HybridClock& Instance();

  /** A new reading. */
  HybridTime Now();

  /** Takes in a reading of another process. */
  void Observe(const HybridTime& aRemote);

private:
  std::mutex m_mutex;
  HybridTime m_last;
};

} // namespace mimosarun
