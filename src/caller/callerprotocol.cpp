#include "caller/callerprotocol.h"

#include "http/meshheaders.h"
#include "team/bearertoken.h"

#include <cstdlib>

namespace mimosarun {

RequestOptions
NativeCallerProtocol::ReadOptions(const HttpRequest& aRequest)
{
  RequestOptions options{ .credential = ReadBearerToken(aRequest.headers) };
  const std::string timeoutText = FindHeader(aRequest.headers, kTimeoutHeader);
  if (!timeoutText.empty()) {
    options.timeout = std::chrono::milliseconds(std::strtoll(timeoutText.c_str(), nullptr, 10));
  }
  return options;
}

void
NativeCallerProtocol::PrepareForTarget(HttpHeaders& /*aHeaders*/, const std::string& /*aService*/)
{
}

void
NativeCallerProtocol::SetTeam(HttpHeaders& aHeaders, const std::string& aTeam)
{
  ReplaceCredential(aHeaders, kTeamHeader, aTeam);
}

void
NativeCallerProtocol::FinishResponse(HttpResponseHead& aHead, const std::string& aCallId)
{
  SetHeader(aHead.headers, kCallHeader, aCallId);
  if (!HasHeader(aHead.headers, kOutcomeHeader)) {
    SetHeader(aHead.headers, kOutcomeHeader, kOutcomeComplete);
  }
}

HttpResponse
NativeCallerProtocol::Refuse(const RefusalDetails& aRefusal)
{
  return MakeRefusalResponse(aRefusal);
}

} // namespace mimosarun
