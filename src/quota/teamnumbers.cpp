#include "quota/teamnumbers.h"

namespace mimosarun {

/** Nodes hold the newest version within seconds, so few versions are in use at once. */
static constexpr size_t kRememberedVersions = 16;

void
TeamNumbers::Add(int64_t aVersion, const std::map<std::string, Team>& aTeams)
{
  std::vector<std::string>& names = m_names[aVersion];
  names.clear();
  for (const auto& [name, team] : aTeams) {
    names.push_back(name);
  }
  if (m_names.size() > kRememberedVersions) {
    m_names.erase(m_names.begin());
  }
}

std::optional<std::string>
TeamNumbers::NameOf(int64_t aVersion, int32_t aNumber) const
{
  const auto names = m_names.find(aVersion);
  if (names == m_names.end() || aNumber < 0 || static_cast<size_t>(aNumber) >= names->second.size()) {
    return std::nullopt;
  }
  return names->second[static_cast<size_t>(aNumber)];
}

} // namespace mimosarun
