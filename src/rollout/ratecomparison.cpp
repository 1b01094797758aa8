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
/** Fewer events are never a verdict. */
static constexpr double kLeastEvents = 4;
/** Likelihood ratio as a natural logarithm: e^10 keeps hundreds of looks at ten routes below 1% of errors. */
static constexpr double kLogLikelihoodRatio = 10;
/** A smaller increase isn't taken for a fault of the version, however significant it is. */
static constexpr double kLeastRatio = 1.5;
static constexpr double kDeviations = 2;
/** Likelihood ratio for the plain comparison of both versions, and the weight of the former rate in it. */
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
  m_current.oldRate = m_oldRate;
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
RateComparison::ExcessOf(const Sum& aSum)
{
  const double expected = aSum.expected + kDeviations * std::sqrt(aSum.variance);
  if (aSum.events < kLeastEvents || aSum.events < kLeastRatio * expected) {
    return std::nullopt;
  }
  // Log likelihood ratio of two Poisson rates, that of the events and the expected one.
  const double logRatio = aSum.events * std::log(aSum.events / expected) - (aSum.events - expected);
  if (logRatio < kLogLikelihoodRatio) {
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

std::optional<RateExcess>
RateComparison::Find(Deadline aNow)
{
  EndSlots(aNow);
  Sum span;
  for (size_t age = 1; age <= m_recent.size(); ++age) {
    span += m_recent[m_recent.size() - age];
    if (age == kShortSpanSlots || age == kLongSpanSlots) {
      if (const auto excess = ExcessOf(span)) {
        return excess;
      }
    }
  }
  return ExcessOf(m_total);
}

} // namespace mimosarun
