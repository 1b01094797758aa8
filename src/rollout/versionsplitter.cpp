#include "rollout/versionsplitter.h"

#include "common/random.h"

#include <algorithm>

namespace mimosarun {

static constexpr int64_t kWholeCall = 1000;
/** Share of the candidate's calls that go to all its gates in turn, since a target without calls costs money.
 */
static constexpr double kTurnShare = 0.2;
/** Limit of these calls as thousandths of all calls of the service; gates in turn may be far away. */
static constexpr double kTurnPermilleOfAllCalls = 10;
/** Nodes begin at different candidates. */
static constexpr int64_t kFirstTurnLimit = 10000;

GateTurn
VersionSplitter::Next(const std::string& aService, int aPermille)
{
  const int64_t permille = std::clamp<int64_t>(aPermille, 0, kWholeCall);
  const std::lock_guard lock(m_mutex);
  const auto [position, isNew] = m_credits.try_emplace(aService);
  Credits& credits = position->second;
  if (isNew) {
    // Random credits make all nodes together keep to the share from the start. They are kept when the share
    // changes.
    credits = { .candidate = RandomBetween(0, kWholeCall - 1),
                .turn = RandomFraction(),
                .nextTurn = static_cast<size_t>(RandomBetween(0, kFirstTurnLimit)) };
  }
  credits.candidate += permille;
  if (credits.candidate < kWholeCall) {
    return { .group = GateGroup::Allowed };
  }
  credits.candidate -= kWholeCall;
  credits.turn += std::min(kTurnShare, kTurnPermilleOfAllCalls / static_cast<double>(permille));
  if (credits.turn < 1) {
    return { .group = GateGroup::Canaries };
  }
  credits.turn -= 1;
  return { .group = GateGroup::OneCandidate, .turn = credits.nextTurn++ };
}

} // namespace mimosarun
