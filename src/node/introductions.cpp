#include "node/introductions.h"

#include <map>

namespace mimosarun {

/** Groups of up to this many replicas get an introduction at each replica. */
static constexpr size_t kSmallGroup = 7;
static constexpr size_t kTargetsInOwnDomain = 3;
static constexpr size_t kOtherTargetsPerRegion = 2;

std::vector<ReplicaSettings>
IntroductionTargets(const std::vector<ReplicaSettings>& aReplicas, const std::string& aFailureDomain)
{
  if (aReplicas.size() <= kSmallGroup) {
    return aReplicas;
  }
  size_t inOwnDomain = 0;
  std::map<std::string, size_t> othersInRegion;
  std::vector<ReplicaSettings> targets;
  for (const ReplicaSettings& replica : aReplicas) {
    const bool isInOwnDomain = replica.failureDomain == aFailureDomain;
    size_t& chosen = isInOwnDomain ? inOwnDomain : othersInRegion[replica.region];
    if (chosen < (isInOwnDomain ? kTargetsInOwnDomain : kOtherTargetsPerRegion)) {
      ++chosen;
      targets.push_back(replica);
    }
  }
  return targets;
}

} // namespace mimosarun
