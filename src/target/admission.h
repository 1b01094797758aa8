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
  uint64_t call = 0;
  CallClass callClass = CallClass::Short;
  /** Names calls of like cost, such as those of one route. */
  std::string kind;
  /** Waiting calls of a lower number go first. */
  int64_t priority = 0;
  Deadline deadline;
  /** Until then the answer is worth most; calls that can't make it go after those that can. */
  Deadline objective = Deadline::max();
  std::chrono::milliseconds expectedCost{ 0 };
  /** A call that still waits then is given back, while its entry has time to try another gate. */
  Deadline giveBackAt = Deadline::max();
  /** A call that would wait longer is turned back at once, since another gate may serve it sooner. */
  std::chrono::microseconds longestWait = std::chrono::microseconds::max();
};

enum class AdmissionVerdict
{
  Admitted,
  Queued,
  /** The wait is longer than the call allows here. */
  TurnedBack,
  /** The deadline can't be met here. */
  Refused,
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
    int queueFactor = 4;
  };

  explicit Admission(Options aOptions);

  /** Asks for a slot. */
  AdmissionVerdict Offer(const AdmissionRequest& aRequest, Deadline aNow);

  /** Gives a slot back; the time it was held corrects the estimates. */
  void Release(CallClass aClass, std::chrono::microseconds aHeldFor, const std::string& aKind = {});

  /** Gives back a slot that was held without running anything. */
  void ReleaseUnused(CallClass aClass);

  /** Takes a waiting call out; false if it doesn't wait. */
  bool Withdraw(uint64_t aCall);

  /** Calls that get a slot now, in order. */
  std::vector<uint64_t> TakeAdmitted(Deadline aNow);

  /** Waiting calls whose deadline can no longer be met, or that have waited too long. */
  std::vector<uint64_t> TakeHopeless(Deadline aNow);

  /** The wait that a call would see now. */
  std::chrono::microseconds ExpectedWait(const AdmissionRequest& aRequest, Deadline aNow) const;

  /** The time for which calls of a kind hold a slot, or zero before the first one has ended. */
  std::chrono::microseconds TypicalTime(const std::string& aKind) const;

  void SetSlots(int aSlots);
  int Slots() const;
  int InUse() const;
  int Waiting() const;

private:
  int LongLimit() const;
  bool HasSlot(CallClass aClass) const;
  void Occupy(CallClass aClass);
  std::chrono::microseconds Cost(const AdmissionRequest& aRequest) const;
  std::chrono::microseconds TypicalOfClass(CallClass aClass) const;
  bool IsLate(const AdmissionRequest& aRequest, Deadline aNow) const;
  bool GoesBefore(const AdmissionRequest& aLeft, const AdmissionRequest& aRight, Deadline aNow) const;

  Options m_options;
  int m_inUseShort = 0;
  int m_inUseLong = 0;
  /** Median time that a call holds a slot; a few very long calls don't move it much. */
  QuantileEstimate m_typicalShort{ 0.5 };
  QuantileEstimate m_typicalLong{ 0.5 };
  std::map<std::string, QuantileEstimate> m_typicalOfKind;
  /** In the order of their arrival. */
  std::list<AdmissionRequest> m_queue;
};

} // namespace mimosarun
