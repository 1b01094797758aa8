#pragma once

#include "configuration/configuration.h"
#include "http/message.h"

#include <chrono>
#include <optional>
#include <string>

namespace mimosarun {

// What entry and gate tell each other travels in one short header each way, since these bytes cross domains.

/** What an entry tells the gate of a call. */
struct HopRequest
{
  std::string callId;
  std::string service;
  /** Names calls of like cost. */
  std::string route;
  RepeatPolicy repeatPolicy = RepeatPolicy::AtMostOnce;
  CallClass callClass = CallClass::Short;
  int64_t priority = 0;
  std::chrono::milliseconds expectedCost{ 0 };
  std::chrono::milliseconds timeLeft{ 0 };
  /** Time until the answer is late; negative where it is late already. */
  std::chrono::milliseconds timeToObjective{ 0 };
  /** Longest wait for a slot for which the call is to stay at this gate. */
  std::chrono::milliseconds longestWait{ 0 };
  /** What the failures of the target may cost the call for it to stay at this gate. */
  std::chrono::milliseconds maxFailurePenalty{ 0 };
  /** Whether the entry knows no better gate, so that doubts about the target are no reason to turn it back.
   */
  bool isLastResort = false;
  /** Set where the call was sent to this life of the gate before and its connection broke; else zero. */
  int64_t sentToIncarnation = 0;
  /** Region whose quorum holds the idempotency keys; keyed calls only. */
  std::string homeRegion;
};

/** What became of a call at a gate. */
enum class HopOutcome
{
  /** The answer is the target's own. */
  Answered,
  /** The target was never given the request; another gate may take it. */
  Rejected,
  /** The target was never given the request, and no other gate would take it either. */
  RejectedByAllGates,
  /** The target was given the request and says that it didn't run it. */
  NotRun,
  /** The target was given the request; whether it ran isn't known. */
  Unknown,
};

/** What a gate tells the entry with its answer. */
struct HopResponse
{
  HopOutcome outcome = HopOutcome::Answered;
  int slotsInUse = 0;
  int slots = 0;
  int queueLength = 0;
  /** Wait for a slot that another call would see now. */
  std::chrono::milliseconds queueWait{ 0 };
  /** What the target's recent failures cost a call, as time that it may rather wait elsewhere. */
  std::chrono::milliseconds failurePenalty{ 0 };
};

inline constexpr const char* kHopRequestHeader = "M-Q";
inline constexpr const char* kHopResponseHeader = "M-A";

/** Sets the header that carries a HopRequest. */
void
WriteHop(HttpHeaders& aHeaders, const HopRequest& aHop);

/** Reads and removes that header; nothing where it is missing or damaged. */
std::optional<HopRequest>
ExtractHopRequest(HttpHeaders& aHeaders);

/** Sets the header that carries a HopAnswer. */
void
WriteHop(HttpHeaders& aHeaders, const HopResponse& aHop);

/** Reads and removes that header; nothing where it is missing or damaged. */
std::optional<HopResponse>
ExtractHopResponse(HttpHeaders& aHeaders);

} // namespace mimosarun
