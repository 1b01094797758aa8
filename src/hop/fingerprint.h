#pragma once

#include "http/message.h"

#include <string>

namespace mimosarun {

/**
 * Returns 32 hexadecimal digits that are the same whenever a request is repeated, at whichever entry and with
 * whichever call identifier: a hash of route, team, method, path with query, and body. Teams are told apart:
 * that a request runs to its end for one of them doesn't prove that it does so for another.
 *
 * @param aTeam team of the caller; empty where the configuration has none
 */
std::string
RequestFingerprint(const std::string& aRoute, const std::string& aTeam, const HttpRequest& aRequest);

} // namespace mimosarun
