#pragma once

#include "caller/stopreason.h"
#include "common/clock.h"

#include <array>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** One attempt of a call at a gate. */
struct AttemptRecord
{
  std::string node;
  std::string outcome;
  std::chrono::microseconds duration{ 0 };
};

/** Outcome of a call whose response is being streamed. */
inline constexpr const char* kStreamingOutcome = "streaming";

/** Result of a call, for the command 'explain call'. */
struct CallRecord
{
  std::string callId;
  std::string route;
  /** Name of the caller's team; empty if none was needed. */
  std::string team;
  int64_t version = 0;
  int status = 0;
  std::string outcome;
  std::string reason;
  /** Why the entry sent the call to no further gate. */
  StopReason stopReason = StopReason::None;
  /** Gates of the service that the call was never sent to. */
  size_t untriedGates = 0;
  /** Whether a record was added when the response began, which the final one replaces. */
  bool isStreamed = false;
  std::chrono::microseconds duration{ 0 };
  std::vector<AttemptRecord> attempts;
};

/** The latest calls of an entry. Thread-safe; sharded by call. */
class CallHistory
{
public:
  /** Adds a record; the final one of a streamed call replaces the one that was added at its beginning. */
  void Add(CallRecord aRecord);
  std::optional<CallRecord> Find(const std::string& aCallId) const;

private:
  struct Shard
  {
    mutable std::mutex mutex;
    std::deque<CallRecord> records;
  };

  /** Returns whether the shard had the record of the call's beginning. */
  static bool ReplaceStreaming(Shard& aShard, const CallRecord& aRecord);
  const Shard& ShardOf(const std::string& aCallId) const;

  std::array<Shard, 8> m_shards;
};

} // namespace mimosarun
