#pragma once

#include "caller/balancer.h"
#include "caller/callerprotocol.h"
#include "caller/calloptions.h"
#include "common/clock.h"
#include "http/forwarder.h"

#include <chrono>
#include <string>

namespace mimosarun {

/** Value in the request header that means any failure penalty. */
inline constexpr std::chrono::hours kUnlimitedPenalty{ 1 };

/** An attempt of a call, for the request that is sent to its gate. */
struct GateRequestParts
{
  const CallOptions& call;
  /** The request of the caller. */
  const HttpRequest& request;
  const std::string& service;
  const GateChoice& choice;
  /** Service of the target of the entry's own node. */
  std::string localService;
  /** Whether the gate may have received the call already. */
  bool isResent = false;
};

/** Returns the request that passes a call on to a gate, with its limits of time; the deadline isn't set. */
ForwardRequest
MakeGateRequest(const GateRequestParts& aParts, const CallerCodec& aCodec, Deadline aNow);

} // namespace mimosarun
