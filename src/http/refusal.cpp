#include "http/refusal.h"

#include "http/meshheaders.h"

#include <nlohmann/json.hpp>

namespace mimosarun {

HttpResponse
MakeRefusalResponse(const RefusalDetails& aRefusal)
{
  const char* outcome = aRefusal.outcome == CallOutcome::NotRun ? kOutcomeNotRun : kOutcomeUnknown;
  nlohmann::ordered_json body;
  body["outcome"] = outcome;
  body["reason"] = aRefusal.reason;
  body["call"] = aRefusal.callId;
  HttpResponse response{ .status = aRefusal.status,
                         .headers = { { .name = "Content-Type", .value = "application/json" },
                                      { .name = kOutcomeHeader, .value = outcome },
                                      { .name = kCallHeader, .value = aRefusal.callId } },
                         .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" };
  if (aRefusal.status == 401) {
    response.headers.push_back({ .name = kAuthenticateHeader, .value = kBearerScheme });
  }
  if (aRefusal.retryAfter) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*aRefusal.retryAfter);
    response.headers.push_back({ .name = kRetryAfterHeader, .value = std::to_string(seconds.count()) });
  }
  return response;
}

} // namespace mimosarun
