#pragma once

#include "configuration/configuration.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mimosarun {

/**
 * Distributes the requests of each route among its services by weighted round robin, so that a node with few
 * requests keeps to the weights too. Thread-safe.
 */
class ShareSplitter
{
public:
  /** Returns the service for the next request of a route. */
  std::string NextService(const Route& aRoute);

private:
  std::mutex m_mutex;
  /** Credit of each share of a route, in the order of the shares; the highest one is next. */
  std::map<std::string, std::vector<double>> m_credits;
};

} // namespace mimosarun
