#pragma once

#include "common/clock.h"

#include <deque>
#include <optional>

namespace mimosarun {

/** Responses of one version and how many of them had a property, such as a failure. */
struct RateSample
{
  double responses = 0;
  double events = 0;
};

/** Events of the candidate beyond those that the old version's rate explains. */
struct RateExcess
{
  double responses = 0;
  double events = 0;
  double expected = 0;
};

struct VerdictLimits;

/**
 * Sequential test whether an event, such as a failure, is more frequent in the responses of the candidate
 * than in those of the old version over the same time. Reports on the two versions arrive up to half a second
 * apart, so a slot of time is judged when the next one has ended, by the highest of the old version's rates
 * around it. Not thread-safe.
 */
class RateComparison
{
public:
  /** @param aLeastRate share of events that is accepted although the old version has fewer */
  explicit RateComparison(double aLeastRate);

  void Add(const RateSample& aCandidate, const RateSample& aOld, Deadline aNow);

  /** Ends the slots that have passed, and returns the excess of events if it is significant. */
  std::optional<RateExcess> Find(Deadline aNow);

private:
  /** Samples of a short time. */
  struct Slot
  {
    RateSample candidate;
    RateSample old;
    /** Rate of the old version, smoothed by former slots. */
    double oldRate = 0;
  };

  /** Sums over judged slots. */
  struct Sum
  {
    double responses = 0;
    double events = 0;
    double expected = 0;
    /** Responses and events of the old version in the same slots. */
    RateSample old;
    /** Variance of the expected events, since the old version's rate is only an estimate. */
    double variance = 0;

    void operator+=(const Sum& aOther);
  };

  void EndSlots(Deadline aNow);
  void EndSlot();
  Sum Judge(const Slot& aBefore, const Slot& aSlot, const Slot& aAfter) const;
  Sum Unjudged() const;
  static std::optional<RateExcess> ExcessOf(const Sum& aSum, const VerdictLimits& aLimits);

  const double m_leastRate;
  double m_oldRate;
  RateSample m_oldTotal;
  Deadline m_slotEndsAt{};
  Slot m_current;
  /** The two slots that ended last. */
  Slot m_last;
  Slot m_beforeLast;
  /** Judged slots of the last seconds, the oldest first. */
  std::deque<Sum> m_recent;
  Sum m_total;
};

} // namespace mimosarun
