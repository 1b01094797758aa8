#include "rollout/versionsplitter.h"

#include "common/random.h"

#include <algorithm>

namespace mimosarun {

static constexpr int64_t kWholeCall = 1000;
/** Part of the candidate's calls that may go to gates in turn; the others show how a target bears a usual
 * load. */
static constexpr double kLargestTurnShare = 0.6;
/** Nodes begin at different gates. */
static constexpr int64_t kFirstTurnLimit = 10000;

bool
VersionSplitter::TakeTurn(Credits& aCredits, double aTurnsPerSecond, Deadline aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aCredits.updatedAt;
  aCredits.updatedAt = aNow;
  // Turns that found no call aren't made up for.
  aCredits.dueTurns = std::min(1.0, aCredits.dueTurns + elapsed.count() * aTurnsPerSecond);
  aCredits.allowedTurns = std::min(2.0, aCredits.allowedTurns + kLargestTurnShare);
  if (aTurnsPerSecond <= 0 || aCredits.dueTurns < 1 || aCredits.allowedTurns < 1) {
    return false;
  }
  aCredits.dueTurns -= 1;
  aCredits.allowedTurns -= 1;
  return true;
}

GateTurn
VersionSplitter::Next(const std::string& aService, const CandidateCalls& aCandidate, Deadline aNow)
{
  const std::lock_guard lock(m_mutex);
  const auto [position, isNew] = m_credits.try_emplace(aService);
  Credits& credits = position->second;
  if (isNew) {
    // Random credits make all nodes together keep to the share from the start. They are kept when the share
    // changes.
    credits = { .candidate = RandomBetween(0, kWholeCall - 1),
                .dueTurns = RandomFraction(),
                .allowedTurns = RandomFraction(),
                .updatedAt = aNow,
                .nextTurn = static_cast<size_t>(RandomBetween(0, kFirstTurnLimit)) };
  }
  credits.candidate += std::clamp<int64_t>(aCandidate.permille, 0, kWholeCall);
  if (credits.candidate < kWholeCall) {
    return { .group = GateGroup::Allowed };
  }
  credits.candidate -= kWholeCall;
  if (!TakeTurn(credits, aCandidate.turnsPerSecond, aNow)) {
    return { .group = GateGroup::Canaries };
  }
  return { .group = GateGroup::OneCandidate, .turn = credits.nextTurn++ };
}

} // namespace mimosarun
