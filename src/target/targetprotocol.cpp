#include "target/targetprotocol.h"

#include "http/meshheaders.h"

#include <cmath>
#include <cstdlib>

namespace mimosarun {

std::optional<double>
ParseRate(const std::string& aText)
{
  char* end = nullptr;
  const double rate = std::strtod(aText.c_str(), &end);
  const bool isNumber = !aText.empty() && *end == '\0' && std::isfinite(rate) && rate >= 0;
  return isNumber ? std::optional(rate) : std::nullopt;
}

void
NativeTargetProtocol::Prepare(HttpHeaders& aHeaders, const TargetCall& aCall)
{
  SetHeader(aHeaders, kCallHeader, aCall.callId);
  SetHeader(aHeaders, kTimeoutHeader, std::to_string(aCall.timeLeft.count()));
}

TargetResponseKind
NativeTargetProtocol::ClassifyResponse(const HttpResponseHead& aHead, const TargetCall& aCall)
{
  const std::string callId = FindHeader(aHead.headers, kCallHeader);
  if (!callId.empty() && callId != aCall.callId) {
    return TargetResponseKind::OtherCall;
  }
  if (FindHeader(aHead.headers, kOutcomeHeader) == kOutcomeNotRun) {
    // Without the identifier it may be a late copy of the response to an earlier call on the connection.
    return callId.empty() ? TargetResponseKind::Unusable : TargetResponseKind::NotRun;
  }
  const bool isEmpty = aHead.status == 204 || aHead.status == 304 || aHead.contentLength == 0;
  const bool hasFraming = aHead.contentLength || HasHeader(aHead.headers, "Transfer-Encoding");
  return isEmpty || hasFraming ? TargetResponseKind::Usable : TargetResponseKind::Unusable;
}

TargetNotice
NativeTargetProtocol::ReadNotice(const HttpResponseHead& aHead)
{
  return { .requestsPerSecond = ParseRate(FindHeader(aHead.headers, kTargetLimitHeader)),
           .isLeaving = FindHeader(aHead.headers, kTargetStateHeader) == kTargetStateDraining };
}

} // namespace mimosarun
