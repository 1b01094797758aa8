#pragma once

#include "caller/balancer.h"
#include "caller/callerprotocol.h"
#include "caller/callrecorder.h"
#include "caller/callwait.h"
#include "caller/choicemetrics.h"
#include "caller/retrybudget.h"
#include "caller/routeexplanation.h"
#include "caller/sharesplitter.h"
#include "common/drainschedule.h"
#include "common/quantileestimate.h"
#include "configuration/snapshot.h"
#include "http/forwarder.h"
#include "http/server.h"
#include "node/directory.h"
#include "process/metrics.h"
#include "quarantine/quarantine.h"
#include "quota/quotapool.h"
#include "rollout/versionsplitter.h"
#include "team/credentialgate.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace mimosarun {

class EntryCall;
struct EntryCallRegistry;

/**
 * The caller side of a node: matches each request to a route, forwards it to a gate, and returns the complete
 * response or a refusal that states correctly whether the request may have run.
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
    /** Null where no requests are quarantined. */
    const Quarantine* quarantine = nullptr;
    /** Null where teams have no quotas. */
    QuotaPool* quota = nullptr;
    /** Null where keys are honoured without a lease. */
    const CredentialLease* lease = nullptr;
    /** Hedged attempts allowed per call, for short idempotent calls; zero disables hedging. */
    double hedgesPerCall = 0;
  };

  static Result<std::unique_ptr<Entry>> Start(Options aOptions);
  ~Entry();

  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void SetSnapshot(SnapshotPointer aSnapshot);
  void SetDirectory(GateDirectoryPointer aDirectory);

  /** Sets the service of the target of this node. */
  void SetLocalService(const std::string& aService);

  /** Sets the number of nodes that share the base retries of the retry budget. */
  void SetNodeCount(size_t aCount);

  /** From now on, refuses calls that the schedule doesn't accept as not run. */
  void BeginDrain(const DrainSchedule& aSchedule);

  /** From now on, closes each connection after its last response, so that callers use other entries. */
  void CloseAfterResponses();

  /** Accepts no further connections; those that are established are served. */
  void StopListening();

  /** Refuses the calls to which no gate has begun to respond; their outcome is unknown if they were sent. */
  void RefuseUnansweredCalls();

  /** Refuses all calls without a response that is being sent; their outcome is unknown if they were sent. */
  void RefuseOpenCalls();

  /** Returns the number of calls without a complete response. */
  int OpenCalls() const;

  /** Returns whether callers have all bytes of all responses. */
  bool HasDelivered() const { return m_server->HasDelivered(); }

  /** Returns the responses of which callers lack bytes. */
  std::vector<UndeliveredResponse> UndeliveredResponses() const { return m_server->UndeliveredResponses(); }

  /** Updates the metrics that are computed when they are read. */
  void RefreshMetrics();

  /** Explains where a request without a body would be sent now, by the decisions of calls, without sending
   * it. */
  RouteExplanation ExplainRoute(const std::string& aHost, const HttpRequest& aRequest, Deadline aNow);

  const CallHistory& History() const { return m_recorder.History(); }

  /** Stops listening. */
  void Stop();

