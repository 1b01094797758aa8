#include "rollout/rolloutpolicy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace mimosarun {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

static constexpr int kWhole = 1000;
static constexpr int kHalf = 500;
static constexpr std::array<const char*, 5> kStageNames{ "ordered", "canary", "load", "half", "full" };

/** Share of the canary, unless the service's rate is very low or very high. */
static constexpr double kCanaryShare = 0.04;
static constexpr double kLeastCanaryShare = 0.004;
static constexpr double kLargestCanaryShare = 0.5;
/** Requests per second that give a verdict within a second or two; more only expose more. */
static constexpr double kSufficientRate = 60;
/** Fewer requests per second give no verdict within the usual durations. */
static constexpr double kLeastRate = 10;
/** Part of canary calls that nodes send to the canary targets. */
static constexpr double kConcentration = 0.8;
/** Added before rounding down, so that a canary target gets more calls than an old one rather than fewer. */
static constexpr double kRoundingUp = 0.25;

/** Parts of the exposure limit that the plan uses; the rest covers a rate that falls later. */
static constexpr double kUsedShare = 0.85;
static constexpr double kUsedSlack = 0.6;
/** The rate for the rest of the time may be lower than it is now. */
static constexpr double kRateFall = 0.85;
/** Part of the exposure that the canary gets where the switch needs more than the limit leaves. */
static constexpr double kCanaryPart = 0.2;
static constexpr double kLoadPart = 0.35;
/** A load step that gives a target less than this part of an old one's load shows little that the canary
 * doesn't. */
static constexpr double kLeastLoad = 0.9;
/** With less, a canary target isn't worth the concentration. */
static constexpr double kLeastCanaryLoad = 0.7;
static constexpr double kWantedLoadShare = 0.15;

/** Reports reach the leader within half a second; the rate and the targets are known after this time. */
static constexpr milliseconds kFirstReportsTime{ 700 };
/** Commit, push to the nodes, and reports that they have applied the share and that old calls have ended. */
static constexpr milliseconds kSwitchTime{ 900 };
/** After so many responses without a fault, the switch may take its whole time in spite of the exposure
 * limit. */
static constexpr int64_t kConvincingResponses = 300;
static constexpr milliseconds kLeastDrainTime{ 100 };
static constexpr milliseconds kCanaryChangeInterval{ 2500 };
static constexpr double kCanaryChange = 1.6;
static constexpr milliseconds kShortestLoadTime{ 800 };
static constexpr milliseconds kLongestLoadTime{ 2500 };
static constexpr double kLoadTimeShare = 0.08;
static constexpr milliseconds kLongestHalfTime{ 1500 };
static constexpr milliseconds kShortestHalfTime{ 500 };
/** Time of an election, which the switch outlasts where the exposure limit leaves room. */
static constexpr milliseconds kElectionTime{ 2000 };
/** Nodes that don't report, such as entries of other services, apply a share within this time. */
static constexpr milliseconds kApplyTime{ 250 };
static constexpr milliseconds kQuietTime{ 250 };
/** A step of the leader's loop and a commit. */
static constexpr milliseconds kCommitTime{ 200 };
/** Delay of a decision by the interval of the leader's loop, on average. */
static constexpr milliseconds kStepTime{ 50 };
/** Responses of the new version without which the switch doesn't start. */
static constexpr int64_t kLeastResponses = 5;
/** Fewer new targets in relation to the old ones wouldn't carry the load. */
static constexpr double kLeastTargetRatio = 0.6;
/** A late roll-out still ends by itself within this time after its deadline. */
static constexpr milliseconds kLeastGrace{ 3000 };

const char*
Name(RolloutStage aStage)
{
  return kStageNames.at(static_cast<size_t>(aStage));
}

RolloutStage
ParseRolloutStage(const std::string& aText)
{
  const auto* const found = std::find(kStageNames.begin(), kStageNames.end(), aText);
  return found == kStageNames.end() ? RolloutStage::Ordered
                                    : static_cast<RolloutStage>(found - kStageNames.begin());
}

RolloutPolicy::RolloutPolicy(RolloutLimits aLimits)
  : m_limits(aLimits)
{
}

