#include "caller/gaterequest.h"

#include "hop/hopheaders.h"

#include <algorithm>

namespace mimosarun {

static HopRequest
MakeHopRequest(const GateRequestParts& aParts, Deadline aNow)
{
  using std::chrono::milliseconds;
  const CallOptions& call = aParts.call;
  const GateChoice& choice = aParts.choice;
  const Route& route = *call.route;
  HopRequest hop{ .callId = call.callId,
                  .service = aParts.service,
                  .route = route.name,
                  .repeatPolicy = route.repeatPolicy,
                  .callClass = route.callClass,
                  .priority = route.priority,
                  .expectedCost = route.expectedCost,
                  .timeLeft = TimeLeft(call.deadline, aNow),
                  .timeToObjective = std::chrono::floor<milliseconds>(call.objectiveDeadline - aNow),
                  .longestWait = std::chrono::ceil<milliseconds>(choice.longestWait),
                  .maxFailurePenalty = std::chrono::ceil<milliseconds>(
                    std::min<std::chrono::microseconds>(choice.maxFailurePenalty, kUnlimitedPenalty)),
                  .isLastResort = choice.isLastResort,
                  .sentToIncarnation = aParts.isResent ? choice.gate.incarnation : 0,
                  .team = call.team,
                  .teamPriority = call.teamPriority,
                  .teamRate = call.teamRate };
  if (route.repeatPolicy == RepeatPolicy::Keyed) {
    hop.homeRegion = call.snapshot->configuration.services.at(aParts.service).homeRegion;
  }
  return hop;
}

HttpRequest
MakeGateRequest(const GateRequestParts& aParts, const CallerCodec& aCodec, Deadline aNow)
{
  HttpRequest request = aParts.request;
  aCodec.prepareForTarget(request.headers, aParts.localService);
  if (aParts.call.snapshot->configuration.hasTeams) {
    aCodec.setTeam(request.headers, aParts.call.team);
  }
  WriteHop(request.headers, MakeHopRequest(aParts, aNow));
  return request;
}

} // namespace mimosarun
