#pragma once

#include "configuration/configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/**
 * The numbers that stand for teams in messages about quotas: positions among the sorted names of a
 * configuration version. Remembers recent versions, since nodes learn of a new one at different times. Not
 * thread-safe.
 */
class TeamNumbers
{
public:
  void Add(int64_t aVersion, const std::map<std::string, Team>& aTeams);

  int64_t NewestVersion() const { return m_names.empty() ? 0 : m_names.rbegin()->first; }

  /** Returns the name of a team, or nothing if the version or the number is unknown. */
  std::optional<std::string> NameOf(int64_t aVersion, int32_t aNumber) const;

private:
  std::map<int64_t, std::vector<std::string>> m_names;
};

} // namespace mimosarun
