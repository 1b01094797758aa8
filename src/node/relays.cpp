#include "node/relays.h"

#include <algorithm>
#include <functional>

namespace mimosarun {

static constexpr size_t kRelaysPerDomain = 2;

static size_t
RendezvousWeight(const std::string& aName, const std::string& aFailureDomain)
{
  return std::hash<std::string>{}(aFailureDomain + "/" + aName);
}

bool
IsRelay(const MemberTable& aTable, const std::string& aFailureDomain)
{
  const size_t ownWeight = RendezvousWeight(aTable.Self().name, aFailureDomain);
  size_t higherWeights = 0;
  for (const wire::Member& member : aTable.Reachable(aFailureDomain)) {
    if (member.state == wire::MemberState::Alive &&
        RendezvousWeight(member.name, aFailureDomain) > ownWeight) {
      ++higherWeights;
    }
  }
  return higherWeights < kRelaysPerDomain;
}

std::vector<wire::Member>
RelaysOf(const MemberTable& aTable, const std::string& aFailureDomain)
{
  std::vector<wire::Member> members = aTable.Reachable(aFailureDomain);
  std::erase_if(members,
                [](const wire::Member& aMember) { return aMember.state != wire::MemberState::Alive; });
  const size_t count = std::min(members.size(), kRelaysPerDomain);
  std::partial_sort(members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(count),
                    members.end(),
                    [&](const wire::Member& aLeft, const wire::Member& aRight) {
                      return RendezvousWeight(aLeft.name, aFailureDomain) >
                             RendezvousWeight(aRight.name, aFailureDomain);
                    });
  members.resize(count);
  return members;
}

} // namespace mimosarun
