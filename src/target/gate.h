#pragma once

#include "common/workers.h"
#include "http/forwarder.h"
#include "http/server.h"
#include "process/metrics.h"
#include "target/admission.h"
#include "target/claimclient.h"
#include "target/oncecalls.h"
#include "target/targetprotocol.h"
#include "target/targettrust.h"
#include "target/targetwatch.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mimosarun {

class GateCall;
struct HopAnswer;

/**
 * The only sender of calls to the target of this node. It knows slots and queue exactly, turns back early
 * what can't be served in time, and sends nothing to a target that leaves.
 */
class Gate
{
public:
  /** Called when the target's answers show that the life it was known by is over. */
  using LossListener = std::function<void(const std::string& aTarget)>;

  struct Options
  {
    Address address;
    EventLoops* loops = nullptr;
    Forwarder* forwarder = nullptr;
    /** Nothing where no idempotency keys are used. */
    ClaimClient* claims = nullptr;
    Metrics* metrics = nullptr;
    TargetCodec codec;
    LossListener onLoss;
    /** Names the life of this process, as entries know it. */
    std::function<int64_t()> life;
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
  int CallsInHand() const;

private:
  friend class GateCall;

  explicit Gate(Options aOptions);

  void Handle(const ExchangePointer& aExchange);
  std::string ReasonToRefuse(const std::string& aService) const;
  void Offer(const std::shared_ptr<GateCall>& aCall);
  void Withdraw(GateCall& aCall);
  void Release(GateCall& aCall, std::chrono::microseconds aHeldFor);
  void ReleaseUnused(GateCall& aCall);
  void PumpQueue();
  void TurnBackAllWaiting(const std::string& aReason);
  void ScheduleSweep();
  std::shared_ptr<GateCall> TakeWaitingLocked(uint64_t aCall);
  HopAnswer Load(const GateCall& aCall) const;
  std::optional<TargetState> TargetFor(const std::string& aService) const;
  void NoteConnecting(bool aConnected);
  void NoteOutcome(TargetTrust::Outcome aOutcome);
  bool IsDoubtful(const GateCall& aCall);

  Options m_options;
  mutable std::mutex m_mutex;
  TargetState m_target;
  TargetIntent m_intent = TargetIntent::Serving;
  bool m_draining = false;
  bool m_sweepScheduled = false;
  /** A target that takes no connections is left alone until then. */
  Deadline m_aloneUntil{};
  TargetTrust m_trust;
  Admission m_admission;
  std::map<uint64_t, std::shared_ptr<GateCall>> m_waiting;
  OnceCalls m_onceCalls;
  std::atomic<uint64_t> m_nextCall{ 0 };
  prometheus::Counter* m_admitted = nullptr;
  prometheus::Counter* m_refused = nullptr;
  prometheus::Histogram* m_slotTime = nullptr;
  std::unique_ptr<Workers> m_workers;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
