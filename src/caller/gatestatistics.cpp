#include "caller/gatestatistics.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace mimosarun {

static constexpr int kFailuresToEject = 3;
static constexpr std::chrono::milliseconds kFirstEjection{ 500 };
static constexpr std::chrono::milliseconds kLongestEjection{ 8000 };
static constexpr int kSmoothingDivisor = 8;
/** Number of open attempts from which their median age is used. */
static constexpr size_t kMinAttemptsForAge = 3;

/** Returns the median age of the open attempts, or zero if there are too few. */
static std::chrono::microseconds
MedianAge(const std::multiset<Deadline>& aSentTimes, Deadline aNow)
{
  if (aSentTimes.size() < kMinAttemptsForAge) {
    return std::chrono::microseconds(0);
  }
  const Deadline median = *std::next(aSentTimes.begin(), static_cast<std::ptrdiff_t>(aSentTimes.size() / 2));
  return std::chrono::duration_cast<std::chrono::microseconds>(aNow - median);
}

static void
UpdateSmoothedMean(std::chrono::microseconds& aMean, std::chrono::microseconds aTime)
{
  aMean = aMean.count() == 0 ? aTime : aMean + (aTime - aMean) / kSmoothingDivisor;
}

void
GateStatistics::RecordSent(CallClass aCallClass, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  if (aCallClass == CallClass::Short) {
    m_openAttempts.insert(aNow);
  }
}

void
GateStatistics::RecordResult(const AttemptResult& aResult, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  const bool isShort = aResult.callClass == CallClass::Short;
  if (const auto sent = m_openAttempts.find(aResult.sentAt); isShort && sent != m_openAttempts.end()) {
    m_openAttempts.erase(sent);
  }
  const auto time = std::chrono::duration_cast<std::chrono::microseconds>(aNow - aResult.sentAt);
  // An abandoned attempt would have taken at least as long as it was open.
  const bool wasAbandonedLate = aResult.outcome == AttemptOutcome::Abandoned && time > m_meanTime;
  if (isShort && (aResult.outcome == AttemptOutcome::Answered || wasAbandonedLate)) {
    UpdateSmoothedMean(m_meanTime, time);
    UpdateSmoothedMean(m_meanTimeOfCostGroup[aResult.costGroup], time);
  }
  if (aResult.outcome == AttemptOutcome::Answered) {
    m_consecutiveFailures = 0;
    return;
  }
  if (aResult.outcome == AttemptOutcome::Failed && ++m_consecutiveFailures >= kFailuresToEject) {
    const int doublings = std::min(m_consecutiveFailures - kFailuresToEject, 4);
    m_ejectedUntil = aNow + std::min(kFirstEjection * (1 << doublings), kLongestEjection);
  }
}

void
GateStatistics::RecordLoad(const GateLoad& aLoad, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  m_load = aLoad;
  m_loadReceivedAt = aNow;
  // The call that the gate responds to isn't in the report any more.
  const double ownCalls = m_openAttempts.empty() ? 0 : static_cast<double>(m_openAttempts.size() - 1);
  m_otherCalls.Record(std::max(0.0, aLoad.slotsInUse + aLoad.queueLength - ownCalls), aNow);
}

bool
GateStatistics::RecordLeaving(int64_t aIncarnation)
{
  const std::lock_guard lock(m_mutex);
  return std::exchange(m_leavingIncarnation, aIncarnation) != aIncarnation;
}

GateView
GateStatistics::View(const std::string& aCostGroup, Deadline aNow) const
{
  const std::lock_guard lock(m_mutex);
  const auto ofCostGroup = m_meanTimeOfCostGroup.find(aCostGroup);
  return { .openAttempts = m_openAttempts.size(),
           .medianOpenAge = MedianAge(m_openAttempts, aNow),
           .meanTime = m_meanTime,
           .meanTimeOfCostGroup =
             ofCostGroup == m_meanTimeOfCostGroup.end() ? std::chrono::microseconds(0) : ofCostGroup->second,
           .load = m_load,
           .loadReceivedAt = m_loadReceivedAt,
           .otherCalls = m_otherCalls.CallsAt(aNow, m_meanTime),
           .ejectedUntil = m_ejectedUntil,
           .leavingIncarnation = m_leavingIncarnation };
}

void
GateStatistics::RetireConnections()
{
  const std::lock_guard lock(m_mutex);
  ++m_connectionGeneration;
}

uint32_t
GateStatistics::ConnectionGeneration() const
{
  const std::lock_guard lock(m_mutex);
  return m_connectionGeneration;
}

GateStatisticsPointer
GateStatisticsTable::Of(const std::string& aNode)
{
  Shard& shard = m_shards[std::hash<std::string>{}(aNode) % m_shards.size()];
  const std::lock_guard lock(shard.mutex);
  GateStatisticsPointer& statistics = shard.statistics[aNode];
  if (statistics == nullptr) {
    statistics = std::make_shared<GateStatistics>();
  }
  return statistics;
}

} // namespace mimosarun
