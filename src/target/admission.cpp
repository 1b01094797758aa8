#include "target/admission.h"

#include <algorithm>

namespace mimosarun {

/** One part in this many of the slots is kept for short calls, and at least one slot. */
static constexpr int kShortReserve = 3;

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
Admission::Cost(const AdmissionRequest& aRequest) const
{
  const auto typical = (aRequest.callClass == CallClass::Long ? m_typicalLong : m_typicalShort).Value();
  return typical.count() > 0 ? typical : std::chrono::microseconds(aRequest.expectedCost);
}

std::chrono::microseconds
Admission::ExpectedWait(CallClass aClass) const
{
  if (HasSlot(aClass) && m_queue.empty()) {
    return std::chrono::microseconds(0);
  }
  std::chrono::microseconds work{ 0 };
  for (const AdmissionRequest& waiting : m_queue) {
    if (waiting.callClass == aClass) {
      work += Cost(waiting);
    }
  }
  const auto typical = (aClass == CallClass::Long ? m_typicalLong : m_typicalShort).Value();
  const int servers = aClass == CallClass::Long ? LongLimit() : std::max(1, m_options.slots - m_inUseLong);
  // A slot in use is on average half done.
  const auto current = HasSlot(aClass) ? std::chrono::microseconds(0) : typical / 2;
  return (work + current) / servers;
}

AdmissionVerdict
Admission::Offer(const AdmissionRequest& aRequest, Deadline aNow)
{
  const auto sameClass = [&](const AdmissionRequest& aWaiting) {
    return aWaiting.callClass == aRequest.callClass;
  };
  const bool overtakes = std::none_of(m_queue.begin(), m_queue.end(), sameClass);
  if (aNow >= aRequest.deadline) {
    return AdmissionVerdict::Refused;
  }
  if (overtakes && HasSlot(aRequest.callClass)) {
    Occupy(aRequest.callClass);
    return AdmissionVerdict::Admitted;
  }
  const bool full = Waiting() >= m_options.queueFactor * m_options.slots;
  if (full || aNow + ExpectedWait(aRequest.callClass) + Cost(aRequest) > aRequest.deadline) {
    return AdmissionVerdict::Refused;
  }
  const auto later = std::find_if(m_queue.begin(), m_queue.end(), [&](const AdmissionRequest& aWaiting) {
    return aWaiting.deadline > aRequest.deadline;
  });
  m_queue.insert(later, aRequest);
  return AdmissionVerdict::Queued;
}

void
Admission::Release(CallClass aClass, std::chrono::microseconds aHeldFor)
{
  --(aClass == CallClass::Long ? m_inUseLong : m_inUseShort);
  (aClass == CallClass::Long ? m_typicalLong : m_typicalShort).Add(aHeldFor);
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
  for (auto waiting = m_queue.begin(); waiting != m_queue.end();) {
    if (waiting->deadline > aNow && HasSlot(waiting->callClass)) {
      Occupy(waiting->callClass);
      admitted.push_back(waiting->call);
      waiting = m_queue.erase(waiting);
    } else {
      ++waiting;
    }
  }
  return admitted;
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
