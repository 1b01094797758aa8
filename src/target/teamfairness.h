#pragma once

#include "common/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace mimosarun {

/** The team of a call, as far as it decides when the call gets a slot. */
struct CallTeam
{
  /** Empty for calls that belong to no team, such as those that a running request makes. */
  std::string name;
  /** Rank of the team; zero is the most urgent. */
  int64_t priority = 0;
  /** Share of the slots relative to the weights of other teams. */
  double weight = 1;
};

/**
 * Divides the slots of a target among teams in proportion to their weights by start-time fair queueing
 * (Goyal, Vin and Cheng, 1996), and finds teams that get far fewer of their calls served than all teams
 * together. Not thread-safe.
 */
class TeamFairness
{
public:
  /** Records that a call of a team asks for a slot. */
  void RecordArrival(const CallTeam& aTeam, Deadline aNow);

  /** Records that a call of a team got a slot, and how long it will probably hold it. */
  void RecordAdmission(const CallTeam& aTeam, std::chrono::microseconds aCost, Deadline aNow);

  /** Returns the virtual time at which the team's next call is due; the team with the earliest goes first. */
  double NextStart(const CallTeam& aTeam) const;

  /** Returns whether a team's calls are to go first, as too few of them were served lately. */
  bool IsUnderserved(const CallTeam& aTeam, Deadline aNow) const;

private:
  /** Arrivals and admissions that lose their weight with time. */
  struct RecentCalls
  {
    double arrivals = 0;
    double admissions = 0;
    Deadline updatedAt{};

    RecentCalls At(Deadline aNow) const;
    double ServedShare() const { return arrivals > 0 ? admissions / arrivals : 1; }
  };

  struct TeamState
  {
    /** Virtual time in seconds at which the team's last admitted call ends. */
    double finish = 0;
    RecentCalls recent;
  };

  void RemoveIdleTeams(Deadline aNow);

  std::unordered_map<std::string, TeamState> m_teams;
  RecentCalls m_allTeams;
  /** Virtual time at which the call admitted last began. */
  double m_virtualTime = 0;
  /** Whether the last slot went to an underserved team; the next one goes by the usual order. */
  bool m_wasUnderservedLast = false;
};

} // namespace mimosarun
