#pragma once

#include "common/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace mimosarun {

/** Which gates of a service the next call is sent to first. */
enum class GateGroup
{
  Allowed,
  /** The candidate's gates that get most of its calls. */
  Canaries,
  /** One of the candidate's other gates, in turn. */
  OneCandidate,
};

/** Which calls of a service its candidate gets. */
struct CandidateCalls
{
  int permille = 0;
  /** Rate at which this node sends calls to the gates outside of the canaries, if it has as many. */
  double turnsPerSecond = 0;
};

/** The gates for one call. */
struct GateTurn
{
  GateGroup group = GateGroup::Allowed;
  /** Number of the turn; the candidate gates are taken one after the other. */
  size_t turn = 0;
};

/**
 * Divides the calls of each service between the allowed gates and those of a candidate, so that each node
 * keeps to the share exactly: of any number of calls the candidate gets at most its share and one call more.
 * Thread-safe.
 */
class VersionSplitter
{
public:
  /** Returns the gates for the next call of a service whose candidate has a share. */
  GateTurn Next(const std::string& aService, const CandidateCalls& aCandidate, Deadline aNow);

private:
  struct Credits
  {
    /** Thousandths of a call that the candidate may get; below one call after each call. */
    int64_t candidate = 0;
    /** Calls due at gates outside of the canaries, by time and as a part of the candidate's calls. */
    double dueTurns = 0;
    double allowedTurns = 0;
    Deadline updatedAt{};
    size_t nextTurn = 0;
  };

  static bool TakeTurn(Credits& aCredits, double aTurnsPerSecond, Deadline aNow);

  std::mutex m_mutex;
  std::map<std::string, Credits> m_credits;
};

} // namespace mimosarun
