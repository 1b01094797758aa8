#pragma once

#include "caller/balancer.h"
#include "caller/callerprotocol.h"
#include "caller/callhistory.h"
#include "caller/retrybudget.h"
#include "caller/sharesplitter.h"
#include "common/quantileestimate.h"
#include "common/ratelimit.h"
#include "configuration/snapshot.h"
#include "http/forwarder.h"
#include "http/server.h"
#include "node/directory.h"
#include "process/metrics.h"

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
    EventLoops* loops = nullptr;
    Forwarder* forwarder = nullptr;
    Metrics* metrics = nullptr;
    CallerCodec codec;
    Balancer::Options balancer;
    RetryBudget::Options retryBudget;
    /** Second attempts of short idempotent calls beside the first, for each call; zero means none. */
    double hedgesPerCall = 0;
  };

  static Result<std::unique_ptr<Entry>> Start(Options aOptions);
  ~Entry();

  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void SetSnapshot(SnapshotPointer aSnapshot);
  void SetDirectory(GateDirectoryPointer aDirectory);

  /** Sets the service of the target that runs beside this entry. */
  void SetLocalService(const std::string& aService);

  /** Sets how many nodes share the retry budget. */
  void SetNodeCount(size_t aNodes);

  /** Takes no new connections; calls on open ones are refused as not run. */
  void BeginDrain();

  /** Serves on, but closes each connection with its last answer. */
  void CloseAfterResponses();

  /** Calls that have no whole answer yet. */
  int OpenCalls() const;

  const CallHistory& History() const { return m_history; }

  /** Stops listening. */
  void Stop();

private:
  friend class EntryCall;
  friend class EntryAttempt;

  explicit Entry(Options aOptions);

  void Handle(const ExchangePointer& aExchange);
  void RefuseImmediately(const ExchangePointer& aExchange, const RefusalDetails& aRefused);
  /** When a second attempt of a short idempotent call is worth its cost; zero means never. */
  std::chrono::microseconds HedgeDelay(const Route& aRoute) const;
  void RecordCallTime(const Route& aRoute, std::chrono::microseconds aTime);
  /** The time that calls of a route usually take. */
  std::chrono::microseconds MedianCallTime(const Route& aRoute) const;
  /** How much of its caller's time a call has spent before it came here, for example on a refused attempt. */
  std::chrono::milliseconds EstimateTimeSpent(const Route& aRoute, std::chrono::milliseconds aPatience);
  bool TryAcquireLimit(const Configuration& aConfiguration, const std::string& aLimit);
  void ReleaseLimit(const std::string& aLimit);
  GateDirectoryPointer CurrentDirectory() const;
  /** Notes the bytes of a call and its answer. */
  void RecordCallSize(const Route& aRoute, size_t aBytes);
  /** The size that calls of a route usually have, with their answers and heads. */
  double MeanCallKilobytes(const Route& aRoute) const;

  /** What is known of the calls of a route. */
  struct RouteStats
  {
    QuantileEstimate medianTime{ 0.5 };
    QuantileEstimate p95Time{ 0.95 };
    std::chrono::milliseconds longestTimeout{ 0 };
    /** Share of the calls that come with about the longest patience, smoothed. */
    double fullTimeoutShare = 1;
    /** Mean bytes of a call and its answer, smoothed; zero before the first one. */
    double meanBytes = 0;
  };

  Options m_options;
  Balancer m_balancer;
  RetryBudget m_retryBudget;
  RetryBudget m_hedgeBudget;
  ShareSplitter m_splitter;
  CallHistory m_history;
  /** Bounds the log records of refused calls, which come in floods under overload. */
  RateLimit m_refusalLogLimit;
  mutable std::mutex m_mutex;
  SnapshotPointer m_snapshot;
  GateDirectoryPointer m_directory;
  std::string m_localService;
  bool m_draining = false;
  mutable std::mutex m_routeStatsMutex;
  std::map<std::string, RouteStats> m_routeStats;
  std::mutex m_limitMutex;
  std::map<std::string, int64_t> m_limitUsage;
  std::atomic<int> m_openCalls{ 0 };
  prometheus::Counter* m_completeCounter = nullptr;
  prometheus::Counter* m_notRunCounter = nullptr;
  prometheus::Counter* m_unknownCounter = nullptr;
  prometheus::Counter* m_retryCounter = nullptr;
  prometheus::Histogram* m_callTimeHistogram = nullptr;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
