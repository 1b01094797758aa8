#pragma once

#include <mutex>

namespace mimosarun {

/**
 * Bounds retries and hedges to a share of the calls, so that a failure seen by many calls at once doesn't
 * multiply the load. Thread-safe.
 */
class RetryBudget
{
public:
  struct Options
  {
    /** Retries earned by each call. */
    double share = 0.1;
    /** Retries that may be saved up. */
    double limit = 20;
  };

  explicit RetryBudget(Options aOptions);

  /** Notes a call's first attempt. */
  void Earn();

  /** Takes one retry; false if there is none left. */
  bool TrySpend();

private:
  Options m_options;
  std::mutex m_mutex;
  double m_saved;
};

} // namespace mimosarun
