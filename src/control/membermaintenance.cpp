#include "control/membermaintenance.h"

namespace mimosarun {

static constexpr std::chrono::milliseconds kStepInterval{ 100 };
/** After an election, time for the members to reply, so that none is taken for silent that isn't. */
static constexpr std::chrono::milliseconds kFirstReplyTime{ 300 };

static SilenceDurations
MemberSilences(const RaftCore& aCore, Deadline aNow)
{
  SilenceDurations silences;
  for (const wire::Replica& member : aCore.Members()) {
    silences[member.name] =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aCore.SilentSince(member.name));
  }
  return silences;
}

void
MemberMaintenance::Step(RaftCore& aCore, Deadline aNow)
{
  if (aCore.Role() != RaftRole::Leader) {
    return;
  }
  if (m_term != aCore.Term()) {
    m_term = aCore.Term();
    m_nextStepAt = aNow + kFirstReplyTime;
  }
  if (aNow < m_nextStepAt || !aCore.IsMembershipCommitted()) {
    return;
  }
  m_nextStepAt = aNow + kStepInterval;
  const auto next = NextMembers(aCore.Members(),
                                { .voterCount = m_voterCount, .leader = aCore.Leader() },
                                MemberSilences(aCore, aNow),
                                [&](const std::string& aName) { return aCore.IsCaughtUp(aName); });
  if (next) {
    aCore.ProposeMembers(*next, aNow);
  }
}

} // namespace mimosarun
