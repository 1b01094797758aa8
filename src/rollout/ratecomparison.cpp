#include "rollout/ratecomparison.h"

#include <algorithm>
#include <cmath>

namespace mimosarun {

static constexpr std::chrono::milliseconds kSlotLength{ 250 };
/** Spans of three and one second find a version that becomes bad after many good responses. */
static constexpr size_t kLongSpanSlots = 12;
static constexpr size_t kShortSpanSlots = 4;
/** Weight of former slots in the old version's rate, in responses. */
static constexpr double kFormerResponses = 100;

/** What a verdict needs at least. */
struct VerdictLimits
{
  double events = 0;
  /** Natural logarithm of the likelihood ratio. */
  double logRatio = 0;
};

/** With a logarithm of 10, four failures by chance ended a good version in simulations. */
static constexpr VerdictLimits kJudged{ .events = 4, .logRatio = 12 };
/**
 * For slots that include some whose reports may still be missing. A fault of both versions that the
 * candidate's nodes report first stays below these limits.
 */
static constexpr VerdictLimits kUnjudged{ .events = 8, .logRatio = 20 };
/** A smaller increase isn't taken for a fault of the version, however significant it is. */
static constexpr double kLeastRatio = 1.5;
static constexpr double kDeviations = 2;
/** Natural logarithm of the likelihood ratio for the plain comparison of both versions, and the weight of the
 * former rate in it. */
static constexpr double kTwoRatesRatio = 6;
static constexpr double kPriorResponses = 40;

RateComparison::RateComparison(double aLeastRate)
  : m_leastRate(aLeastRate)
  , m_oldRate(aLeastRate)
{
}

void
RateComparison::Sum::operator+=(const Sum& aOther)
{
  responses += aOther.responses;
  events += aOther.events;
  expected += aOther.expected;
  old.responses += aOther.old.responses;
  old.events += aOther.old.events;
  variance += aOther.variance;
}

void
RateComparison::Add(const RateSample& aCandidate, const RateSample& aOld, Deadline aNow)
{
  EndSlots(aNow);
  m_current.candidate.responses += aCandidate.responses;
  m_current.candidate.events += aCandidate.events;
  m_current.old.responses += aOld.responses;
  m_current.old.events += aOld.events;
}

void
RateComparison::EndSlots(Deadline aNow)
{
  if (m_slotEndsAt == Deadline{}) {
    m_slotEndsAt = aNow + kSlotLength;
  }
  while (aNow >= m_slotEndsAt) {
    EndSlot();
    m_slotEndsAt += kSlotLength;
  }
}

void
RateComparison::EndSlot()
{
  m_oldRate =
    (m_current.old.events + kFormerResponses * m_oldRate) / (m_current.old.responses + kFormerResponses);
  m_oldTotal.responses += m_current.old.responses;
  m_oldTotal.events += m_current.old.events;
  // The smoothed rate soon forgets rare events.
  m_current.oldRate = std::max(m_oldRate,
                               (m_oldTotal.events + kFormerResponses * m_leastRate) /
                                 (m_oldTotal.responses + kFormerResponses));
  const Sum judged = Judge(m_beforeLast, m_last, m_current);
  m_total += judged;
  m_recent.push_back(judged);
  if (m_recent.size() > kLongSpanSlots) {
    m_recent.pop_front();
  }
  m_beforeLast = m_last;
  m_last = m_current;
  m_current = {};
}

RateComparison::Sum
RateComparison::Judge(const Slot& aBefore, const Slot& aSlot, const Slot& aAfter) const
{
  const double rate = std::max({ aBefore.oldRate, aSlot.oldRate, aAfter.oldRate, m_leastRate });
  const double responses = aSlot.candidate.responses;
  return { .responses = responses,
           .events = aSlot.candidate.events,
           .expected = responses * rate,
           .old = aSlot.old,
           .variance = responses * responses * rate / (aSlot.old.responses + kFormerResponses) };
}

/** Returns the log likelihood of events in responses at a rate. */
static double
LogLikelihood(double aEvents, double aResponses, double aRate)
{
  const double others = aResponses - aEvents;
  return (aEvents > 0 ? aEvents * std::log(aRate) : 0) + (others > 0 ? others * std::log(1 - aRate) : 0);
}

/** Returns the log likelihood ratio of two rates in place of a common one. */
static double
TwoRatesRatio(const RateSample& aLeft, const RateSample& aRight)
{
  const auto likelihood = [](const RateSample& aSample, double aRate) {
    return LogLikelihood(aSample.events, aSample.responses, std::clamp(aRate, 1e-9, 1 - 1e-9));
  };
  const double common = (aLeft.events + aRight.events) / (aLeft.responses + aRight.responses);
  return likelihood(aLeft, aLeft.events / aLeft.responses) +
         likelihood(aRight, aRight.events / aRight.responses) - likelihood(aLeft, common) -
         likelihood(aRight, common);
}

std::optional<RateExcess>
RateComparison::ExcessOf(const Sum& aSum, const VerdictLimits& aLimits)
{
  const double expected = aSum.expected + kDeviations * std::sqrt(aSum.variance);
  if (aSum.events < aLimits.events || aSum.events < kLeastRatio * expected) {
    return std::nullopt;
  }
  // Log likelihood ratio of two Poisson rates, that of the events and the expected one.
  const double logRatio = aSum.events * std::log(aSum.events / expected) - (aSum.events - expected);
  if (logRatio < aLimits.logRatio) {
    return std::nullopt;
  }
  // The smoothed rate follows a common fault slowly if the service has few requests.
  const double rate = aSum.expected / aSum.responses;
  const RateSample old{ .responses = aSum.old.responses + kPriorResponses,
                        .events = aSum.old.events + kPriorResponses * rate };
  if (TwoRatesRatio({ .responses = aSum.responses, .events = aSum.events }, old) < kTwoRatesRatio) {
    return std::nullopt;
  }
  return RateExcess{ .responses = aSum.responses, .events = aSum.events, .expected = aSum.expected };
}

RateComparison::Sum
RateComparison::Unjudged() const
{
  Slot current = m_current;
  current.oldRate = std::max(m_last.oldRate,
                             (current.old.events + kFormerResponses * m_oldRate) /
                               (current.old.responses + kFormerResponses));
  Sum sum = Judge(m_beforeLast, m_last, current);
  sum += Judge(m_last, current, current);
  return sum;
}

std::optional<RateExcess>
RateComparison::Find(Deadline aNow)
{
  EndSlots(aNow);
  Sum span;
  for (size_t age = 1; age <= m_recent.size(); ++age) {
    span += m_recent[m_recent.size() - age];
    if (age == kShortSpanSlots || age == kLongSpanSlots) {
      if (const auto excess = ExcessOf(span, kJudged)) {
        return excess;
      }
    }
  }
  const std::optional<RateExcess> excess = ExcessOf(m_total, kJudged);
  return excess ? excess : ExcessOf(Unjudged(), kUnjudged);
}

} // namespace mimosarun
