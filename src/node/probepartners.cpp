#include "node/probepartners.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <set>

namespace mimosarun {

static constexpr size_t kRingSuccessors = 2;
static constexpr size_t kPartners = 8;

static size_t
HashOf(const std::string& aText)
{
  return std::hash<std::string>{}(aText);
}

/** Sorts names by a key and returns the first of them. */
template<typename Key>
static std::vector<std::string>
FirstBy(std::vector<std::string> aNames, size_t aCount, Key aKey)
{
  aCount = std::min(aCount, aNames.size());
  std::partial_sort(aNames.begin(),
                    aNames.begin() + static_cast<std::ptrdiff_t>(aCount),
                    aNames.end(),
                    [&](const auto& aLeft, const auto& aRight) { return aKey(aLeft) < aKey(aRight); });
  aNames.resize(aCount);
  return aNames;
}

std::vector<std::string>
PreferredMembers(const std::string& aNode, const std::vector<std::string>& aMembers, size_t aCount)
{
  return FirstBy(aMembers, aCount, [&](const std::string& aName) { return HashOf(aNode + "/" + aName); });
}

std::vector<std::string>
ProbePartners(const std::string& aNode, const std::vector<std::string>& aMembers)
{
  std::vector<std::string> others = aMembers;
  std::erase(others, aNode);
  if (others.size() <= kPartners) {
    return others;
  }
  const size_t ownPosition = HashOf(aNode);
  // Unsigned subtraction wraps around, as the ring does.
  const auto ringDistance = [&](const std::string& aName) { return HashOf(aName) - ownPosition; };
  const std::vector<std::string> successors = FirstBy(others, kRingSuccessors, ringDistance);
  std::set<std::string> partners(successors.begin(), successors.end());
  for (const std::string& name : PreferredMembers(aNode, others, kPartners)) {
    if (partners.size() < kPartners) {
      partners.insert(name);
    }
  }
  return { partners.begin(), partners.end() };
}

} // namespace mimosarun
