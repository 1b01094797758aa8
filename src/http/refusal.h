#pragma once

#include "http/message.h"

#include <chrono>
#include <optional>
#include <string>

namespace mimosarun {

/** Whether a rejected request ran. */
enum class CallOutcome
{
  /** The request was never sent to the target. */
  NotRun,
  /** The request may have been sent to the target. */
  Unknown,
};

/** A rejection by the mesh itself rather than by the target, as callers see it. */
struct RefusalDetails
{
  int status = 503;
  CallOutcome outcome = CallOutcome::NotRun;
  std::string reason;
  std::string callId;
  std::optional<std::chrono::milliseconds> retryAfter;
};

/** Returns the response that informs a caller of a refusal. */
HttpResponse
MakeRefusalResponse(const RefusalDetails& aRefusal);

} // namespace mimosarun
