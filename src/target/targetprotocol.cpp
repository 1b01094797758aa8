#include "target/targetprotocol.h"

#include "http/meshheaders.h"

namespace mimosarun {

void
NativeTargetProtocol::Prepare(HttpHeaders& aHeaders, const TargetCall& aCall)
{
  SetHeader(aHeaders, kCallHeader, aCall.call);
  SetHeader(aHeaders, kTimeoutHeader, std::to_string(aCall.timeLeft.count()));
}

TargetVerdict
NativeTargetProtocol::Judge(const HttpHead& aHead, const TargetCall& aCall)
{
  const std::string call = FindHeader(aHead.headers, kCallHeader);
  if (!call.empty() && call != aCall.call) {
    return TargetVerdict::Foreign;
  }
  if (FindHeader(aHead.headers, kOutcomeHeader) == kOutcomeNotRun) {
    return TargetVerdict::NotRun;
  }
  const bool empty = aHead.status == 204 || aHead.status == 304 || aHead.length == 0;
  const bool framed = aHead.length || HasHeader(aHead.headers, "Transfer-Encoding");
  return empty || framed ? TargetVerdict::Answer : TargetVerdict::Damaged;
}

} // namespace mimosarun