/** Returns a decision to leave everything as it is. */
static RolloutDecision
Keep(const RolloutProgress& aProgress, const std::string& aReason)
{
  return { .stage = aProgress.stage,
           .candidatePermille = aProgress.candidatePermille,
           .canaryTargets = aProgress.canaryTargets,
           .reason = aReason };
}

static RolloutDecision
RollBack(const RolloutProgress& aProgress, const std::string& aReason)
{
  return { .state = wire::RolloutState::RolledBack, .stage = aProgress.stage, .reason = aReason };
}

static RolloutDecision
Complete(const std::string& aReason)
{
  return { .state = wire::RolloutState::Completed,
           .stage = RolloutStage::Full,
           .candidatePermille = kWhole,
           .reason = aReason };
}

/**
 * Returns the number of targets that carry about as much load as an old one at a share of the calls; zero if
 * not even one would, since calls to all targets then show more of their speeds.
 */
static int
CanaryTargets(int aPermille, int aTargets)
{
  const double targets = kConcentration * aPermille * aTargets / kWhole;
  return targets < kLeastCanaryLoad ? 0 : std::max(1, static_cast<int>(std::floor(targets + kRoundingUp)));
}

static int
PermilleOf(double aShare)
{
  return static_cast<int>(std::lround(aShare * kWhole));
}

/** Returns how long all requests of the service could still go to the new version within the exposure limit.
 */
std::chrono::duration<double>
RolloutPolicy::ExposureTime(const RolloutProgress& aProgress) const
{
  const Seconds left = std::max(milliseconds(0), aProgress.duration - aProgress.elapsed);
  const double rate = aProgress.responsesPerSecond.value_or(0);
  if (rate <= 0) {
    return left;
  }
  const double expected = static_cast<double>(aProgress.responses) + kRateFall * rate * left.count();
  const double allowed =
    kUsedShare * m_limits.exposureShare * expected + kUsedSlack * static_cast<double>(m_limits.exposureSlack);
  return Seconds(std::max(0.0, allowed - static_cast<double>(aProgress.candidateResponses)) / rate);
}

/** Returns the canary's share that gives a verdict at the service's rate. */
static double
WantedCanaryShare(const RolloutProgress& aProgress)
{
  const double rate = aProgress.responsesPerSecond.value_or(0);
  if (rate <= 0) {
    return kCanaryShare;
  }
  return std::clamp(kCanaryShare, std::min(kLeastRate / rate, kLargestCanaryShare), kSufficientRate / rate);
}

/** Returns the share of the calls that gives one target the load of an old one, as far as the exposure
 * allows. */
static double
LoadShare(const RolloutProgress& aProgress, Seconds aExposure, Seconds aLoadTime)
{
  const double oneTarget = 1 / (kConcentration * std::max(1, aProgress.fleet.candidateTargets));
  const double limit = std::clamp(kLoadPart * (aExposure / aLoadTime), 0.02, 0.5);
  if (limit < kLeastLoad * oneTarget) {
    return 0;
  }
  const double targets = std::max(1.0, std::floor(std::min(limit, kWantedLoadShare) / oneTarget));
  return std::min(targets * oneTarget, limit);
}

/** Returns the time between full share and completion. */
static milliseconds
FullTime(const RolloutProgress& aProgress, Seconds aExposure)
{
  const milliseconds drainTime =
    std::clamp(aProgress.oldCallTime, kLeastDrainTime, std::max(kLeastDrainTime, aProgress.duration / 5));
  if (aProgress.candidateResponses >= kConvincingResponses) {
    return kSwitchTime + drainTime;
  }
  // Without time for reports, the switch relies on what nodes and calls usually need.
  const milliseconds shortest = kApplyTime + drainTime + kCommitTime + kStepTime;
  return std::clamp(std::chrono::duration_cast<milliseconds>(aExposure),
                    shortest,
                    std::max(shortest, kSwitchTime + drainTime));
}

