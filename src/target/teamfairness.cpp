#include "target/teamfairness.h"

#include <algorithm>
#include <cmath>

namespace mimosarun {

/** Time in which recorded calls lose half of their weight. */
static constexpr std::chrono::milliseconds kHalfLife{ 3000 };
/** A team is underserved below this part of the share of calls that all teams get served. */
static constexpr double kUnderservedPart = 0.4;
/** Recent arrivals from which the served share of a team is meaningful. */
static constexpr double kMinArrivals = 3;
static constexpr double kMinWeight = 0.1;
/** Number of known teams from which those without recent calls are forgotten. */
static constexpr size_t kTeamLimit = 4096;
static constexpr double kIdleArrivals = 0.01;

/** Returns the virtual time that a call of a team takes. */
static double
VirtualCost(const CallTeam& aTeam, std::chrono::microseconds aCost)
{
  const double seconds = std::chrono::duration<double>(std::max(aCost, std::chrono::microseconds(1))).count();
  return seconds / std::max(aTeam.weight, kMinWeight);
}

TeamFairness::RecentCalls
TeamFairness::RecentCalls::At(Deadline aNow) const
{
  const std::chrono::duration<double> age = std::max(aNow, updatedAt) - updatedAt;
  const double left = std::exp2(-age / std::chrono::duration<double>(kHalfLife));
  return { .arrivals = arrivals * left, .admissions = admissions * left, .updatedAt = aNow };
}

void
TeamFairness::RecordArrival(const CallTeam& aTeam, Deadline aNow)
{
  if (aTeam.name.empty()) {
    return;
  }
  for (RecentCalls* calls : { &m_teams[aTeam.name].recent, &m_allTeams }) {
    *calls = calls->At(aNow);
    ++calls->arrivals;
  }
  if (m_teams.size() > kTeamLimit) {
    RemoveIdleTeams(aNow);
  }
}

void
TeamFairness::RecordAdmission(const CallTeam& aTeam, std::chrono::microseconds aCost, Deadline aNow)
{
  if (aTeam.name.empty()) {
    return;
  }
  m_wasUnderservedLast = IsUnderserved(aTeam, aNow);
  TeamState& team = m_teams[aTeam.name];
  const double start = NextStart(aTeam);
  // An underserved team goes before its turn, which doesn't bring the turns of the others nearer.
  m_virtualTime = m_wasUnderservedLast ? m_virtualTime : start;
  team.finish = start + VirtualCost(aTeam, aCost);
  for (RecentCalls* calls : { &team.recent, &m_allTeams }) {
    *calls = calls->At(aNow);
    ++calls->admissions;
  }
}

double
TeamFairness::NextStart(const CallTeam& aTeam) const
{
  const auto team = m_teams.find(aTeam.name);
  return team == m_teams.end() ? m_virtualTime : std::max(m_virtualTime, team->second.finish);
}

bool
TeamFairness::IsUnderserved(const CallTeam& aTeam, Deadline aNow) const
{
  const auto team = m_teams.find(aTeam.name);
  if (team == m_teams.end() || m_wasUnderservedLast) {
    return false;
  }
  const RecentCalls recent = team->second.recent.At(aNow);
  return recent.arrivals >= kMinArrivals &&
         recent.ServedShare() < kUnderservedPart * m_allTeams.ServedShare();
}

void
TeamFairness::RemoveIdleTeams(Deadline aNow)
{
  std::erase_if(m_teams, [&](const auto& aEntry) {
    const TeamState& team = aEntry.second;
    return team.finish <= m_virtualTime && team.recent.At(aNow).arrivals < kIdleArrivals;
  });
}

} // namespace mimosarun
