#pragma once

#include "common/clock.h"
#include "control/membership.h"
#include "control/raftcore.h"

#include <cstdint>

namespace mimosarun {

/** Proposes, on the leader of a group, the membership changes that replace silent voters. */
class MemberMaintenance
{
public:
  /** @param aVoterCount number of voters to maintain; 0 makes every caught-up learner a voter */
  explicit MemberMaintenance(int aVoterCount)
    : m_voterCount(aVoterCount)
  {
  }

  /** Proposes the next change if this replica leads, no change is under way and one is needed. */
  void Step(RaftCore& aCore, Deadline aNow);

private:
  const int m_voterCount;
  int64_t m_term = 0;
  Deadline m_nextStepAt{};
};

} // namespace mimosarun