RolloutPolicy::Plan
RolloutPolicy::MakePlan(const RolloutProgress& aProgress) const
{
  const Seconds exposure = ExposureTime(aProgress);
  Plan plan;
  plan.loadTime = std::clamp(std::chrono::duration_cast<milliseconds>(kLoadTimeShare * aProgress.duration),
                             kShortestLoadTime,
                             kLongestLoadTime);
  double canaryShare = static_cast<double>(aProgress.candidatePermille) / kWhole;
  const double loadShare = std::max(canaryShare, LoadShare(aProgress, exposure, plan.loadTime));
  Seconds rest = exposure;
  if (aProgress.stage < RolloutStage::Load) {
    rest -= loadShare * Seconds(plan.loadTime);
  }
  const Seconds canaryTime = std::max(
    milliseconds(0), aProgress.duration - aProgress.elapsed - plan.loadTime - kSwitchTime - kLeastDrainTime);
  if (aProgress.stage <= RolloutStage::Canary) {
    const Seconds fullTime = FullTime(aProgress, rest - kCanaryPart * exposure);
    const Seconds canaryExposure = std::max(kCanaryPart * exposure, 0.5 * (rest - fullTime));
    const double limit = canaryExposure / std::max(canaryTime, Seconds(0.5));
    canaryShare =
      std::clamp(std::min(WantedCanaryShare(aProgress), limit), kLeastCanaryShare, kLargestCanaryShare);
  }
  rest -= canaryShare * canaryTime;
  milliseconds fullTime = FullTime(aProgress, rest);
  rest -= fullTime;
  if (0.5 * rest > Seconds(kShortestHalfTime)) {
    plan.halfTime = std::min(kLongestHalfTime, std::chrono::duration_cast<milliseconds>(0.5 * rest));
    rest -= 0.5 * Seconds(plan.halfTime);
  }
  fullTime += std::clamp(std::chrono::duration_cast<milliseconds>(rest), milliseconds(0), kElectionTime);
  plan.canaryPermille = PermilleOf(canaryShare);
  plan.loadPermille = PermilleOf(std::max(loadShare, canaryShare));
  plan.fullAt = aProgress.duration - fullTime;
  plan.loadAt = plan.fullAt - plan.halfTime - plan.loadTime;
  return plan;
}

/** Returns a decision for a stage with a share of the calls. */
static RolloutDecision
Enter(RolloutStage aStage, int aPermille, const RolloutProgress& aProgress, const std::string& aReason)
{
  return { .stage = aStage,
           .candidatePermille = aPermille,
           .canaryTargets =
             aStage == RolloutStage::Full ? 0 : CanaryTargets(aPermille, aProgress.fleet.candidateTargets),
           .reason = aReason };
}

/** Returns why no larger share may be given now, or an empty text. */
static std::string
ReasonToHold(const RolloutProgress& aProgress)
{
  const FleetStatus& fleet = aProgress.fleet;
  if (fleet.candidateTargets + fleet.oldTargets == 0) {
    return "waits for reports of the service's nodes";
  }
  if (fleet.silentNodes > 0) {
    return "waits for reports of " + std::to_string(fleet.silentNodes) + " silent nodes";
  }
  if (fleet.candidateTargets < kLeastTargetRatio * fleet.oldTargets) {
    return "waits for targets of the new version: " + std::to_string(fleet.candidateTargets) + " beside " +
           std::to_string(fleet.oldTargets) + " old ones";
  }
  // At a very low rate, the canary may get no request at all.
  const double rate = aProgress.responsesPerSecond.value_or(0);
  const double expected =
    rate * Seconds(aProgress.sinceChange).count() * aProgress.candidatePermille / kWhole;
  const int64_t needed = std::min(kLeastResponses, static_cast<int64_t>(expected / 4));
  if (aProgress.candidateResponses < needed) {
    return "waits for responses of the new version: " + std::to_string(aProgress.candidateResponses);
  }
  return {};
}

/** Returns whether the rate has changed so much, or is now known so much better, that the canary's share
 * must. */
static bool
NeedsOtherCanary(const RolloutProgress& aProgress, int aPermille)
{
  const double ratio = static_cast<double>(aPermille) / std::max(1, aProgress.candidatePermille);
  return aProgress.sinceChange >= kCanaryChangeInterval && aProgress.responsesPerSecond &&
         (ratio > kCanaryChange || ratio < 1 / kCanaryChange);
}

