#include "node/relays.h"

#include <algorithm>
#include <functional>

namespace mimosarun {

static constexpr size_t kRelaysInDomain = 2;

static size_t
Weight(const std::string& aName, const std::string& aFailureDomain)
{
  return std::hash<std::string>{}(aFailureDomain + "/" + aName);
}

bool
IsRelay(const MemberTable& aTable, const std::string& aFailureDomain)
{
  const size_t own = Weight(aTable.Self().name, aFailureDomain);
  size_t heavier = 0;
  for (const wire::Member& member : aTable.Reachable(aFailureDomain)) {
    if (member.state == wire::MemberState::Alive && Weight(member.name, aFailureDomain) > own) {
      ++heavier;
    }
  }
  return heavier < kRelaysInDomain;
}

std::vector<wire::Member>
RelaysOf(const MemberTable& aTable, const std::string& aFailureDomain)
{
  std::vector<wire::Member> members = aTable.Reachable(aFailureDomain);
  std::erase_if(members,
                [](const wire::Member& aMember) { return aMember.state != wire::MemberState::Alive; });
  const size_t count = std::min(members.size(), kRelaysInDomain);
  std::partial_sort(members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(count),
                    members.end(),
                    [&](const wire::Member& aLeft, const wire::Member& aRight) {
                      return Weight(aLeft.name, aFailureDomain) > Weight(aRight.name, aFailureDomain);
                    });
  members.resize(count);
  return members;
}

} // namespace mimosarun
