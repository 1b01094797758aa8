#include "target/admission.h"

#include <algorithm>
#include <tuple>

namespace mimosarun {

/** One part in this many of the slots is kept for short calls, and at least one slot. */
static constexpr int kShortReserve = 3;
static constexpr double kMedian = 0.5;

Admission::Admission(Options aOptions)
  : m_options(aOptions)
{
}

int
Admission::LongLimit() const
{
  if (m_options.slots <= 1) {
    return 1;
  }
  return m_options.slots - std::max(1, m_options.slots / kShortReserve);
}

bool
Admission::HasSlot(CallClass aClass) const
{
  if (InUse() >= m_options.slots) {
    return false;
  }
  return aClass == CallClass::Short || m_inUseLong < LongLimit();
}

void
Admission::Occupy(CallClass aClass)
{
  ++(aClass == CallClass::Long ? m_inUseLong : m_inUseShort);
}

std::chrono::microseconds
Admission::TypicalOfClass(CallClass aClass) const
{
  return (aClass == CallClass::Long ? m_typicalLong : m_typicalShort).Value();
}

std::chrono::microseconds
Admission::TypicalTime(const std::string& aKind) const
{
  const auto known = m_typicalOfKind.find(aKind);
  return known == m_typicalOfKind.end() ? std::chrono::microseconds(0) : known->second.Value();
}

std::chrono::microseconds
Admission::Cost(const AdmissionRequest& aRequest) const
{
  const auto ofKind = aRequest.kind.empty() ? std::chrono::microseconds(0) : TypicalTime(aRequest.kind);
  const auto typical = ofKind.count() > 0 ? ofKind : TypicalOfClass(aRequest.callClass);
  return typical.count() > 0 ? typical : std::chrono::microseconds(aRequest.expectedCost);
}

bool
Admission::IsLate(const AdmissionRequest& aRequest, Deadline aNow) const
{
  return aRequest.objective != Deadline::max() && aNow + Cost(aRequest) > aRequest.objective;
}

bool
Admission::GoesBefore(const AdmissionRequest& aLeft, const AdmissionRequest& aRight, Deadline aNow) const
{
  const auto key = [&](const AdmissionRequest& aRequest) {
    return std::make_tuple(
      aRequest.priority, IsLate(aRequest, aNow), std::min(aRequest.objective, aRequest.deadline));
  };
  return key(aLeft) <= key(aRight);
}

std::chrono::microseconds
Admission::ExpectedWait(const AdmissionRequest& aRequest, Deadline aNow) const
{
  const CallClass callClass = aRequest.callClass;
  if (HasSlot(callClass) && m_queue.empty()) {
    return std::chrono::microseconds(0);
  }
  std::chrono::microseconds work{ 0 };
  for (const AdmissionRequest& waiting : m_queue) {
    if (waiting.callClass == callClass && GoesBefore(waiting, aRequest, aNow)) {
      work += Cost(waiting);
    }
  }
  const int servers = callClass == CallClass::Long ? LongLimit() : std::max(1, m_options.slots - m_inUseLong);
  // A slot in use is on average half done.
  const auto current = HasSlot(callClass) ? std::chrono::microseconds(0) : TypicalOfClass(callClass) / 2;
  return (work + current) / servers;
}

AdmissionVerdict
Admission::Offer(const AdmissionRequest& aRequest, Deadline aNow)
{
  const auto ahead = [&](const AdmissionRequest& aWaiting) {
    return aWaiting.callClass == aRequest.callClass && GoesBefore(aWaiting, aRequest, aNow);
  };
  const bool overtakes = std::none_of(m_queue.begin(), m_queue.end(), ahead);
  if (aNow >= aRequest.deadline) {
    return AdmissionVerdict::Refused;
  }
  if (overtakes && HasSlot(aRequest.callClass)) {
    Occupy(aRequest.callClass);
    return AdmissionVerdict::Admitted;
  }
  const std::chrono::microseconds wait = ExpectedWait(aRequest, aNow);
  const bool full = Waiting() >= m_options.queueFactor * m_options.slots;
  if (full || aNow + wait + Cost(aRequest) > aRequest.deadline) {
    return AdmissionVerdict::Refused;
  }
  if (wait > aRequest.longestWait) {
    return AdmissionVerdict::TurnedBack;
  }
  m_queue.push_back(aRequest);
  return AdmissionVerdict::Queued;
}

void
Admission::ReleaseUnused(CallClass aClass)
{
  --(aClass == CallClass::Long ? m_inUseLong : m_inUseShort);
}

void
Admission::Release(CallClass aClass, std::chrono::microseconds aHeldFor, const std::string& aKind)
{
  ReleaseUnused(aClass);
  (aClass == CallClass::Long ? m_typicalLong : m_typicalShort).Add(aHeldFor);
  if (!aKind.empty()) {
    m_typicalOfKind.try_emplace(aKind, kMedian).first->second.Add(aHeldFor);
  }
}

bool
Admission::Withdraw(uint64_t aCall)
{
  return m_queue.remove_if([&](const AdmissionRequest& aWaiting) { return aWaiting.call == aCall; }) > 0;
}

std::vector<uint64_t>
Admission::TakeAdmitted(Deadline aNow)
{
  std::vector<uint64_t> admitted;
  while (true) {
    auto next = m_queue.end();
    for (auto waiting = m_queue.begin(); waiting != m_queue.end(); ++waiting) {
      const bool fits = waiting->deadline > aNow && HasSlot(waiting->callClass);
      if (fits && (next == m_queue.end() || !GoesBefore(*next, *waiting, aNow))) {
        next = waiting;
      }
    }
    if (next == m_queue.end()) {
      return admitted;
    }
    Occupy(next->callClass);
    admitted.push_back(next->call);
    m_queue.erase(next);
  }
}

std::vector<uint64_t>
Admission::TakeHopeless(Deadline aNow)
{
  std::vector<uint64_t> hopeless;
  m_queue.remove_if([&](const AdmissionRequest& aWaiting) {
    const bool late = aNow + Cost(aWaiting) > aWaiting.deadline || aNow >= aWaiting.giveBackAt;
    if (late) {
      hopeless.push_back(aWaiting.call);
    }
    return late;
  });
  return hopeless;
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
Admission::InUse() const
{
  return m_inUseShort + m_inUseLong;
}

int
Admission::Waiting() const
{
  return static_cast<int>(m_queue.size());
}

} // namespace mimosarun