private:
  friend class CallResponse;
  friend class EntryCall;
  friend class EntryAttempt;
  friend class GateSelector;

  explicit Entry(Options aOptions);

  /** What a request is checked against. */
  struct State
  {
    SnapshotPointer snapshot;
    /** Set once the node is stopping. */
    std::optional<DrainSchedule> drainSchedule;
  };

  /** A request that matches a route and whose credential is accepted. */
  struct AcceptedRequest
  {
    const ExchangePointer& exchange;
    const RequestOptions& options;
    const State& state;
    /** Owned by the snapshot of the state. */
    const Route& route;
    /** Null on public routes and where there are no teams. */
    const Team* team = nullptr;
  };

  void Handle(const ExchangePointer& aExchange);
  /** Runs a function with each open call, on the loop of the call. */
  void ForEachOpenCall(const std::function<void(EntryCall&)>& aFunction);
  /** Returns why a request can't run at present, or acquires the limit of its route. */
  std::optional<RefusalDetails> Admit(const AcceptedRequest& aRequest);
  /** Returns how long the caller of a request waits for its response. */
  static std::chrono::milliseconds TimeoutOf(const AcceptedRequest& aRequest);
  /** Returns the deadline of the call that a request asks for. */
  static Deadline DeadlineOf(const AcceptedRequest& aRequest);
  std::optional<RefusalDetails> RefuseWhileStopping(const AcceptedRequest& aRequest) const;
  std::optional<RefusalDetails> RefuseQuarantined(const AcceptedRequest& aRequest);
  void StartCall(const AcceptedRequest& aRequest);
  /** Returns until when no target may run a request of a team, if it is quarantined. */
  std::optional<Deadline> QuarantinedUntil(const Route& aRoute,
                                           const std::string& aTeam,
                                           const HttpRequest& aRequest,
                                           Deadline aNow) const;
  /** Returns the nodes whose targets may not run a request of a team, though others may. */
  std::set<std::string> ExcludedNodes(const Route& aRoute,
                                      const std::string& aTeam,
                                      const HttpRequest& aRequest,
                                      Deadline aNow) const;
  void RefuseImmediately(const ExchangePointer& aExchange, const RefusalDetails& aRefusal);
  /** Refuses a request after the check of its key and records why. */
  void RefuseCredential(const ExchangePointer& aExchange,
                        CredentialVerdict aVerdict,
                        const Snapshot& aSnapshot,
                        const Route& aRoute,
                        const std::string& aCallId);
  /** Returns the delay after which a short idempotent call may be hedged; zero means never. */
  std::chrono::microseconds HedgeDelay(const Route& aRoute) const;
  void RecordCallTime(const Route& aRoute, std::chrono::microseconds aTime);
  /** Returns the time within which nearly all calls of a route end, or the configured cost if unknown. */
  std::chrono::microseconds P95CallTime(const Route& aRoute) const;
  /** Returns the median time of a route's calls, or the configured cost before the first one. */
  std::chrono::microseconds MedianCallTime(const Route& aRoute) const;
  /**
   * Estimates how long the caller has waited already, for example at an entry that refused the call: the
   * difference between the longest timeout of the route's calls and this one's. Returns zero on routes whose
   * timeouts vary.
   */
  std::chrono::milliseconds EstimateTimeSpent(const Route& aRoute, std::chrono::milliseconds aTimeout);
  bool TryAcquireLimit(const Configuration& aConfiguration, const std::string& aLimit);
  void ReleaseLimit(const std::string& aLimit);
  State CurrentState() const;
  GateDirectoryPointer CurrentDirectory() const;
  /** Returns the service of the target of this node; empty if there is none. */
  std::string LocalService() const;
  CallRequirements RequirementsOf(const Route& aRoute, const CallTimes& aTimes, Deadline aNow) const;
  /** Records the body bytes of a request and its response. */
  void RecordCallSize(const Route& aRoute, size_t aBytes);
  /** Returns the mean size of a route's requests and responses together, including headers. */
  double MeanCallKilobytes(const Route& aRoute) const;

  /** Statistics of the calls of a route. */
  struct RouteStats
  {
    QuantileEstimate medianTime{ 0.5 };
    QuantileEstimate p95Time{ 0.95 };
    std::chrono::milliseconds longestTimeout{ 0 };
    /** Smoothed share of the calls whose timeout is about the longest one. */
    double fullTimeoutShare = 1;
    /** Smoothed mean of the body bytes of a request and its response; zero before the first call. */
    double meanBytes = 0;
  };

  Options m_options;
  Balancer m_balancer;
  ChoiceMetrics m_choiceMetrics;
  RetryBudget m_retryBudget;
  RetryBudget m_hedgeBudget;
  ShareSplitter m_splitter;
  VersionSplitter m_versionSplitter;
  CallRecorder m_recorder;
  CredentialGate m_credentials;
  mutable std::mutex m_mutex;
  SnapshotPointer m_snapshot;
  GateDirectoryPointer m_directory;
  std::string m_localService;
  /** Set once the node is stopping. */
  std::optional<DrainSchedule> m_drainSchedule;
  mutable std::mutex m_routeStatsMutex;
  std::map<std::string, RouteStats> m_routeStats;
  std::mutex m_limitMutex;
  std::map<std::string, int64_t> m_limitUsage;
  std::atomic<int> m_openCalls{ 0 };
  std::shared_ptr<EntryCallRegistry> m_calls;
  prometheus::Counter* m_retryCounter = nullptr;
  prometheus::Counter* m_quarantinedCounter = nullptr;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
