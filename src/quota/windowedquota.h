#pragma once

#include "configuration/configuration.h"
#include "settings/meshlimits.h"

#include <map>
#include <string>

namespace mimosarun {

/**
 * Returns teams with the rate and burst of the token buckets that hold their quotas. A quota allows rate x
 * window + burst requests in each window. A bucket with the quota's own rate and burst would allow the burst
 * only once and refuse a lasting demand that every window allows, so most of the burst becomes rate.
 */
std::map<std::string, Team>
WindowedQuotas(std::map<std::string, Team> aTeams, const QuotaTolerance& aTolerance);

} // namespace mimosarun
