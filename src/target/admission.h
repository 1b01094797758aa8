#pragma once

#include "common/clock.h"
#include "common/quantileestimate.h"
#include "configuration/configuration.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace mimosarun {

/** A call that asks for a slot of the target. */
struct AdmissionRequest
{
  uint64_t callNumber = 0;
  CallClass callClass = CallClass::Short;
  /** Names calls of like cost, such as those of one route. */
  std::string costGroup;
  /** Waiting calls of a lower number go first. */
  int64_t priority = 0;
  Deadline deadline;
  /** Until then the answer is worth most; calls that can't make it go after those that can. */
  Deadline objective = Deadline::max();
  std::chrono::milliseconds expectedCost{ 0 };
  /** A call that still waits then is given back, while its entry has time to try another gate. */
  Deadline returnAt = Deadline::max();
  /** A call that would wait longer is turned back at once, since another gate may serve it sooner. */
  std::chrono::microseconds longestWait = std::chrono::microseconds::max();
};

enum class AdmissionDecision
{
  Admitted,
  Queued,
  /** The wait is longer than the call allows here. */
  WaitTooLong,
  /** The deadline can't be met here. */
  DeadlineUnreachable,
};

/**
 * Decides which calls occupy the slots of one target. Long calls never take the slots reserved for short
 * ones. Waiting calls are served by priority, then those that can still meet their objective, then by
 * deadline: under overload a call that is late already would only make others late too. A call whose deadline
 * can't be met is refused at once, and one that has become hopeless is dropped from the queue. Not
 * thread-safe.
 */
class Admission
{
public:
  struct Options
  {
    int slots = 1;
    /** Waiting calls for each slot. */
    int waitingPerSlot = 4;
  };

  explicit Admission(Options aOptions);

  /** Asks for a slot. */
  AdmissionDecision RequestSlot(const AdmissionRequest& aRequest, Deadline aNow);

  /** Gives a slot back; the time it was held corrects the estimates. */
  void Release(CallClass aClass, std::chrono::microseconds aHeldFor, const std::string& aKind = {});

  /** Gives back a slot that was held without running anything. */
  void ReleaseUnused(CallClass aClass);

  /** Takes a waiting call out; false if it doesn't wait. */
  bool Withdraw(uint64_t aCall);

  /** Calls that get a slot now, in order. */
  std::vector<uint64_t> AdmitWaiting(Deadline aNow);

  /** Waiting calls whose deadline can no longer be met, or that have waited too long. */
  std::vector<uint64_t> RemoveExpired(Deadline aNow);

  /** The wait that a call would see now. */
  std::chrono::microseconds ExpectedWait(const AdmissionRequest& aRequest, Deadline aNow) const;

  /** The time for which calls of a kind hold a slot, or zero before the first one has ended. */
  std::chrono::microseconds MedianSlotTime(const std::string& aKind) const;

  void SetSlots(int aSlots);
  int Slots() const;
  int SlotsInUse() const;
  int WaitingCalls() const;

private:
  int LongSlotLimit() const;
  bool HasFreeSlot(CallClass aClass) const;
  void OccupySlot(CallClass aClass);
  std::chrono::microseconds EstimatedCost(const AdmissionRequest& aRequest) const;
  std::chrono::microseconds MedianSlotTimeOfClass(CallClass aClass) const;
  bool MissesObjective(const AdmissionRequest& aRequest, Deadline aNow) const;
  bool GoesBefore(const AdmissionRequest& aLeft, const AdmissionRequest& aRight, Deadline aNow) const;

  Options m_options;
  int m_inUseShort = 0;
  int m_inUseLong = 0;
  /** Median time that a call holds a slot; a few very long calls don't move it much. */
  QuantileEstimate m_shortSlotTime{ 0.5 };
  QuantileEstimate m_longSlotTime{ 0.5 };
  std::map<std::string, QuantileEstimate> m_slotTimeByCostGroup;
  /** In the order of their arrival. */
  std::list<AdmissionRequest> m_queue;
};

} // namespace mimosarun
