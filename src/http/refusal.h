#pragma once

#include "http/message.h"

#include <chrono>
#include <optional>
#include <string>

namespace mimosarun {

/** Whether a refused request ran. */
enum class CallOutcome
{
  /** The target was never given the request. */
  NotRun,
  /** The target may have been given the request. */
  Unknown,
};

/** A refusal of the system itself, as callers see it. */
struct RefusalDetails
{
  int status = 503;
  CallOutcome outcome = CallOutcome::NotRun;
  std::string reason;
  std::string call;
  std::optional<std::chrono::milliseconds> retryAfter;
};

/** The answer that tells a caller of a refusal. */
HttpResponse
MakeRefusalResponse(const RefusalDetails& aRefused);

} // namespace mimosarun
