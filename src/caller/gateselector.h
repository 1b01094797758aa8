#pragma once

#include "caller/balancer.h"
#include "caller/callgates.h"
#include "caller/calloptions.h"
#include "caller/callwait.h"
#include "caller/stopreason.h"
#include "http/message.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace mimosarun {

class Entry;

/**
 * Chooses the gate for each attempt of one call, or says why the call is sent to no further gate. Runs on the
 * loop of the call.
 */
class GateSelector
{
public:
  /** State of the call at the next attempt. */
  struct Request
  {
    const HttpRequest& request;
    /** Attempts that are open. */
    size_t openAttempts = 0;
    /** Gates that this attempt mustn't be sent to. */
    const std::set<std::string>& avoidedGates;
  };

  /** The options must outlive this object. */
  GateSelector(Entry& aEntry, const CallOptions& aOptions, std::string aService);

  /** Chooses the gate for the next attempt; every attempt after the first uses a retry of the budget. */
  std::variant<GateChoice, StopReason> Next(const Request& aRequest);

  /** Records an attempt that is sent to a gate. */
  void RecordSent() { ++m_gateAttempts; }

  /** Records an attempt that was passed to a target. */
  void RecordTargetAttempt() { ++m_targetAttempts; }

  /** Excludes a gate from the choices that follow. */
  void Exclude(const std::string& aNode) { m_triedGates.excluded.insert(aNode); }

  void RecordRejection(const GateRejection& aRejection) { m_triedGates.RecordRejection(aRejection); }

  /** Returns whether the call may be sent to a gate once more. */
  bool MaySendAgain() const { return m_gateAttempts < kMaxGateAttempts; }

  bool HasReachedTarget() const { return m_targetAttempts > 0; }

  /** Returns whether the caller's key may still be honoured. */
  bool HasValidCredential() const;

  /** Returns how long the call may wait for a slot of a gate. */
  std::chrono::microseconds LongestAllowedWait(Deadline aNow) const;

  /** Returns the longest wait that a gate reported when it rejected the call; zero if none did. */
  std::chrono::microseconds LongestReportedWait() const;

  size_t CountUntriedGates() const;

private:
  /** Returns why the call can be sent to no gate at all, or StopReason::None. */
  StopReason FindObstacle(const HttpRequest& aRequest, Deadline aNow) const;
  std::variant<GateChoice, StopReason> ChooseWithin(const Request& aRequest);
  std::optional<GateChoice> Choose(Deadline aNow);
  /** Chooses among the gates that rejected the call, as it waits at the best of them in its last attempt. */
  std::optional<GateChoice> ChooseRejecting(const std::vector<GateInfo>& aGates,
                                            const CallRequirements& aRequirements,
                                            Deadline aNow);
  /** Returns why no other attempt is allowed, or StopReason::None. */
  StopReason ReserveAttempt(size_t aOpenAttempts);
  CallTimes Times() const;

  Entry& m_entry;
  const CallOptions& m_options;
  const std::string m_service;
  CallGates m_gates;
  TriedGates m_triedGates;
  /** Attempts that were passed to a target. */
  int64_t m_targetAttempts = 0;
  /** Attempts that were sent to a gate. */
  int m_gateAttempts = 0;
};

} // namespace mimosarun
