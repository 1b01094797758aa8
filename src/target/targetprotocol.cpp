#include "target/targetprotocol.h"

#include "http/meshheaders.h"

namespace mimosarun {

void
NativeTargetProtocol::Prepare(HttpHeaders& aHeaders, const TargetCall& aCall)
{
  SetHeader(aHeaders, kCallHeader, aCall.callId);
  SetHeader(aHeaders, kTimeoutHeader, std::to_string(aCall.timeLeft.count()));
}

TargetResponseKind
NativeTargetProtocol::ClassifyResponse(const HttpResponseHead& aHead, const TargetCall& aCall)
{
  const std::string call = FindHeader(aHead.headers, kCallHeader);
  if (!call.empty() && call != aCall.callId) {
    return TargetResponseKind::OtherCall;
  }
  if (FindHeader(aHead.headers, kOutcomeHeader) == kOutcomeNotRun) {
    return TargetResponseKind::NotRun;
  }
  const bool empty = aHead.status == 204 || aHead.status == 304 || aHead.contentLength == 0;
  const bool framed = aHead.contentLength || HasHeader(aHead.headers, "Transfer-Encoding");
  return empty || framed ? TargetResponseKind::Usable : TargetResponseKind::Unusable;
}

} // namespace mimosarun
