#include "quota/windowedquota.h"

namespace mimosarun {

using Seconds = std::chrono::duration<double>;

/** Part of the burst that is spread over the window; the rest stays for requests that come at once. */
static constexpr double kSpreadShare = 0.8;
/** Part of the tolerance that the bucket holds in addition, as small teams have hardly any burst left. */
static constexpr double kToleranceShare = 0.1;

static Team
WindowedQuota(Team aTeam, const QuotaTolerance& aTolerance)
{
  const double window = Seconds(aTolerance.window).count();
  if (aTeam.requestsPerSecond <= 0 || window <= 0) {
    return aTeam;
  }
  const double quota = aTeam.requestsPerSecond * window + aTeam.burst;
  const double tolerance = aTolerance.burstShare * quota + static_cast<double>(aTolerance.slack);
  aTeam.requestsPerSecond += kSpreadShare * aTeam.burst / window;
  aTeam.burst = (1 - kSpreadShare) * aTeam.burst + kToleranceShare * tolerance;
  return aTeam;
}

std::map<std::string, Team>
WindowedQuotas(std::map<std::string, Team> aTeams, const QuotaTolerance& aTolerance)
{
  for (auto& [name, team] : aTeams) {
    team = WindowedQuota(std::move(team), aTolerance);
  }
  return aTeams;
}

} // namespace mimosarun
