#include "node/versiongates.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/**
 * Calls per second that each new target gets from all nodes together, beside canary calls. Operators pay for
 * a target that is idle for four seconds; with calls that arrive at random at this rate, such a pause happens
 * once in 400 times.
 */
static constexpr double kCallsPerSecond = 1.5;

ServiceVersions
CountVersions(const std::vector<wire::Member>& aMembers)
{
  ServiceVersions versions;
  for (const wire::Member& member : aMembers) {
    if (member.state == wire::MemberState::Leaving || member.state == wire::MemberState::Dead) {
      continue;
    }
    if (member.phase == wire::TargetPhase::Ready) {
      ++versions[member.serviceName][member.softwareVersion].ready;
    } else if (member.phase == wire::TargetPhase::Starting) {
      ++versions[member.serviceName][member.softwareVersion].starting;
    }
  }
  return versions;
}

static CandidateGates
MakeCandidates(std::vector<GateInfo> aGates, const CandidateShare& aShare, size_t aNodes)
{
  CandidateGates candidates{ .permille = aShare.permille, .revision = aShare.revision };
  std::vector<std::string> names;
  names.reserve(aGates.size());
  for (const GateInfo& gate : aGates) {
    names.push_back(gate.node);
  }
  const std::vector<std::string> canaries =
    RolloutView::ChooseCanaries(aShare.version, std::move(names), aShare.canaryTargets);
  for (const GateInfo& gate : aGates) {
    const bool isCanary = std::find(canaries.begin(), canaries.end(), gate.node) != canaries.end();
    (isCanary ? candidates.canaries : candidates.others).push_back(gate);
  }
  candidates.turnsPerSecond = kCallsPerSecond * static_cast<double>(candidates.others.size()) /
                              static_cast<double>(std::max<size_t>(1, aNodes));
  candidates.gates = std::move(aGates);
  return candidates;
}

void
SeparateVersions(GateDirectory& aDirectory, const RolloutView& aRollouts, size_t aNodes, Deadline aNow)
{
  if (!aRollouts.HasVersions()) {
    return;
  }
  for (auto& [service, gates] : aDirectory.gates) {
    std::vector<GateInfo> allowed;
    std::vector<GateInfo> candidates;
    for (GateInfo& gate : gates) {
      const VersionStanding standing = aRollouts.StandingOf(service, gate.version);
      if (standing != VersionStanding::Forbidden) {
        (standing == VersionStanding::Allowed ? allowed : candidates).push_back(std::move(gate));
      }
    }
    gates = std::move(allowed);
    const std::optional<CandidateShare> share = aRollouts.ShareOf(service, aNow);
    if (share && !candidates.empty()) {
      aDirectory.candidates[service] = MakeCandidates(std::move(candidates), *share, aNodes);
    }
  }
}

} // namespace mimosarun
