#pragma once

#include <chrono>

namespace mimosarun {

/** Exponential backoff with jitter between attempts to reach a peer; reset it after a success. */
class Backoff
{
public:
  struct Options
  {
    std::chrono::milliseconds initialDelay{ 50 };
    std::chrono::milliseconds maximumDelay{ 2000 };
  };

  explicit Backoff(Options aOptions);

  /** Returns a random delay between half the current maximum and all of it, and doubles the maximum. */
  std::chrono::milliseconds NextDelay();

  /** Starts again with the initial delay. */
  void Reset();

private:
  Options m_options;
  /** Upper bound of the next delay. */
  std::chrono::milliseconds m_delay;
};

} // namespace mimosarun
