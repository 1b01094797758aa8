#pragma once

#include <chrono>

namespace mimosarun {

/** Exponential backoff with full jitter between attempts to reach a peer; a success resets it. */
class Backoff
{
public:
  struct Options
  {
    std::chrono::milliseconds initialDelay{ 50 };
    std::chrono::milliseconds maximumDelay{ 2000 };
  };

  explicit Backoff(Options aOptions);

  /** The wait before the next attempt, drawn between half and the whole of the current step. */
  std::chrono::milliseconds NextDelay();

  /** Starts again from the first step. */
  void Reset();

private:
  Options m_options;
  std::chrono::milliseconds m_delay;
};

} // namespace mimosarun
