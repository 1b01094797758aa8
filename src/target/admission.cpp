#include "target/admission.h"

#include <algorithm>
#include <tuple>

namespace mimosarun {

/** One in this many slots is reserved for short calls, and at least one. */
static constexpr int kShortReserveDivisor = 3;
static constexpr double kMedian = 0.5;

Admission::Admission(Options aOptions)
  : m_options(aOptions)
{
}

int
Admission::LongSlotLimit() const
{
  if (m_options.slots <= 1) {
    return 1;
  }
  return m_options.slots - std::max(1, m_options.slots / kShortReserveDivisor);
}

bool
Admission::HasFreeSlot(CallClass aClass) const
{
  if (SlotsInUse() >= m_options.slots) {
    return false;
  }
  return aClass == CallClass::Short || m_inUseLong < LongSlotLimit();
}

void
Admission::OccupySlot(const AdmissionRequest& aRequest, Deadline aNow)
{
  ++(aRequest.callClass == CallClass::Long ? m_inUseLong : m_inUseShort);
  m_fairness.RecordAdmission(aRequest.team, EstimatedCost(aRequest), aNow);
}

std::chrono::microseconds
Admission::MedianSlotTimeOfClass(CallClass aClass) const
{
  return (aClass == CallClass::Long ? m_longSlotTime : m_shortSlotTime).Value();
}

std::chrono::microseconds
Admission::MedianSlotTime(const std::string& aCostGroup) const
{
  const auto found = m_slotTimeByCostGroup.find(aCostGroup);
  return found == m_slotTimeByCostGroup.end() ? std::chrono::microseconds(0) : found->second.Value();
}

std::chrono::microseconds
Admission::EstimatedCost(const AdmissionRequest& aRequest) const
{
  const auto costOfGroup =
    aRequest.costGroup.empty() ? std::chrono::microseconds(0) : MedianSlotTime(aRequest.costGroup);
  const auto median = costOfGroup.count() > 0 ? costOfGroup : MedianSlotTimeOfClass(aRequest.callClass);
  return median.count() > 0 ? median : std::chrono::microseconds(aRequest.expectedCost);
}

bool
Admission::MissesObjective(const AdmissionRequest& aRequest, Deadline aNow) const
{
  return aRequest.objective != Deadline::max() && aNow + EstimatedCost(aRequest) > aRequest.objective;
}

bool
Admission::GoesBefore(const AdmissionRequest& aLeft, const AdmissionRequest& aRight, Deadline aNow) const
{
  const auto sortKey = [&](const AdmissionRequest& aRequest) {
    const CallTeam& team = aRequest.team;
    return std::make_tuple(!team.name.empty(),
                           !m_fairness.IsUnderserved(team, aNow),
                           team.priority,
                           aRequest.priority,
                           MissesObjective(aRequest, aNow),
                           m_fairness.NextStart(team),
                           std::min(aRequest.objective, aRequest.deadline));
  };
  return sortKey(aLeft) <= sortKey(aRight);
}

std::chrono::microseconds
Admission::ExpectedWait(const AdmissionRequest& aRequest, Deadline aNow) const
{
  const auto goesBefore = [&](const AdmissionRequest& aWaiting) {
    return GoesBefore(aWaiting, aRequest, aNow);
  };
  const auto callsAhead = static_cast<int>(std::count_if(m_queue.begin(), m_queue.end(), goesBefore));
  return std::max(WaitForSlot(aRequest, aNow), m_rate.WaitBehind(callsAhead, aNow));
}

std::chrono::microseconds
Admission::WaitForSlot(const AdmissionRequest& aRequest, Deadline aNow) const
{
  const CallClass callClass = aRequest.callClass;
  if (HasFreeSlot(callClass) && m_queue.empty()) {
    return std::chrono::microseconds(0);
  }
  std::chrono::microseconds queuedWork{ 0 };
  for (const AdmissionRequest& waiting : m_queue) {
    if (waiting.callClass == callClass && GoesBefore(waiting, aRequest, aNow)) {
      queuedWork += EstimatedCost(waiting);
    }
  }
  const int usableSlots =
    callClass == CallClass::Long ? LongSlotLimit() : std::max(1, m_options.slots - m_inUseLong);
  // A running call has on average used half of its slot time.
  const auto runningWork =
    HasFreeSlot(callClass) ? std::chrono::microseconds(0) : MedianSlotTimeOfClass(callClass) / 2;
  return (queuedWork + runningWork) / usableSlots;
}

AdmissionDecision
Admission::RequestSlot(const AdmissionRequest& aRequest, Deadline aNow)
{
  const auto isAhead = [&](const AdmissionRequest& aWaiting) {
    return aWaiting.callClass == aRequest.callClass && GoesBefore(aWaiting, aRequest, aNow);
  };
  m_fairness.RecordArrival(aRequest.team, aNow);
  const bool noneAhead = std::none_of(m_queue.begin(), m_queue.end(), isAhead);
  if (aNow >= aRequest.deadline) {
    return AdmissionDecision::DeadlineUnreachable;
  }
  if (noneAhead && HasFreeSlot(aRequest.callClass) && m_rate.TryTake(aNow)) {
    OccupySlot(aRequest, aNow);
    return AdmissionDecision::Admitted;
  }
  const std::chrono::microseconds wait = ExpectedWait(aRequest, aNow);
  if (aNow + wait + EstimatedCost(aRequest) > aRequest.deadline) {
    return AdmissionDecision::DeadlineUnreachable;
  }
  const bool queueFull = WaitingCalls() >= m_options.waitingPerSlot * m_options.slots;
  if (queueFull && !CanDisplace(aRequest, aNow)) {
    return AdmissionDecision::DeadlineUnreachable;
  }
  if (wait > aRequest.longestWait) {
    return AdmissionDecision::WaitTooLong;
  }
  if (queueFull) {
    LastWaiting(aNow)->returnAt = aNow;
  }
  m_queue.push_back(aRequest);
  return AdmissionDecision::Queued;
}

std::list<AdmissionRequest>::iterator
Admission::LastWaiting(Deadline aNow)
{
  auto last = m_queue.end();
  for (auto waiting = m_queue.begin(); waiting != m_queue.end(); ++waiting) {
    const bool isReturned = waiting->returnAt <= aNow;
    if (!isReturned && (last == m_queue.end() || GoesBefore(*last, *waiting, aNow))) {
      last = waiting;
    }
  }
  return last;
}

bool
Admission::CanDisplace(const AdmissionRequest& aRequest, Deadline aNow)
{
  const auto last = LastWaiting(aNow);
  return last != m_queue.end() && !last->team.name.empty() && !GoesBefore(*last, aRequest, aNow);
}

void
Admission::ReleaseUnused(CallClass aClass)
{
  --(aClass == CallClass::Long ? m_inUseLong : m_inUseShort);
}

void
Admission::Release(CallClass aClass, std::chrono::microseconds aHeldFor, const std::string& aCostGroup)
{
  ReleaseUnused(aClass);
  (aClass == CallClass::Long ? m_longSlotTime : m_shortSlotTime).Add(aHeldFor);
  if (!aCostGroup.empty()) {
    m_slotTimeByCostGroup.try_emplace(aCostGroup, kMedian).first->second.Add(aHeldFor);
  }
}

bool
Admission::Withdraw(uint64_t aCallNumber)
{
  return m_queue.remove_if(
           [&](const AdmissionRequest& aWaiting) { return aWaiting.callNumber == aCallNumber; }) > 0;
}

std::vector<uint64_t>
Admission::AdmitWaiting(Deadline aNow)
{
  std::vector<uint64_t> admitted;
  while (true) {
    auto next = m_queue.end();
    for (auto waiting = m_queue.begin(); waiting != m_queue.end(); ++waiting) {
      const bool canRun = waiting->deadline > aNow && HasFreeSlot(waiting->callClass);
      if (canRun && (next == m_queue.end() || !GoesBefore(*next, *waiting, aNow))) {
        next = waiting;
      }
    }
    if (next == m_queue.end() || !m_rate.TryTake(aNow)) {
      return admitted;
    }
    OccupySlot(*next, aNow);
    admitted.push_back(next->callNumber);
    m_queue.erase(next);
  }
}

std::vector<uint64_t>
Admission::RemoveExpired(Deadline aNow)
{
  std::vector<uint64_t> expiredCalls;
  m_queue.remove_if([&](const AdmissionRequest& aWaiting) {
    const bool expired = aNow + EstimatedCost(aWaiting) > aWaiting.deadline || aNow >= aWaiting.returnAt;
    if (expired) {
      expiredCalls.push_back(aWaiting.callNumber);
    }
    return expired;
  });
  return expiredCalls;
}

void
Admission::SetSlots(int aSlots)
{
  m_options.slots = std::max(1, aSlots);
}

int
Admission::Slots() const
{
  return m_options.slots;
}

int
Admission::SlotsInUse() const
{
  return m_inUseShort + m_inUseLong;
}

int
Admission::WaitingCalls() const
{
  return static_cast<int>(m_queue.size());
}

} // namespace mimosarun
