#include "rollout/fleetstatus.h"

#include <map>

namespace mimosarun {

static constexpr std::chrono::milliseconds kSilenceLimit{ 2000 };
/** A node that is silent for longer is taken for ended, so that it delays no roll-out. */
static constexpr std::chrono::milliseconds kEndedLimit{ 5000 };

/** Returns the reports of the newest process of each node. */
static std::map<std::string, const wire::NodeOutcomes*>
NewestReports(const std::vector<wire::NodeOutcomes>& aReports)
{
  std::map<std::string, const wire::NodeOutcomes*> newest;
  for (const wire::NodeOutcomes& report : aReports) {
    const wire::NodeOutcomes*& known = newest[report.node];
    if (known == nullptr || report.incarnation > known->incarnation) {
      known = &report;
    }
  }
  return newest;
}

FleetStatus
StatusOf(const std::vector<wire::NodeOutcomes>& aReports, const RolloutIdentity& aRollout)
{
  FleetStatus status;
  for (const auto& [node, report] : NewestReports(aReports)) {
    const std::chrono::milliseconds age(report->ageMillis);
    if (age > kEndedLimit) {
      continue;
    }
    if (age > kSilenceLimit) {
      ++status.silentNodes;
      continue;
    }
    const bool isCandidate = report->version == aRollout.candidate;
    ++(isCandidate ? status.candidateTargets : status.oldTargets);
    status.outdatedNodes += report->appliedRevision < aRollout.revision ? 1 : 0;
    status.oldOpenCalls += isCandidate ? 0 : report->openCalls;
  }
  return status;
}

} // namespace mimosarun
