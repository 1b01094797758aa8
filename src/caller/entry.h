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
    RetryBudget::Options retries;
    /** Second attempts of short idempotent calls beside the first, for each call; zero means none. */
    double hedges = 0;
  };

  static Result<std::unique_ptr<Entry>> Start(Options aOptions);
  ~Entry();

  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void SetSnapshot(SnapshotPointer aSnapshot);
  void SetDirectory(DirectoryPointer aDirectory);

  /** Sets the service of the target that runs beside this entry. */
  void SetOwnService(const std::string& aService);

  /** Sets how many nodes share the retry budget. */
  void SetNodes(size_t aNodes);

  /** Takes no new connections; calls on open ones are refused as not run. */
  void BeginDrain();

  /** Serves on, but closes each connection with its last answer. */
  void CloseAfterAnswers();

  /** Calls that have no whole answer yet. */
  int CallsInHand() const;

  const CallHistory& History() const { return m_history; }

  /** Stops listening. */
  void Stop();

private:
  friend class EntryCall;
  friend class EntryAttempt;

  explicit Entry(Options aOptions);

  void Handle(const ExchangePointer& aExchange);
  void RefuseAtOnce(const ExchangePointer& aExchange, const Refused& aRefused);
  /** When a second attempt of a short idempotent call is worth its cost; zero means never. */
  std::chrono::microseconds HedgeDelay(const Route& aRoute) const;
  void NoteTime(const Route& aRoute, std::chrono::microseconds aTime);
  /** The time that calls of a route usually take. */
  std::chrono::microseconds UsualTime(const Route& aRoute) const;
  /** How much of its caller's time a call has spent before it came here, for example on a refused attempt. */
  std::chrono::milliseconds TimeSpent(const Route& aRoute, std::chrono::milliseconds aPatience);
  bool TakeLimit(const Configuration& aConfiguration, const std::string& aLimit);
  void GiveLimitBack(const std::string& aLimit);
  DirectoryPointer Gates() const;
  /** Notes the bytes of a call and its answer. */
  void NoteSize(const Route& aRoute, size_t aBytes);
  /** The size that calls of a route usually have, with their answers and heads. */
  double UsualKilobytes(const Route& aRoute) const;

  /** What is known of the calls of a route. */
  struct RouteTimes
  {
    QuantileEstimate usual{ 0.5 };
    QuantileEstimate slow{ 0.95 };
    std::chrono::milliseconds longestPatience{ 0 };
    /** Share of the calls that come with about the longest patience, smoothed. */
    double fullPatienceShare = 1;
    /** Mean bytes of a call and its answer, smoothed; zero before the first one. */
    double bytes = 0;
  };

  Options m_options;
  Balancer m_balancer;
  RetryBudget m_budget;
  RetryBudget m_hedgeBudget;
  ShareSplitter m_splitter;
  CallHistory m_history;
  /** Bounds the log records of refused calls, which come in floods under overload. */
  RateLimit m_refusalLog;
  mutable std::mutex m_mutex;
  SnapshotPointer m_snapshot;
  DirectoryPointer m_directory;
  std::string m_ownService;
  bool m_draining = false;
  mutable std::mutex m_timesMutex;
  std::map<std::string, RouteTimes> m_times;
  std::mutex m_limitMutex;
  std::map<std::string, int64_t> m_limitInUse;
  std::atomic<int> m_calls{ 0 };
  prometheus::Counter* m_complete = nullptr;
  prometheus::Counter* m_notRun = nullptr;
  prometheus::Counter* m_unknown = nullptr;
  prometheus::Counter* m_retries = nullptr;
  prometheus::Histogram* m_time = nullptr;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
