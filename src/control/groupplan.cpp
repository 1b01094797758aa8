#include "control/groupplan.h"

#include <algorithm>
#include <set>

namespace mimosarun {

static constexpr size_t kClaimGroupSize = 5;

std::string
ClaimGroupName(const std::string& aRegion)
{
  return "claims-" + aRegion;
}

static GroupPlan
PlanClaimGroup(const std::vector<ReplicaSettings>& aReplicas, const std::string& aRegion)
{
  GroupPlan plan{ .name = ClaimGroupName(aRegion), .members = {}, .preferredRegion = aRegion };
  std::copy_if(aReplicas.begin(),
               aReplicas.end(),
               std::back_inserter(plan.members),
               [&](const auto& aReplica) { return aReplica.region == aRegion; });
  const size_t size = std::min(kClaimGroupSize, aReplicas.size());
  for (const ReplicaSettings& replica : aReplicas) {
    if (plan.members.size() < size && replica.region != aRegion) {
      plan.members.push_back(replica);
    }
  }
  // An even number of voters needs one more vote for a quorum and tolerates no more failures.
  if (plan.members.size() % 2 == 0 && plan.members.back().region != aRegion) {
    plan.members.pop_back();
  }
  return plan;
}

std::vector<GroupPlan>
PlanGroups(const std::vector<ReplicaSettings>& aReplicas)
{
  std::vector<GroupPlan> plans;
  plans.push_back({ .name = kConfigurationGroup, .members = aReplicas, .preferredRegion = "" });
  std::set<std::string> regions;
  for (const ReplicaSettings& replica : aReplicas) {
    regions.insert(replica.region);
  }
  for (const std::string& region : regions) {
    plans.push_back(PlanClaimGroup(aReplicas, region));
  }
  return plans;
}

} // namespace mimosarun
