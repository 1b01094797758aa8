#pragma once

#include "common/timerqueue.h"
#include "common/workers.h"
#include "http/forwarder.h"
#include "http/server.h"
#include "platform/metrics.h"
#include "target/admission.h"
#include "target/claimclient.h"
#include "target/targetagent.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mimosarun {

class GateCall;

/**
 * The only sender of calls to the target of this node. It knows slots and queue exactly, refuses early what
 * can't be served in time, and claims the idempotency key of a call that may not be repeated.
 */
class Gate
{
public:
  struct Options
  {
    Address address;
    std::string node;
    Forwarder* forwarder = nullptr;
    ClaimClient* claims = nullptr;
    Metrics* metrics = nullptr;
  };

  static Result<std::unique_ptr<Gate>> Start(Options aOptions);
  ~Gate();

  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  /** Takes the state of the target as it announced it. */
  void SetTarget(const TargetState& aState);

  /** Takes what operators want of the target. */
  void SetIntent(TargetIntent aIntent);

  /** Takes no new calls from now on. */
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
  void PumpQueue();
  void ScheduleSweep();
  std::shared_ptr<GateCall> TakeWaitingLocked(uint64_t aCall);
  std::string LoadText() const;
  TargetState Target() const;

  Options m_options;
  mutable std::mutex m_mutex;
  TargetState m_target;
  TargetIntent m_intent = TargetIntent::Serving;
  bool m_draining = false;
  bool m_sweepScheduled = false;
  Admission m_admission;
  std::map<uint64_t, std::shared_ptr<GateCall>> m_waiting;
  std::atomic<uint64_t> m_nextCall{ 0 };
  prometheus::Counter* m_admitted = nullptr;
  prometheus::Counter* m_refused = nullptr;
  prometheus::Histogram* m_queueTime = nullptr;
  std::unique_ptr<Workers> m_workers;
  std::unique_ptr<TimerQueue> m_timers;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
