#include "caller/gaterequest.h"

#include "hop/hopheaders.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/** What a gate adds at most to the head of a response: its own header, and a space in each line. */
static constexpr uint32_t kGateHeadBytes = 32U * 1024;
static constexpr std::chrono::milliseconds kConnectTimeout{ 250 };
/**
 * Time without acknowledgement after which a gate's VM may be down or cut off, so that the call is sent once
 * more. A full link and a gate that reads a large request late delay acknowledgements as long.
 */
static constexpr std::chrono::milliseconds kSilenceTime{ 600 };
/** Time without acknowledgement after which a connection won't bring a response any more. */
static constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 4000 };

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

ForwardRequest
MakeGateRequest(const GateRequestParts& aParts, const CallerCodec& aCodec, Deadline aNow)
{
  HttpRequest request = aParts.request;
  aCodec.prepareForTarget(request.headers, aParts.localService);
  if (aParts.call.snapshot->configuration.hasTeams) {
    aCodec.setTeam(request.headers, aParts.call.team);
  }
  WriteHop(request.headers, MakeHopRequest(aParts, aNow));
  return { .destination = aParts.choice.gate.address,
           .request = std::move(request),
           .connectTimeout = kConnectTimeout,
           .unacknowledgedTimeout = kUnacknowledgedTimeout,
           .silenceTime = kSilenceTime,
           .headLimitBytes = kResponseHeadLimitBytes + kGateHeadBytes };
}

} // namespace mimosarun
