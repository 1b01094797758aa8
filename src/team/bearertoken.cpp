#include "team/bearertoken.h"

#include <algorithm>

namespace mimosarun {

static constexpr size_t kSchemeLength = 6;

static bool
IsAuthorization(const HttpHeader& aHeader)
{
  return SameHeaderName(aHeader.name, kAuthorizationHeader);
}

std::string
ReadBearerToken(const HttpHeaders& aHeaders)
{
  const auto header = std::find_if(aHeaders.begin(), aHeaders.end(), IsAuthorization);
  if (header == aHeaders.end() || std::count_if(aHeaders.begin(), aHeaders.end(), IsAuthorization) > 1) {
    return {};
  }
  const std::string& value = header->value;
  const bool isBearer = value.size() > kSchemeLength && value[kSchemeLength] == ' ' &&
                        SameHeaderName(value.substr(0, kSchemeLength), "Bearer");
  const size_t begin = isBearer ? value.find_first_not_of(' ', kSchemeLength) : std::string::npos;
  if (begin == std::string::npos) {
    return {};
  }
  return value.substr(begin, value.find_last_not_of(' ') + 1 - begin);
}

void
ReplaceCredential(HttpHeaders& aHeaders, const std::string& aTeamHeader, const std::string& aTeam)
{
  std::erase_if(aHeaders, [&](const HttpHeader& aHeader) {
    return IsAuthorization(aHeader) || SameHeaderName(aHeader.name, aTeamHeader);
  });
  if (!aTeam.empty()) {
    aHeaders.push_back({ .name = aTeamHeader, .value = aTeam });
  }
}

} // namespace mimosarun
