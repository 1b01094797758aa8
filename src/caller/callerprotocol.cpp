#include "caller/callerprotocol.h"

#include "http/meshheaders.h"

#include <cstdlib>

namespace mimosarun {

CallerWishes
NativeCallerProtocol::ReadWishes(const HttpRequest& aRequest)
{
  const std::string patience = FindHeader(aRequest.headers, kTimeoutHeader);
  if (patience.empty()) {
    return {};
  }
  return { .call = {}, .patience = std::chrono::milliseconds(std::strtoll(patience.c_str(), nullptr, 10)) };
}

void
NativeCallerProtocol::PrepareForTarget(HttpHeaders& /*aHeaders*/, const std::string& /*aService*/)
{
}

void
NativeCallerProtocol::FinishAnswer(HttpHead& aHead, const std::string& aCall)
{
  SetHeader(aHead.headers, kCallHeader, aCall);
  if (!HasHeader(aHead.headers, kOutcomeHeader)) {
    SetHeader(aHead.headers, kOutcomeHeader, kOutcomeComplete);
  }
}

HttpResponse
NativeCallerProtocol::Refuse(const Refused& aRefused)
{
  return MakeRefusal(aRefused);
}

} // namespace mimosarun
