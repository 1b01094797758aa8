#pragma once

#include "http/message.h"

#include <string>

namespace mimosarun {

/**
 * Returns 32 hexadecimal digits that are the same whenever a request is repeated, at whichever entry and with
 * whichever call identifier: a hash of route, method, path with query, and body. Callers aren't told apart,
 * as a request that ends a target does so for each of them.
 */
std::string
RequestFingerprint(const std::string& aRoute, const HttpRequest& aRequest);

} // namespace mimosarun
