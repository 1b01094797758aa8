#pragma once

#include "caller/balancer.h"
#include "caller/callhistory.h"
#include "caller/retrybudget.h"
#include "common/quantileestimate.h"
#include "common/ratelimit.h"
#include "common/timerqueue.h"
#include "configuration/snapshot.h"
#include "http/forwarder.h"
#include "http/server.h"
#include "node/directory.h"
#include "platform/metrics.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mimosarun {

class EntryCall;

/** Where callers meet the system: matches a route, chooses a gate, and answers whole or refuses truthfully.
 */
class Entry
{
public:
  struct Options
  {
    Address address;
    std::string node;
    Forwarder* forwarder = nullptr;
    Metrics* metrics = nullptr;
    BalancePolicy policy = BalancePolicy::ExpectedTime;
  };

  static Result<std::unique_ptr<Entry>> Start(Options aOptions);
  ~Entry();

  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void SetSnapshot(SnapshotPointer aSnapshot);
  void SetDirectory(DirectoryPointer aDirectory);

  /** Takes no new connections; calls on open ones are refused as not run. */
  void BeginDrain();

  /** Calls that have no whole answer yet. */
  int CallsInHand() const;

  const CallHistory& History() const { return m_history; }

  /** Stops listening and all own threads. */
  void Stop();

private:
  friend class EntryCall;

  explicit Entry(Options aOptions);

  void Handle(const ExchangePointer& aExchange);
  void RefuseAtOnce(const ExchangePointer& aExchange,
                    const std::string& aCall,
                    int aStatus,
                    const std::string& aReason);
  /** When a second attempt of a short idempotent call is worth its cost; zero means never. */
  std::chrono::microseconds HedgeDelay(const Route& aRoute) const;
  void NoteTime(const Route& aRoute, std::chrono::microseconds aTime);
  bool TakeLimit(const Configuration& aConfiguration, const std::string& aLimit);
  void GiveLimitBack(const std::string& aLimit);
  std::vector<GateInfo> GatesOf(const std::string& aService) const;

  Options m_options;
  Balancer m_balancer;
  RetryBudget m_budget;
  RetryBudget m_hedgeBudget;
  CallHistory m_history;
  /** Bounds the log records of refused calls, which come in floods under overload. */
  RateLimit m_refusalLog;
  mutable std::mutex m_mutex;
  SnapshotPointer m_snapshot;
  DirectoryPointer m_directory;
  bool m_draining = false;
  mutable std::mutex m_timesMutex;
  /** Slow but usual times of short calls, by service. */
  std::map<std::string, QuantileEstimate> m_usualTimes;
  std::mutex m_limitMutex;
  std::map<std::string, int64_t> m_limitInUse;
  std::atomic<int> m_calls{ 0 };
  prometheus::Counter* m_complete = nullptr;
  prometheus::Counter* m_notRun = nullptr;
  prometheus::Counter* m_unknown = nullptr;
  prometheus::Counter* m_retries = nullptr;
  prometheus::Histogram* m_time = nullptr;
  std::unique_ptr<TimerQueue> m_timers;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
