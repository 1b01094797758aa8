#include "caller/callerprotocol.h"

#include "http/meshheaders.h"

#include <cstdlib>

namespace mimosarun {

RequestOptions
NativeCallerProtocol::ReadOptions(const HttpRequest& aRequest)
{
  const std::string patience = FindHeader(aRequest.headers, kTimeoutHeader);
  if (patience.empty()) {
    return {};
  }
  return { .callId = {}, .timeout = std::chrono::milliseconds(std::strtoll(patience.c_str(), nullptr, 10)) };
}

void
NativeCallerProtocol::PrepareForTarget(HttpHeaders& /*aHeaders*/, const std::string& /*aService*/)
{
}

void
NativeCallerProtocol::FinishResponse(HttpResponseHead& aHead, const std::string& aCall)
{
  SetHeader(aHead.headers, kCallHeader, aCall);
  if (!HasHeader(aHead.headers, kOutcomeHeader)) {
    SetHeader(aHead.headers, kOutcomeHeader, kOutcomeComplete);
  }
}

HttpResponse
NativeCallerProtocol::Refuse(const RefusalDetails& aRefused)
{
  return MakeRefusalResponse(aRefused);
}

} // namespace mimosarun
