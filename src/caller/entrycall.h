#pragma once

#include "caller/balancer.h"
#include "caller/callhistory.h"
#include "caller/calloptions.h"
#include "caller/entryattempt.h"
#include "caller/gateselector.h"
#include "caller/openattempts.h"
#include "caller/quotaadmission.h"
#include "http/refusal.h"
#include "http/server.h"

#include <boost/asio/steady_timer.hpp>

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
  /** Sends the call once more to a gate whose connection broke, since the gate may have received it. */
  void ResendTo(const GateInfo& aGate);

  /** Starts a timer that detects that the connection of an attempt may be stalled. */
  void WatchForStall(const AttemptPointer& aAttempt);
  void OnStall(const std::weak_ptr<EntryAttempt>& aAttempt);
  void OnHedgeTime();
  /** Called after half of the time to the deadline. */
  void OnHalfTime();
  void OnDeadline();
  void OnCallerDisconnected();

  void OnAttemptAnswered(EntryAttempt& aAttempt);
  void OnRejected(EntryAttempt& aAttempt);
  void OnNotRun(EntryAttempt& aAttempt);
  void OnAttemptFailed(EntryAttempt& aAttempt, ForwardResult aResult);
  void FinishAttempt(EntryAttempt& aAttempt, AttemptOutcome aOutcome, const std::string& aOutcomeName);

  bool BeginStreaming(EntryAttempt& aAttempt);
  /** Adds a record of a call whose response begins. */
  void RecordStreaming(int aStatus);
  void GiveUp(int aStatus, const std::string& aReason);
  void Respond(HttpResponseHead aHead, std::string aBody);
  void Refuse(int aStatus, const std::string& aReason);
  std::chrono::milliseconds RetryAfter() const;
  void MarkDecided();
  /**
   * Records how the call ended. Called before a response is sent whole, since operators may ask about a call
   * as soon as its caller has the response.
   */
  void RecordOutcome(int aStatus, const std::string& aOutcome, const std::string& aReason);

  Entry& m_entry;
  const std::shared_ptr<EntryCallRegistry> m_registry;
  const ExchangePointer m_exchange;
  EventLoop& m_loop;
  const CallOptions m_options;
  const Deadline m_receivedAt;
  const std::string m_service;
  boost::asio::steady_timer m_deadlineTimer;
  boost::asio::steady_timer m_hedgeTimer;
  boost::asio::steady_timer m_halfTimer;
  /** Null if no quota applies. */
  std::shared_ptr<QuotaAdmission> m_quota;
  /** Set if the quota of the team was used up. */
  std::optional<std::chrono::milliseconds> m_quotaRetryAfter;
  OpenAttempts m_attempts;
  GateSelector m_gateSelector;
  /** Whether an attempt without a response may have run. */
  bool m_mayHaveRun = false;
  /** Whether the call is being resent to a gate that may have received it. */
  bool m_isResending = false;
  bool m_decided = false;
  EntryAttempt* m_streamedAttempt = nullptr;
  /** A target's error response, used if no further attempt succeeds. */
  std::optional<HttpResponse> m_failedResponse;
  CallRecord m_record;
};

} // namespace mimosarun
