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
  const std::string callId = FindHeader(aHead.headers, kCallHeader);
  if (!callId.empty() && callId != aCall.callId) {
    return TargetResponseKind::OtherCall;
  }
  if (FindHeader(aHead.headers, kOutcomeHeader) == kOutcomeNotRun) {
    return TargetResponseKind::NotRun;
  }
  const bool isEmpty = aHead.status == 204 || aHead.status == 304 || aHead.contentLength == 0;
  const bool hasFraming = aHead.contentLength || HasHeader(aHead.headers, "Transfer-Encoding");
  return isEmpty || hasFraming ? TargetResponseKind::Usable : TargetResponseKind::Unusable;
}

} // namespace mimosarun
