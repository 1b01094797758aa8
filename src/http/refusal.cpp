#include "http/refusal.h"

#include "http/meshheaders.h"

#include <nlohmann/json.hpp>

namespace mimosarun {

HttpResponse
MakeRefusalResponse(const RefusalDetails& aRefused)
{
  const char* outcome = aRefused.outcome == CallOutcome::NotRun ? kOutcomeNotRun : kOutcomeUnknown;
  nlohmann::ordered_json body;
  body["outcome"] = outcome;
  body["reason"] = aRefused.reason;
  body["call"] = aRefused.call;
  HttpResponse response{ .status = aRefused.status,
                         .headers = { { .name = "Content-Type", .value = "application/json" },
                                      { .name = kOutcomeHeader, .value = outcome },
                                      { .name = kCallHeader, .value = aRefused.call } },
                         .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" };
  if (aRefused.retryAfter) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aRefused.retryAfter);
    response.headers.push_back({ .name = kRetryAfterHeader, .value = std::to_string(seconds.count()) });
  }
  return response;
}

} // namespace mimosarun
