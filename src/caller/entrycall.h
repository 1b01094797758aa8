#pragma once

#include "caller/balancer.h"
#include "caller/calloptions.h"
#include "caller/callresponse.h"
#include "caller/calltimers.h"
#include "caller/entryattempt.h"
#include "caller/gateselector.h"
#include "caller/openattempts.h"
#include "caller/quotaadmission.h"
#include "caller/sentcopies.h"
#include "http/refusal.h"
#include "http/server.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace mimosarun {

class Entry;
class EntryCall;

/** The calls of an entry, which may outlive it. */
struct EntryCallRegistry
{
  std::mutex mutex;
  std::map<const EntryCall*, std::weak_ptr<EntryCall>> calls;
};

/** One call at its entry and its attempts at gates, one of which provides the response. Runs on one loop. */
class EntryCall : public std::enable_shared_from_this<EntryCall>
{
public:
  EntryCall(Entry& aEntry, ExchangePointer aExchange, CallOptions aOptions);
  ~EntryCall();

  /**
   * Starts the timers and sends the first attempt; a call that isn't idempotent is sent only when it is the
   * first of its pipeline.
   */
  void Start();

  EventLoop& Loop() const { return m_loop; }

  /** Returns whether a gate has begun to respond to the call; only on the call's loop. */
  bool HasResponse() const { return m_attempts.HasResponse(); }

  /** Refuses the call unless its response is being sent, as its entry ends; only on the call's loop. */
  void OnEntryEnds();

private:
  friend class EntryAttempt;
  using AttemptPointer = std::shared_ptr<EntryAttempt>;

  void SendFirst();
  /** Sends the first attempt if the quota of the call's team has room. */
  void SendWithinQuota();
  void OnQuota(const QuotaVerdict& aVerdict);
  void StartTimers();
  /**
   * Sends the call to the best remaining gate; returns false if no further attempt is possible.
   *
   * @param aAvoidedGates nodes whose gates this attempt mustn't be sent to
   */
  bool SendNext(const std::set<std::string>& aAvoidedGates = {});
  /** Sends a further attempt beside the open ones, if possible to another gate; returns whether it did. */
  bool SendParallel();
  void Send(const GateChoice& aChoice);
  /**
   * Sends one more copy of a call that isn't idempotent to the gate of an attempt, since the gate may have
   * received the call; returns false if that isn't possible.
   */
  bool ScheduleCopy(const EntryAttempt& aAttempt);
  void SendDueCopy(int aCopy, const GateInfo& aGate);

  /** Starts a timer that detects that the connection of an attempt may be stalled. */
  void WatchForStall(const AttemptPointer& aAttempt);
  void OnStall(const std::weak_ptr<EntryAttempt>& aAttempt);
  void OnHedgeTime();
  /** Called after half of the time to the deadline. */
  void OnHalfTime();
  void OnDeadline();
  void OnCallerDisconnected();

  /** Called if the gate of an attempt acknowledges nothing; the attempt may still be answered. */
  void OnSilence(EntryAttempt& aAttempt);
  void OnAttemptAnswered(EntryAttempt& aAttempt);
  void OnRejected(EntryAttempt& aAttempt);
  void OnNotRun(EntryAttempt& aAttempt);
  void OnAttemptFailed(EntryAttempt& aAttempt, ForwardResult aResult);
  /** Continues an idempotent call after a failed attempt; returns false if it can't continue. */
  bool RetryElsewhere(const EntryAttempt& aAttempt, ForwardResult aResult);
  /** Continues a call that isn't idempotent after a failed attempt; returns false if it can't continue. */
  bool ContinueWithCopies(const EntryAttempt& aAttempt, ForwardResult aResult);
  /** Returns what to do after an attempt that didn't run; no other is open if another gate is to be used. */
  NextStep StepAfterNotRun(const EntryAttempt& aAttempt);
  /** Takes a step other than NextStep::UseOtherGate; returns false if the call can't continue. */
  bool TakeStep(NextStep aStep, const EntryAttempt& aAttempt);
  bool MayHaveRun() const { return m_mayHaveRun || m_copies.MayHaveRun(); }
  void FinishAttempt(EntryAttempt& aAttempt, AttemptOutcome aOutcome, const std::string& aOutcomeName);

  bool BeginStreaming(EntryAttempt& aAttempt);
  void GiveUp(int aStatus, const std::string& aReason);
  void Respond(HttpResponseHead aHead, std::string aBody);
  void Refuse(int aStatus, const std::string& aReason);
  CallRefusal MakeRefusal(int aStatus, const std::string& aReason) const;
  /** Returns the quota of a call that didn't run. */
  void ReturnUnusedQuota();
  void MarkDecided();

  Entry& m_entry;
  const std::shared_ptr<EntryCallRegistry> m_registry;
  const ExchangePointer m_exchange;
  EventLoop& m_loop;
  const CallOptions m_options;
  const Deadline m_receivedAt;
  const std::string m_service;
  CallTimers m_timers;
  CallResponse m_response;
  /** Null if no quota applies. */
  std::shared_ptr<QuotaAdmission> m_quota;
  /** Set if the quota of the team was used up. */
  std::optional<std::chrono::milliseconds> m_quotaRetryAfter;
  OpenAttempts m_attempts;
  GateSelector m_gateSelector;
  /** Whether an attempt of an idempotent call, or the open attempt at the call's end, may have run. */
  bool m_mayHaveRun = false;
  /** Unused if the call is idempotent. */
  SentCopies m_copies;
  bool m_decided = false;
  EntryAttempt* m_streamedAttempt = nullptr;
  /** A target's error response, used if no further attempt succeeds. */
  std::optional<HttpResponse> m_failedResponse;
};

} // namespace mimosarun
