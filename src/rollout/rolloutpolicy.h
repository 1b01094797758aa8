#pragma once

#include "common/clock.h"
#include "rollout/fleetstatus.h"
#include "settings/meshlimits.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace mimosarun {

/** Stages of a roll-out, in order. */
enum class RolloutStage
{
  /** Ordered; no calls go to the new version yet. */
  Ordered,
  /** A small constant share, most of it at a few targets. */
  Canary,
  /** As many calls as give one target or more the load of an old one. */
  Load,
  Half,
  Full,
};

const char*
Name(RolloutStage aStage);

/** Parses the result of Name(); another text means Ordered. */
RolloutStage
ParseRolloutStage(const std::string& aText);

/** What the leader knows of a running roll-out. */
struct RolloutProgress
{
  std::chrono::milliseconds duration{ 0 };
  /** Time since the order. */
  std::chrono::milliseconds elapsed{ 0 };
  /** Stage, share and canaries in force, and the time since they were committed. */
  RolloutStage stage = RolloutStage::Ordered;
  int candidatePermille = 0;
  int canaryTargets = 0;
  std::chrono::milliseconds sinceChange{ 0 };
  FleetStatus fleet;
  /** Responses of both versions, and those of the new one. */
  int64_t responses = 0;
  int64_t candidateResponses = 0;
  /** Rate of the service's responses, rather too high than too low; nothing while it isn't known. */
  std::optional<double> responsesPerSecond;
  /** Time within which nearly all calls of the old version end. */
  std::chrono::milliseconds oldCallTime{ 0 };
  /** Time since an old target responded last. */
  std::chrono::milliseconds sinceOldResponse{ 0 };
  /** What shows that the new version is bad. */
  std::optional<std::string> fault;
};

/** What a roll-out should be now. */
struct RolloutDecision
{
  wire::RolloutState::type state = wire::RolloutState::Running;
  RolloutStage stage = RolloutStage::Ordered;
  int candidatePermille = 0;
  int canaryTargets = 0;
  /** Why it changes, or what it waits for. */
  std::string reason;
};

/**
 * Decides on stage, share and verdict of a roll-out. A small canary runs for most of the time; the switch
 * starts as late as the deadline allows, so that a version that turns bad at the end gets few requests.
 */
class RolloutPolicy
{
public:
  explicit RolloutPolicy(RolloutLimits aLimits);

  RolloutDecision Decide(const RolloutProgress& aProgress) const;

private:
  /** Shares of the stages and the times at which they begin, counted from the order. */
  struct Plan
  {
    int canaryPermille = 0;
    int loadPermille = 0;
    std::chrono::milliseconds loadAt{ 0 };
    std::chrono::milliseconds loadTime{ 0 };
    /** Zero if the exposure limit leaves no room for this stage. */
    std::chrono::milliseconds halfTime{ 0 };
    std::chrono::milliseconds fullAt{ 0 };
  };

  Plan MakePlan(const RolloutProgress& aProgress) const;
  std::chrono::duration<double> ExposureTime(const RolloutProgress& aProgress) const;
  RolloutDecision DecideRunning(const RolloutProgress& aProgress) const;
  RolloutDecision DecideFull(const RolloutProgress& aProgress) const;
  RolloutDecision DecideExpired(const RolloutProgress& aProgress) const;

  const RolloutLimits m_limits;
};

} // namespace mimosarun
