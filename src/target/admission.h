#pragma once

#include "common/clock.h"
#include "common/quantileestimate.h"
#include "configuration/configuration.h"
#include "target/requestrate.h"
#include "target/teamfairness.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** A call's request for a slot of the target. */
struct AdmissionRequest
{
  uint64_t callNumber = 0;
  CallClass callClass = CallClass::Short;
  /** Groups calls of similar cost, such as the calls of one route. */
  std::string costGroup;
  /** Waiting calls with a lower number are admitted first, within the priority of the team. */
  int64_t priority = 0;
  CallTeam team;
  Deadline deadline;
  /** Time by which the call should end; calls that will miss it are admitted after those that can meet it. */
  Deadline objective = Deadline::max();
  std::chrono::milliseconds expectedCost{ 0 };
  /** A call still queued at this time is returned to the entry, which then has time to try another gate. */
  Deadline returnAt = Deadline::max();
  /** A call with a longer expected wait is rejected at once, since another gate may serve it sooner. */
  std::chrono::microseconds longestWait = std::chrono::microseconds::max();
};

/** What happens to a request for a slot. */
enum class AdmissionDecision
{
  Admitted,
  Queued,
  /** The expected wait exceeds the longest wait that the call allows at this gate. */
  WaitTooLong,
  /** The deadline can't be met at this gate, or the queue is full. */
  DeadlineUnreachable,
};

/**
 * Decides which calls get the slots of a target, within the rate that the target accepts; a call whose
 * deadline can't be met is rejected at once or removed from the queue. Not thread-safe.
 */
class Admission
{
public:
  struct Options
  {
    int slots = 1;
    /** Limit of the queue: waiting calls for each slot. */
    int waitingPerSlot = 4;
  };

  explicit Admission(Options aOptions);

  /** Assigns a slot to a call, queues the call or rejects it. */
  AdmissionDecision RequestSlot(const AdmissionRequest& aRequest, Deadline aNow);

  /** Frees a slot and updates the cost estimates with the time for which it was held. */
  void Release(CallClass aClass, std::chrono::microseconds aHeldFor, const std::string& aCostGroup = {});

  /** Frees a slot whose call wasn't run; the cost estimates don't change. */
  void ReleaseUnused(CallClass aClass);

  /** Removes a call from the queue; returns false if it isn't queued. */
  bool Withdraw(uint64_t aCallNumber);

  /** Moves waiting calls into free slots; returns their numbers in order of admission. */
  std::vector<uint64_t> AdmitWaiting(Deadline aNow);

  /**
   * Removes waiting calls that can no longer meet their deadline or that have waited until
   * AdmissionRequest::returnAt; returns their numbers.
   */
  std::vector<uint64_t> RemoveExpired(Deadline aNow);

  std::optional<double> RateLimit() const { return m_rate.Limit(); }

  /** Returns how long a call that arrives now would wait for a slot. */
  std::chrono::microseconds ExpectedWait(const AdmissionRequest& aRequest, Deadline aNow) const;

  /** Returns the median time for which calls of a group hold a slot; zero before the first one has ended. */
  std::chrono::microseconds MedianSlotTime(const std::string& aCostGroup) const;

  void SetSlots(int aSlots);

  /** Sets how many requests a second the target accepts; nothing means any number. */
  void SetRateLimit(std::optional<double> aPerSecond, Deadline aNow) { m_rate.SetLimit(aPerSecond, aNow); }
  int Slots() const;
  int SlotsInUse() const;
  int WaitingCalls() const;

private:
  /** Returns the number of slots that long calls may use; the others are reserved for short calls. */
  int LongSlotLimit() const;
  bool HasFreeSlot(CallClass aClass) const;
  void OccupySlot(const AdmissionRequest& aRequest, Deadline aNow);
  std::chrono::microseconds EstimatedCost(const AdmissionRequest& aRequest) const;
  /** Returns how long a call would wait for a slot, whatever rate the target accepts. */
  std::chrono::microseconds WaitForSlot(const AdmissionRequest& aRequest, Deadline aNow) const;
  std::chrono::microseconds MedianSlotTimeOfClass(CallClass aClass) const;
  bool MissesObjective(const AdmissionRequest& aRequest, Deadline aNow) const;
  /**
   * Orders waiting calls: calls of no team, since running requests wait for them; calls of underserved teams;
   * then by the team's and the call's priority, by whether they can still meet their objective, by when
   * their team is due, and by the earlier of objective and deadline. Under overload, a call that is
   * already late would only make others late too.
   */
  bool GoesBefore(const AdmissionRequest& aLeft, const AdmissionRequest& aRight, Deadline aNow) const;

  /** Returns the waiting call that would be admitted last, or the end of the queue. */
  std::list<AdmissionRequest>::iterator LastWaiting(Deadline aNow);
  /**
   * Returns whether a call may take the place of the last one in a full queue. Only calls of teams are
   * displaced, since a burst of one team could otherwise fill the queue of all.
   */
  bool CanDisplace(const AdmissionRequest& aRequest, Deadline aNow);

  Options m_options;
  RequestRate m_rate;
  TeamFairness m_fairness;
  int m_inUseShort = 0;
  int m_inUseLong = 0;
  /** Median time for which a call holds a slot; a few very long calls hardly change it. */
  QuantileEstimate m_shortSlotTime{ 0.5 };
  QuantileEstimate m_longSlotTime{ 0.5 };
  std::map<std::string, QuantileEstimate> m_slotTimeByCostGroup;
  /** In order of arrival. */
  std::list<AdmissionRequest> m_queue;
};

} // namespace mimosarun
