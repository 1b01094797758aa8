#pragma once

#include "caller/balancer.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** A service that a route sends requests to, with the gates that a call would choose from now. */
struct ExplainedService
{
  std::string service;
  int64_t weight = 0;
  size_t gates = 0;
  /** The gates that were considered; the first one is the choice. */
  std::vector<GateCost> considered;
};

/** Where a request would be sent now, and why. */
struct RouteExplanation
{
  int64_t version = 0;
  /** Name of the route that matches; empty if none does. */
  std::string route;
  /** Time until targets may run the request again, if it is quarantined. */
  std::optional<std::chrono::milliseconds> quarantinedFor;
  /** Longest time that the call would wait for a slot. */
  std::chrono::microseconds longestWait{ 0 };
  std::vector<ExplainedService> services;
};

} // namespace mimosarun
