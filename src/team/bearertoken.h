#pragma once

#include "http/message.h"

#include <string>

namespace mimosarun {

/** Header that carries the key of a caller's team (RFC 6750, section 2.1). */
inline constexpr const char* kAuthorizationHeader = "Authorization";

/** Returns the key of a request, or an empty string if it has none or several. */
std::string
ReadBearerToken(const HttpHeaders& aHeaders);

/** Removes the keys of a request, and sets a header to the name of its team or removes it if that is empty.
 */
void
ReplaceCredential(HttpHeaders& aHeaders, const std::string& aTeamHeader, const std::string& aTeam);

} // namespace mimosarun
