#include "control/membership.h"

#include "control/group.h"

#include <algorithm>

namespace mimosarun {

std::vector<wire::Replica>
MembersWithLearner(std::vector<wire::Replica> aMembers, wire::Replica aReplica)
{
  std::vector<wire::Replica> members = MembersWithout(std::move(aMembers), aReplica.name);
  aReplica.voter = false;
  members.push_back(std::move(aReplica));
  std::sort(members.begin(), members.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.name < aRight.name;
  });
  return members;
}

std::vector<wire::Replica>
MembersWithVoter(std::vector<wire::Replica> aMembers, const std::string& aName)
{
  for (wire::Replica& member : aMembers) {
    member.voter = member.voter || member.name == aName;
  }
  return aMembers;
}

std::vector<wire::Replica>
MembersWithout(std::vector<wire::Replica> aMembers, const std::string& aName)
{
  std::erase_if(aMembers, [&](const wire::Replica& aMember) { return aMember.name == aName; });
  return aMembers;
}

bool
Contains(const std::vector<wire::Replica>& aMembers, const std::string& aName, int64_t aIncarnation)
{
  return std::any_of(aMembers.begin(), aMembers.end(), [&](const wire::Replica& aMember) {
    return aMember.name == aName && aMember.incarnation == aIncarnation;
  });
}

std::string
Describe(const std::vector<wire::Replica>& aMembers)
{
  std::string text;
  for (const wire::Replica& member : aMembers) {
    text += (text.empty() ? "" : " ") + member.name + (member.voter ? "" : "(learner)");
  }
  return text;
}

wire::CommandResult
Refusal(wire::ResultCode::type aCode, const std::string& aMessage)
{
  wire::CommandResult result;
  result.code = aCode;
  result.message = aMessage;
  return result;
}

} // namespace mimosarun
