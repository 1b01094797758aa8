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

} // namespace mimosarun
