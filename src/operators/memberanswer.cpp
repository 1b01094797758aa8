#include "operators/memberanswer.h"

namespace mimosarun {

const char*
PhaseName(wire::TargetPhase::type aPhase)
{
  switch (aPhase) {
    case wire::TargetPhase::Absent:
      return "absent";
    case wire::TargetPhase::Starting:
      return "starting";
    case wire::TargetPhase::Ready:
      return "ready";
    case wire::TargetPhase::Draining:
      return "draining";
  }
  return "absent";
}

const char*
StateName(wire::MemberState::type aState)
{
  switch (aState) {
    case wire::MemberState::Alive:
      return "alive";
    case wire::MemberState::Suspect:
      return "suspect";
    case wire::MemberState::Dead:
      return "dead";
    case wire::MemberState::Leaving:
      return "leaving";
  }
  return "dead";
}

Answer
NodeTable(const std::vector<wire::Member>& aMembers)
{
  Answer answer{ .columns = { "node", "failure-domain", "region", "state", "version", "target", "phase" } };
  for (const wire::Member& member : aMembers) {
    answer.rows.push_back({ member.name,
                            member.failureDomain,
                            member.region,
                            StateName(member.state),
                            std::to_string(member.version),
                            member.targetName,
                            PhaseName(member.phase) });
  }
  return answer;
}

} // namespace mimosarun
