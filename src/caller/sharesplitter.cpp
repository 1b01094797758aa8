#include "caller/sharesplitter.h"

#include "common/random.h"

#include <algorithm>

namespace mimosarun {

/** Steps of the random initial credits, which make all nodes together keep to the weights from the start. */
static constexpr int64_t kInitialCreditSteps = 1000;

std::string
ShareSplitter::NextService(const Route& aRoute)
{
  if (aRoute.shares.size() == 1) {
    return aRoute.shares.front().service;
  }
  double totalWeight = 0;
  for (const RouteShare& share : aRoute.shares) {
    totalWeight += static_cast<double>(share.weight);
  }
  const std::lock_guard lock(m_mutex);
  std::vector<double>& credits = m_credits[aRoute.name];
  if (credits.size() != aRoute.shares.size()) {
    credits.assign(aRoute.shares.size(), 0);
    for (double& credit : credits) {
      credit = static_cast<double>(RandomBetween(0, kInitialCreditSteps)) / kInitialCreditSteps;
    }
  }
  for (size_t i = 0; i < credits.size(); ++i) {
    credits[i] += static_cast<double>(aRoute.shares[i].weight) / totalWeight;
  }
  size_t best = 0;
  for (size_t i = 0; i < credits.size(); ++i) {
    const bool hasWeight = aRoute.shares[i].weight > 0;
    if (hasWeight && (aRoute.shares[best].weight == 0 || credits[i] > credits[best])) {
      best = i;
    }
  }
  credits[best] -= 1;
  return aRoute.shares[best].service;
}

} // namespace mimosarun