RolloutDecision
RolloutPolicy::DecideFull(const RolloutProgress& aProgress) const
{
  const FleetStatus& fleet = aProgress.fleet;
  const bool isApplied = aProgress.sinceChange >= kApplyTime;
  const bool hasReports = fleet.candidateTargets + fleet.oldTargets > 0;
  const milliseconds left = aProgress.duration - aProgress.elapsed;
  if (isApplied && hasReports && fleet.outdatedNodes == 0 && fleet.silentNodes == 0 &&
      fleet.oldOpenCalls == 0 && aProgress.sinceOldResponse >= kQuietTime) {
    return Complete("all calls have left the old version");
  }
  if (isApplied && hasReports && left <= kCommitTime) {
    return Complete("the deadline is reached; open calls of the old version: " +
                    std::to_string(fleet.oldOpenCalls));
  }
  return Keep(aProgress,
              "waits until calls have left the old version: " + std::to_string(fleet.outdatedNodes) +
                " nodes apply an older share, " + std::to_string(fleet.silentNodes) + " are silent, " +
                std::to_string(fleet.oldOpenCalls) + " calls are open");
}

RolloutDecision
RolloutPolicy::DecideExpired(const RolloutProgress& aProgress) const
{
  if (aProgress.stage == RolloutStage::Full) {
    return Complete("the deadline has passed");
  }
  return RollBack(aProgress, "the deadline has passed; " + ReasonToHold(aProgress));
}

RolloutDecision
RolloutPolicy::DecideRunning(const RolloutProgress& aProgress) const
{
  if (aProgress.stage == RolloutStage::Full) {
    return DecideFull(aProgress);
  }
  if (aProgress.stage == RolloutStage::Ordered &&
      (aProgress.sinceChange < std::min(kFirstReportsTime, aProgress.duration / 6) ||
       !aProgress.responsesPerSecond)) {
    return Keep(aProgress, "waits for the first reports");
  }
  const std::string hold = ReasonToHold(aProgress);
  if (!hold.empty()) {
    return Keep(aProgress, hold);
  }
  const Plan plan = MakePlan(aProgress);
  switch (aProgress.stage) {
    case RolloutStage::Ordered:
      return Enter(RolloutStage::Canary,
                   plan.canaryPermille,
                   aProgress,
                   "canary until " + std::to_string(plan.loadAt.count()) + " ms after the order");
    case RolloutStage::Canary:
      if (aProgress.elapsed >= plan.loadAt &&
          aProgress.sinceChange >= std::min(kShortestLoadTime, plan.loadTime)) {
        return Enter(RolloutStage::Load, plan.loadPermille, aProgress, "targets at the load of old ones");
      }
      if (NeedsOtherCanary(aProgress, plan.canaryPermille) && aProgress.elapsed < plan.loadAt / 2) {
        return Enter(RolloutStage::Canary,
                     plan.canaryPermille,
                     aProgress,
                     "canary for " + std::to_string(std::lround(*aProgress.responsesPerSecond)) +
                       " requests a second at most");
      }
      break;
    case RolloutStage::Load:
      if (aProgress.sinceChange >= plan.loadTime && aProgress.elapsed >= plan.fullAt - plan.halfTime) {
        // A late switch leaves out the half.
        const bool hasTime = aProgress.elapsed + plan.halfTime + kSwitchTime <= aProgress.duration;
        return plan.halfTime > milliseconds(0) && hasTime
                 ? Enter(RolloutStage::Half,
                         std::max(kHalf, aProgress.candidatePermille),
                         aProgress,
                         "half of the calls")
                 : Enter(RolloutStage::Full, kWhole, aProgress, "all calls");
      }
      break;
    default:
      if (aProgress.sinceChange >= kShortestHalfTime && aProgress.elapsed >= plan.fullAt) {
        return Enter(RolloutStage::Full, kWhole, aProgress, "all calls");
      }
      break;
  }
  return Keep(aProgress,
              "next stage " + std::to_string(plan.loadAt.count()) + " ms after the order, all calls after " +
                std::to_string(plan.fullAt.count()) + " ms");
}

RolloutDecision
RolloutPolicy::Decide(const RolloutProgress& aProgress) const
{
  if (aProgress.fault) {
    return RollBack(aProgress, *aProgress.fault);
  }
  const milliseconds grace = std::max(kLeastGrace, aProgress.duration / 4);
  if (aProgress.elapsed >= aProgress.duration + grace) {
    return DecideExpired(aProgress);
  }
  return DecideRunning(aProgress);
}

} // namespace mimosarun
