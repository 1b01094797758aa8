#pragma once

#include "configuration/configuration.h"
#include "http/message.h"

#include <chrono>
#include <optional>
#include <string>

namespace mimosarun {

// Entry and gate exchange their data in one short header each way, since these bytes cross failure domains.

/** Data of a call that an entry sends to the gate. */
struct HopRequest
{
  std::string callId;
  std::string service;
  /** Name of the route, which is also the call's cost group. */
  std::string route;
  RepeatPolicy repeatPolicy = RepeatPolicy::AtMostOnce;
  CallClass callClass = CallClass::Short;
  int64_t priority = 0;
  std::chrono::milliseconds expectedCost{ 0 };
  std::chrono::milliseconds timeLeft{ 0 };
  /** Time until the latency objective is missed; negative if it is missed already. */
  std::chrono::milliseconds timeToObjective{ 0 };
  /** Longest wait for a slot that the call accepts at this gate. */
  std::chrono::milliseconds longestWait{ 0 };
  /** Highest failure penalty of the target that the call accepts. */
  std::chrono::milliseconds maxFailurePenalty{ 0 };
  /** Whether the entry has no better gate, so that the target's failures are no reason to reject the call. */
  bool isLastResort = false;
  /** Incarnation of the gate that may have received the call already; zero if the call isn't resent. */
  int64_t sentToIncarnation = 0;
  /** Region whose quorum holds the idempotency keys; only set for keyed calls. */
  std::string homeRegion;
  /** Team of the caller; empty where the configuration has none. */
  std::string team;
  /** Rank of the team; zero is the most urgent. */
  int64_t teamPriority = 0;
  /** Requests per second of the team's quota, its weight where slots are short; zero if it has none. */
  double teamRate = 0;
};

/** How a call ended at a gate. */
enum class HopOutcome
{
  /** The response is the target's own. */
  Answered,
  /** The request was not passed to the target; another gate may accept it. */
  Rejected,
  /** The request was not passed to the target, and no other gate would accept it either. */
  RejectedFinally,
  /** The request was passed to the target, which reported that it didn't run it. */
  NotRun,
  /** The request was passed to the target; whether it ran is unknown. */
  Unknown,
};

/** Data that a gate sends to the entry with its response. */
struct HopResponse
{
  HopOutcome outcome = HopOutcome::Answered;
  int slotsInUse = 0;
  int slots = 0;
  int queueLength = 0;
  /** Time that another call would wait for a slot now. */
  std::chrono::milliseconds queueWait{ 0 };
  /** Cost of the target's recent failures, as the extra time that a call may wait at another gate instead. */
  std::chrono::milliseconds failurePenalty{ 0 };
  /** Whether the node of the gate is leaving, and further calls should be sent to others. */
  bool isLeaving = false;
};

inline constexpr const char* kHopRequestHeader = "M-Q";
inline constexpr const char* kHopResponseHeader = "M-A";

/** Sets the header that carries a HopRequest. */
void
WriteHop(HttpHeaders& aHeaders, const HopRequest& aHop);

/** Removes that header and returns its data, or nothing if it is missing or malformed. */
std::optional<HopRequest>
ExtractHopRequest(HttpHeaders& aHeaders);

/** Sets the header that carries a HopAnswer. */
void
WriteHop(HttpHeaders& aHeaders, const HopResponse& aHop);

/** Removes that header and returns its data, or nothing if it is missing or malformed. */
std::optional<HopResponse>
ExtractHopResponse(HttpHeaders& aHeaders);

} // namespace mimosarun
