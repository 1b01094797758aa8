#pragma once

#include "http/forwarder.h"
#include "load/latencies.h"
#include "load/workload.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace mimosarun {

/** Results of the calls of one kind in one phase. */
struct LoadTally
{
  uint64_t offered = 0;
  uint64_t complete = 0;
  uint64_t notRun = 0;
  uint64_t unknown = 0;
  /** Calls without a response, or with one that broke off. */
  uint64_t broken = 0;
  /** Responses to another call, or incomplete ones; must be zero. */
  uint64_t wrong = 0;
  /** Number of refusals by reason. */
  std::map<std::string, uint64_t> reasons;
  /** Latencies of complete responses, measured from the scheduled start of the call. */
  Latencies latencies;
};

/** Key of a row of a load report. */
struct TallyKey
{
  std::string phase;
  std::string kind;

  auto operator<=>(const TallyKey&) const = default;
};

using LoadReport = std::map<TallyKey, LoadTally>;

/**
 * Sends the calls of a workload in an open loop: calls start on schedule whether or not earlier ones have
 * ended, and a late start adds to the call's latency. Checks that each response has the token of its call.
 */
class LoadGenerator
{
public:
  LoadGenerator(Workload aWorkload, unsigned int aThreads);

  /** Runs all phases, waits for the last responses and returns the results. */
  LoadReport Run();

private:
  friend class LoadCall;

  void RunPhase(const LoadPhase& aPhase, Deadline aStart);
  void StartCall(const LoadPhase& aPhase, Deadline aDueAt);
  void UpdateTally(const TallyKey& aKey, const std::function<void(LoadTally&)>& aChange);

  Workload m_workload;
  std::mt19937_64 m_random;
  std::discrete_distribution<size_t> m_kindDistribution;
  std::string m_runId;
  uint64_t m_startedCalls = 0;
  std::atomic<uint64_t> m_openCalls{ 0 };
  std::mutex m_mutex;
  LoadReport m_report;
  EventLoops m_loops;
  Forwarder m_forwarder;
};

} // namespace mimosarun
