#pragma once

#include "common/workers.h"
#include "http/forwarder.h"
#include "http/server.h"
#include "process/metrics.h"
#include "target/admission.h"
#include "target/claimclient.h"
#include "target/nonidempotentcalls.h"
#include "target/targetfailuretracker.h"
#include "target/targetprotocol.h"
#include "target/targetwatch.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mimosarun {

class GateCall;
struct HopResponse;

/**
 * The only sender of calls to the target of this node. It knows slots and queue exactly, turns back early
 * what can't be served in time, and sends nothing to a target that leaves.
 */
class Gate
{
public:
  /** Called when the target's answers show that the life it was known by is over. */
  using TargetLostListener = std::function<void(const std::string& aTarget)>;

  struct Options
  {
    Address address;
    EventLoops* loops = nullptr;
    Forwarder* forwarder = nullptr;
    /** Nothing where no idempotency keys are used. */
    ClaimClient* claims = nullptr;
    Metrics* metrics = nullptr;
    TargetCodec codec;
    TargetLostListener onTargetLost;
    /** Names the life of this process, as entries know it. */
    std::function<int64_t()> incarnation;
  };

  static Result<std::unique_ptr<Gate>> Start(Options aOptions);
  ~Gate();

  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  /** Takes the state of the target. When it returns, nothing more is sent to a target that isn't ready. */
  void SetTarget(const TargetState& aState);

  /** Takes what operators want of the target. */
  void SetIntent(TargetIntent aIntent);

  /** Turns back all new calls from now on. */
  void BeginDrain();

  /** Stops listening and all own threads; calls that are still open get no answer. */
  void Stop();

  /** Calls that hold or await a slot. */
  int OpenCalls() const;

private:
  friend class GateCall;

  explicit Gate(Options aOptions);

  void Handle(const ExchangePointer& aExchange);
  std::string RejectionReason(const std::string& aService) const;
  void RequestSlot(const std::shared_ptr<GateCall>& aCall);
  void Withdraw(GateCall& aCall);
  void Release(GateCall& aCall, std::chrono::microseconds aHeldFor);
  void ReleaseUnused(GateCall& aCall);
  void ProcessQueue();
  void RejectAllWaiting(const std::string& aReason);
  void ScheduleSweep();
  std::shared_ptr<GateCall> RemoveWaitingLocked(uint64_t aCall);
  HopResponse CurrentLoad(const GateCall& aCall) const;
  std::optional<TargetState> ReadyTarget(const std::string& aService) const;
  void RecordConnectResult(bool aConnected);
  void RecordOutcome(TargetFailureTracker::Outcome aOutcome);
  bool ShouldRejectForFailures(const GateCall& aCall);

  Options m_options;
  mutable std::mutex m_mutex;
  TargetState m_target;
  TargetIntent m_intent = TargetIntent::Serving;
  bool m_draining = false;
  bool m_sweepScheduled = false;
  /** A target that takes no connections is left alone until then. */
  Deadline m_connectBackoffUntil{};
  TargetFailureTracker m_failureTracker;
  Admission m_admission;
  std::map<uint64_t, std::shared_ptr<GateCall>> m_waitingCalls;
  NonIdempotentCalls m_nonIdempotentCalls;
  std::atomic<uint64_t> m_lastCallNumber{ 0 };
  prometheus::Counter* m_admitted = nullptr;
  prometheus::Counter* m_refused = nullptr;
  prometheus::Histogram* m_slotTime = nullptr;
  std::unique_ptr<WorkerPool> m_workers;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
