#pragma once

#include "common/drainschedule.h"
#include "common/workers.h"
#include "hop/hopheaders.h"
#include "http/forwarder.h"
#include "http/server.h"
#include "process/metrics.h"
#include "quarantine/suspectlist.h"
#include "rollout/outcomecounter.h"
#include "rollout/rolloutview.h"
#include "target/admission.h"
#include "target/claimclient.h"
#include "target/completedruns.h"
#include "target/crashwatch.h"
#include "target/nonidempotentcalls.h"
#include "target/targetfailuretracker.h"
#include "target/targetprotocol.h"
#include "target/targetwatch.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mimosarun {

class GateCall;

/**
 * Sends all calls that reach the target of this node, so it knows exactly which slots are in use. Calls that
 * can't be served in time are rejected early, and a target that is leaving gets none.
 */
class Gate
{
public:
  /** Called when a response shows that the known incarnation of the target has ended. */
  using TargetLostListener = std::function<void(const std::string& aTarget)>;

  /** Called when a response says that the target is leaving. */
  using TargetLeavingListener = std::function<void(const std::string& aTarget)>;

  struct Options
  {
    Address address;
    EventLoops* loops = nullptr;
    Forwarder* forwarder = nullptr;
    /** Null where no idempotency keys are used. */
    ClaimClient* claims = nullptr;
    Metrics* metrics = nullptr;
    TargetCodec codec;
    TargetLostListener onTargetLost;
    TargetLeavingListener onTargetLeaving;
    CrashWatch::Listener onTargetCrashed;
    /** Name of the gate's node in reports on its target. */
    std::string node;
    /** Null where no requests are suspected. */
    SuspectList* suspects = nullptr;
    /** Called with what runs to its end while requests are suspected. */
    std::function<void(const wire::ProvenRuns& aRuns)> onRunsProven = nullptr;
    /** Returns the incarnation of this process that entries know. */
    std::function<int64_t()> incarnation;
    /**
     * Returns the lowest incarnation that is certainly of this process, if refutations of suspicions raise
     * the incarnation.
     */
    std::function<int64_t()> firstIncarnation = nullptr;
    /** Null where versions of targets make no difference. */
    const RolloutView* rollouts = nullptr;
    /** Null where responses aren't counted. */
    OutcomeCounter* outcomes = nullptr;
  };

  static Result<std::unique_ptr<Gate>> Start(Options aOptions);
  ~Gate();

  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  /** Sets the state of the target. After it returns, no call is sent to a target that isn't ready. */
  void SetTarget(const TargetState& aState);

  /** Sets the state that operators want the target to be in. */
  void SetIntent(TargetIntent aIntent);

  /** From now on, rejects new calls that the schedule doesn't accept. */
  void BeginDrain(const DrainSchedule& aSchedule);

  /** From now on, responses tell entries that the node is leaving. */
  void BeginLeaving();

  /** Stops listening and ends the gate's own threads, so that no key is claimed or released any more. */
  void Stop();

  /** Returns the number of calls that hold a slot or wait for one; their responses may be sent later. */
  int OpenCalls() const;

  /** Returns whether entries have all bytes of all responses. */
  bool HasDelivered() const { return m_server->HasDelivered(); }

  /** Returns whether nothing has arrived for so long that no call should be on its way. */
  bool IsQuiet() const { return m_server->IsQuiet(); }

  /** Returns the responses of which entries lack bytes. */
  std::vector<UndeliveredResponse> UndeliveredResponses() const { return m_server->UndeliveredResponses(); }

private:
  friend class GateCall;

  explicit Gate(Options aOptions);

  void Handle(const ExchangePointer& aExchange);
  /** Returns whether this process has had an incarnation. */
  bool IsOwnIncarnation(int64_t aIncarnation) const;
  std::string RejectionReason(const HopRequest& aHop) const;
  void RequestSlot(const std::shared_ptr<GateCall>& aCall);
  void Withdraw(GateCall& aCall);
  void Release(GateCall& aCall, std::chrono::microseconds aHeldFor);
  void ReleaseUnused(GateCall& aCall);
  void ProcessQueue();
  void RejectAllWaiting(const std::string& aReason);
  void ScheduleSweep();
  std::shared_ptr<GateCall> RemoveWaitingLocked(uint64_t aCallNumber);
  HopResponse CurrentLoad(const GateCall& aCall) const;
  std::optional<TargetState> ReadyTarget(const std::string& aService) const;
  void RecordConnectResult(bool aConnected);
  void RecordOutcome(TargetFailureTracker::Outcome aOutcome);
  /** Notes that a request has run to its end at the target, and reports it if it is suspected. */
  void RecordRun(const HopRequest& aHop, const HttpRequest& aRequest);
  void RecordRun(const std::string& aFingerprint);
  /** Adds to the end of the target what tells it from those of other targets, and reports it. */
  void ReportCrash(wire::TargetCrash aCrash);
  wire::TargetPlace Place() const;
  /** Counts how a call ended at the target for a roll-out, unless the target was in its warm-up. */
  void CountResult(TargetCallResult aResult, Deadline aSentAt);
  /** Returns whether the version of the target may get no calls. */
  bool IsVersionForbiddenLocked() const;
  /** Applies what a target said of itself in a response. */
  void ApplyNotice(const std::string& aTarget, const TargetNotice& aNotice);
  void SetRateLimitLocked(std::optional<double> aPerSecond);
  bool ShouldRejectForFailures(const GateCall& aCall);

  Options m_options;
  mutable std::mutex m_mutex;
  TargetState m_target;
  Deadline m_warmUpEndsAt{};
  TargetIntent m_intent = TargetIntent::Serving;
  /** Set once the node is stopping. */
  std::optional<DrainSchedule> m_drainSchedule;
  bool m_isLeaving = false;
  bool m_sweepScheduled = false;
  /** After a failed connection to the target, new calls are rejected until this time. */
  Deadline m_connectBackoffUntil{};
  TargetFailureTracker m_failureTracker;
  Admission m_admission;
  std::map<uint64_t, std::shared_ptr<GateCall>> m_waitingCalls;
  NonIdempotentCalls<GateCall> m_nonIdempotentCalls;
  CompletedRuns m_completedRuns;
  CrashWatch m_crashWatch;
  /** Calls that the target may run although nobody waits for them. */
  prometheus::Gauge* m_abandonedCalls = nullptr;
  std::atomic<uint64_t> m_lastCallNumber{ 0 };
  prometheus::Counter* m_admitted = nullptr;
  prometheus::Counter* m_refused = nullptr;
  prometheus::Histogram* m_slotTime = nullptr;
  std::unique_ptr<WorkerPool> m_workers;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
