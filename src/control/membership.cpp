#include "control/membership.h"

#include "control/groupreplica.h"

#include <algorithm>

namespace mimosarun {

/** Several heartbeats; a replica that is wrongly taken for lost becomes a learner, which harms nothing. */
static constexpr std::chrono::milliseconds kVoterSilenceLimit{ 1000 };
static constexpr std::chrono::milliseconds kLearnerSilenceLimit{ 60000 };
static constexpr std::chrono::milliseconds kMaxSilenceOfPresentMember{ 1000 };

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
MembersWithDescription(std::vector<wire::Replica> aMembers, const wire::Replica& aReplica)
{
  for (wire::Replica& member : aMembers) {
    if (member.name == aReplica.name) {
      member.region = aReplica.region;
      member.failureDomain = aReplica.failureDomain;
      member.address = aReplica.address;
    }
  }
  return aMembers;
}

std::vector<wire::Replica>
MembersWithPromoted(std::vector<wire::Replica> aMembers, const std::string& aName)
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

static std::vector<wire::Replica>
MembersWithDemoted(std::vector<wire::Replica> aMembers, const std::string& aName)
{
  for (wire::Replica& member : aMembers) {
    member.voter = member.voter && member.name != aName;
  }
  return aMembers;
}

static std::chrono::milliseconds
SilenceOf(const SilenceDurations& aSilences, const std::string& aName)
{
  const auto found = aSilences.find(aName);
  return found == aSilences.end() ? std::chrono::milliseconds(0) : found->second;
}

/** Returns the voter to demote first: the one that is silent for longest, otherwise the last by name. */
static const wire::Replica*
VoterToDemote(const std::vector<wire::Replica>& aMembers,
              const MembershipGoal& aGoal,
              const SilenceDurations& aSilences)
{
  const wire::Replica* choice = nullptr;
  std::chrono::milliseconds longestSilence = kVoterSilenceLimit;
  for (const wire::Replica& member : aMembers) {
    if (!member.voter || member.name == aGoal.leader) {
      continue;
    }
    const std::chrono::milliseconds silence = SilenceOf(aSilences, member.name);
    const bool noneIsSilent = longestSilence == kVoterSilenceLimit;
    if (silence > longestSilence || noneIsSilent) {
      choice = &member;
      longestSilence = std::max(silence, longestSilence);
    }
  }
  return choice;
}

std::optional<std::vector<wire::Replica>>
NextMembers(const std::vector<wire::Replica>& aMembers,
            const MembershipGoal& aGoal,
            const SilenceDurations& aSilences,
            const std::function<bool(const std::string& aName)>& aCaughtUp)
{
  int voters = 0;
  bool voterSilent = false;
  const wire::Replica* promotableLearner = nullptr;
  const wire::Replica* silentLearner = nullptr;
  for (const wire::Replica& member : aMembers) {
    const std::chrono::milliseconds silence = SilenceOf(aSilences, member.name);
    const bool isLeader = member.name == aGoal.leader;
    if (member.voter) {
      ++voters;
      voterSilent = voterSilent || (!isLeader && silence > kVoterSilenceLimit);
    } else if (aCaughtUp(member.name) && silence < kMaxSilenceOfPresentMember) {
      promotableLearner = &member;
    } else if (silence > kLearnerSilenceLimit) {
      silentLearner = &member;
    }
  }
  const bool allVoters = aGoal.voterCount == 0;
  if (promotableLearner != nullptr &&
      (allVoters || voters < aGoal.voterCount || (voterSilent && voters == aGoal.voterCount))) {
    return MembersWithPromoted(aMembers, promotableLearner->name);
  }
  if (!allVoters && voters > aGoal.voterCount) {
    const wire::Replica* demoted = VoterToDemote(aMembers, aGoal, aSilences);
    return demoted == nullptr ? std::nullopt : std::optional(MembersWithDemoted(aMembers, demoted->name));
  }
  if (!allVoters && silentLearner != nullptr) {
    return MembersWithout(aMembers, silentLearner->name);
  }
  return std::nullopt;
}

bool
HasMember(const std::vector<wire::Replica>& aMembers, const std::string& aName, int64_t aIncarnation)
{
  return std::any_of(aMembers.begin(), aMembers.end(), [&](const wire::Replica& aMember) {
    return aMember.name == aName && aMember.incarnation == aIncarnation;
  });
}

bool
HasMemberAsDescribed(const std::vector<wire::Replica>& aMembers, const wire::Replica& aReplica)
{
  return std::any_of(aMembers.begin(), aMembers.end(), [&](const wire::Replica& aMember) {
    return aMember.name == aReplica.name && aMember.incarnation == aReplica.incarnation &&
           aMember.region == aReplica.region && aMember.failureDomain == aReplica.failureDomain &&
           aMember.address == aReplica.address;
  });
}

std::string
MembersText(const std::vector<wire::Replica>& aMembers)
{
  std::string text;
  for (const wire::Replica& member : aMembers) {
    text += (text.empty() ? "" : " ") + member.name + (member.voter ? "" : "(learner)");
  }
  return text;
}

wire::CommandResult
MakeFailedResult(wire::ResultCode::type aCode, const std::string& aMessage)
{
  wire::CommandResult result;
  result.code = aCode;
  result.message = aMessage;
  return result;
}

} // namespace mimosarun
