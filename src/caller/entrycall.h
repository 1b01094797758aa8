#pragma once

#include "caller/balancer.h"
#include "caller/callhistory.h"
#include "caller/entryattempt.h"
#include "configuration/snapshot.h"
#include "hop/hopheaders.h"
#include "http/refusal.h"
#include "http/server.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

class Entry;

/** One call at its entry: its attempts at gates, one of which gives the answer. Lives on one loop. */
class EntryCall : public std::enable_shared_from_this<EntryCall>
{
public:
  struct Options
  {
    std::string callId;
    SnapshotPointer snapshot;
    /** Of the snapshot. */
    const Route* route = nullptr;
    Deadline deadline;
    /** Until then an answer is worth most. */
    Deadline objectiveDeadline;
  };

  EntryCall(Entry& aEntry, ExchangePointer aExchange, Options aOptions);
  ~EntryCall();

  /** Sends the first attempt, or waits until it is the call's turn on its connection. */
  void Start();

private:
  friend class EntryAttempt;
  using AttemptPointer = std::shared_ptr<EntryAttempt>;

  void SendFirst();
  void StartTimers();
  /** Sends the call to the best gate that is left; false if there is none that would serve it. */
  bool SendNext();
  std::optional<GateChoice> ChooseGate(Deadline aNow);
  bool TryReserveAttempt();
  CallRequirements RequirementsAt(Deadline aNow) const;
  /** Sends a second attempt to a gate that has none, while the first goes on. */
  bool SendParallel();
  void Send(const GateChoice& aChoice);
  void ResendTo(const GateInfo& aGate);
  std::chrono::microseconds LongestAllowedWait(Deadline aNow) const;
  HttpRequest MakeGateRequest(Deadline aNow, const GateChoice& aChoice) const;

  void WatchForStall(const AttemptPointer& aAttempt);
  void OnStall(const std::weak_ptr<EntryAttempt>& aAttempt);
  void OnHedgeTime();
  void OnHalfTime();
  void OnDeadline();
  void OnCallerDisconnected();

  void OnAttemptAnswered(EntryAttempt& aAttempt);
  void OnRejected(EntryAttempt& aAttempt);
  void OnNotRun(EntryAttempt& aAttempt);
  void OnAttemptFailed(EntryAttempt& aAttempt, ForwardResult aEnd);
  void ReportAttemptResult(const EntryAttempt& aAttempt, AttemptOutcome aEnd);
  void FinishAttempt(EntryAttempt& aAttempt, AttemptOutcome aEnd, const std::string& aName);

  bool BeginStreaming(EntryAttempt& aAttempt);
  void GiveUp(int aStatus, const std::string& aReason);
  void Respond(HttpResponseHead aHead, std::string aBody);
  void Refuse(int aStatus, const std::string& aReason);
  std::optional<std::chrono::milliseconds> RetryAfter() const;
  void CancelAttemptsExcept(const EntryAttempt* aKept);
  void MarkDecided();
  void RecordOutcome(int aStatus, const std::string& aOutcome, const std::string& aReason);

  Entry& m_entry;
  const ExchangePointer m_exchange;
  EventLoop& m_loop;
  const Options m_options;
  const Deadline m_receivedAt;
  std::string m_service;
  boost::asio::steady_timer m_deadlineTimer;
  boost::asio::steady_timer m_hedgeTimer;
  boost::asio::steady_timer m_halfTimer;
  std::vector<AttemptPointer> m_attempts;
  TriedGates m_triedGates;
  /** Attempts that a target was given. */
  int64_t m_targetAttempts = 0;
  int m_gateAttempts = 0;
  /** Whether an attempt that gave no answer may have run. */
  bool m_mayHaveRun = false;
  /** Whether the call is asked for again at the gate that may hold it. */
  bool m_isResending = false;
  bool m_decided = false;
  EntryAttempt* m_streamedAttempt = nullptr;
  /** A failure that a target answered, kept in case no further attempt does better. */
  std::optional<HttpResponse> m_failedResponse;
  CallRecord m_record;
};

} // namespace mimosarun
