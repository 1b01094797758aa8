#pragma once

#include "caller/loadestimate.h"
#include "configuration/configuration.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace mimosarun {

/** Load that a gate reported with a response. */
struct GateLoad
{
  int slotsInUse = 0;
  int slots = 1;
  int queueLength = 0;
  /** Time that another call would wait for a slot. */
  std::chrono::microseconds queueWait{ 0 };
  /** Added to the cost of the gate because its target fails calls. */
  std::chrono::microseconds failurePenalty{ 0 };
};

/** How an attempt ended, as far as that shows the state of the gate. */
enum class AttemptOutcome
{
  Answered,
  /** Rejected for lack of slots; the gate is healthy but full. */
  Rejected,
  /** The gate was unreachable, or the connection broke. */
  Failed,
  /** Cancelled by the entry. */
  Abandoned,
};

/** Result of a completed attempt. */
struct AttemptResult
{
  std::string node;
  std::string costGroup;
  CallClass callClass = CallClass::Short;
  AttemptOutcome outcome = AttemptOutcome::Answered;
  Deadline sentAt;
};

/** Copy of the statistics that a choice needs of one gate. */
struct GateView
{
  size_t openAttempts = 0;
  /** Median age of the open attempts; zero if there are too few. */
  std::chrono::microseconds medianOpenAge{ 0 };
  std::chrono::microseconds meanTime{ 0 };
  /** Mean time of the call's cost group; zero if no call of it has ended at the gate yet. */
  std::chrono::microseconds meanTimeOfCostGroup{ 0 };
  GateLoad load;
  Deadline loadReceivedAt{};
  /** Expected calls of other entries at the gate. */
  double otherCalls = 0;
  Deadline ejectedUntil{};
  /** Incarnation of the gate's process that was the last to say that it leaves. */
  std::optional<int64_t> leavingIncarnation;
};

/** What an entry knows of one gate from its own attempts there and their responses. Thread-safe. */
class GateStatistics
{
public:
  void RecordSent(CallClass aCallClass, Deadline aNow);
  void RecordResult(const AttemptResult& aResult, Deadline aNow);
  void RecordLoad(const GateLoad& aLoad, Deadline aNow);
  /** Records that an incarnation of the gate's process said that it leaves; returns whether that is new. */
  bool RecordLeaving(int64_t aIncarnation);
  GateView View(const std::string& aCostGroup, Deadline aNow) const;
  void RetireConnections();
  uint32_t ConnectionGeneration() const;

private:
  mutable std::mutex m_mutex;
  /** Send times of the open attempts of short calls. */
  std::multiset<Deadline> m_openAttempts;
  /** Smoothed mean times of all short calls, and of those of each cost group. */
  std::chrono::microseconds m_meanTime{ 0 };
  std::map<std::string, std::chrono::microseconds> m_meanTimeOfCostGroup;
  GateLoad m_load;
  /** When the gate last reported its load. */
  Deadline m_loadReceivedAt{};
  LoadEstimate m_otherCalls;
  int m_consecutiveFailures = 0;
  Deadline m_ejectedUntil{};
  std::optional<int64_t> m_leavingIncarnation;
  uint32_t m_connectionGeneration = 0;
};

using GateStatisticsPointer = std::shared_ptr<GateStatistics>;

/** The statistics of all gates by the names of their nodes. Thread-safe; sharded by gate. */
class GateStatisticsTable
{
public:
  GateStatisticsPointer Of(const std::string& aNode);

private:
  struct Shard
  {
    std::mutex mutex;
    std::unordered_map<std::string, GateStatisticsPointer> statistics;
  };

  std::array<Shard, 16> m_shards;
};

} // namespace mimosarun
