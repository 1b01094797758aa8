#include "caller/callgates.h"

#include <utility>

namespace mimosarun {

static constexpr int kFullPermille = 1000;

const std::vector<GateInfo>&
CallGates::AllowedGates(const GateDirectory& aDirectory, const std::string& aService)
{
  static const std::vector<GateInfo> kNone;
  const auto candidates = aDirectory.candidates.find(aService);
  if (candidates != aDirectory.candidates.end() && candidates->second.permille >= kFullPermille) {
    return candidates->second.gates;
  }
  const auto gates = aDirectory.gates.find(aService);
  return gates == aDirectory.gates.end() ? kNone : gates->second;
}

const std::vector<GateInfo>&
CallGates::ForAttempt(const GateDirectory& aDirectory,
                      const std::string& aService,
                      VersionSplitter& aSplitter,
                      Deadline aNow)
{
  const auto found = aDirectory.candidates.find(aService);
  if (!std::exchange(m_isFirst, false) || found == aDirectory.candidates.end()) {
    return AllowedGates(aDirectory, aService);
  }
  const CandidateGates& candidates = found->second;
  const GateTurn turn = aSplitter.Next(
    aService, { .permille = candidates.permille, .turnsPerSecond = candidates.turnsPerSecond }, aNow);
  switch (turn.group) {
    case GateGroup::Allowed:
      break;
    case GateGroup::Canaries: {
      const bool isSpread = candidates.canaries.empty() || candidates.permille >= kFullPermille;
      return isSpread ? candidates.gates : candidates.canaries;
    }
    case GateGroup::OneCandidate:
      m_oneCandidate = { candidates.others[turn.turn % candidates.others.size()] };
      return m_oneCandidate;
  }
  return AllowedGates(aDirectory, aService);
}

} // namespace mimosarun
