#include "quarantine/suspect.h"

#include <algorithm>

namespace mimosarun {

/** Targets that may end under a request before it is quarantined. */
static constexpr size_t kCrashLimit = 3;
/** Times in which nodes that run a request again and again report it after the third end. */
static constexpr std::chrono::milliseconds kShortestProofTime{ 1000 };
static constexpr std::chrono::milliseconds kLongestProofTime{ 20000 };
/** A request may take this many times as long to run so often as it did before. */
static constexpr int kProofTimeFactor = 2;
/** Three ends within it are rarely a coincidence. */
static constexpr std::chrono::hours kCrashMemory{ 1 };
/** Nodes look for proofs for this time after an end. */
static constexpr std::chrono::seconds kListTime{ 30 };
static constexpr size_t kMaximumCrashes = 16;
/** Nodes whose targets alone may end under a request; with more of them no target gets it. */
static constexpr size_t kExcludedNodeLimit = 2;

void
Suspect::AddCrash(const wire::TargetCrash& aCrash, std::optional<Deadline> aProvenSince, Deadline aNow)
{
  if (aProvenSince) {
    AddProof(aCrash.place, *aProvenSince);
  }
  const bool isKnown = std::ranges::any_of(
    m_crashes, [&](const Crash& aKnown) { return aKnown.identifier == aCrash.identifier; });
  if (isKnown) {
    return;
  }
  m_crashes.push_back({ .identifier = aCrash.identifier,
                        .place = aCrash.place,
                        .at = aNow,
                        .isDoubtful = aProvenSince || aCrash.isNewlyWatched,
                        .provenSince = aProvenSince });
  m_activeSince.reset();
  if (m_crashes.size() > kMaximumCrashes) {
    m_crashes.erase(m_crashes.begin());
  }
}

void
Suspect::AddProof(const wire::TargetPlace& aPlace, Deadline aProvenSince)
{
  // The target that ended runs the request again, with the same software.
  std::erase_if(m_crashes,
                [&](const Crash& aCrash) { return aCrash.at < aProvenSince && aCrash.place == aPlace; });
  for (Crash& crash : m_crashes) {
    if (crash.at >= aProvenSince || crash.place.node == aPlace.node) {
      continue;
    }
    crash.isProvenElsewhere = true;
    const bool isSameVersion =
      crash.place.serviceName == aPlace.serviceName && crash.place.version == aPlace.version;
    crash.isProvenAtVersion = crash.isProvenAtVersion || isSameVersion;
  }
}

void
Suspect::RecordActivity(const std::string& aService, Deadline aNow)
{
  const bool isOfService =
    std::ranges::any_of(m_crashes, [&](const Crash& aCrash) { return aCrash.place.serviceName == aService; });
  if (isOfService && !m_activeSince) {
    m_activeSince = aNow;
  }
}

void
Suspect::Explain(const std::set<std::string>& aCrashes)
{
  std::erase_if(m_crashes, [&](const Crash& aCrash) {
    return aCrash.isDoubtful && aCrashes.contains(aCrash.identifier);
  });
}

bool
Suspect::IsAtOneNode() const
{
  return std::ranges::all_of(
    m_crashes, [&](const Crash& aCrash) { return aCrash.place.node == m_crashes.front().place.node; });
}

std::optional<std::string>
Suspect::NodeWithManyCrashes() const
{
  for (const Crash& crash : m_crashes) {
    const auto count = std::ranges::count_if(
      m_crashes, [&](const Crash& aOther) { return aOther.place.node == crash.place.node; });
    if (static_cast<size_t>(count) >= kCrashLimit) {
      return crash.place.node;
    }
  }
  return std::nullopt;
}

std::vector<Deadline>
Suspect::CountedTimes(const std::set<std::string>& aExplained) const
{
  std::vector<Deadline> times;
  for (const Crash& crash : m_crashes) {
    const bool isExplained = crash.isDoubtful && aExplained.contains(crash.identifier);
    if (!crash.IsExcused() && !isExplained) {
      times.push_back(crash.at);
    }
  }
  std::ranges::sort(times);
  return times;
}

size_t
Suspect::CountCertain() const
{
  return static_cast<size_t>(
    std::ranges::count_if(m_crashes, [](const Crash& aCrash) { return !aCrash.isDoubtful; }));
}

bool
Suspect::IsLikelyCause() const
{
  return CountCertain() + 1 >= kCrashLimit;
}

std::chrono::milliseconds
Suspect::ProofTime() const
{
  std::optional<std::chrono::milliseconds> shortest;
  for (const Crash& crash : m_crashes) {
    if (crash.provenSince) {
      const auto time = std::chrono::ceil<std::chrono::milliseconds>(crash.at - *crash.provenSince);
      shortest = std::min(shortest.value_or(time), time);
    }
  }
  const auto expected = kProofTimeFactor * shortest.value_or(std::chrono::milliseconds(0));
  return std::clamp(expected, kShortestProofTime, kLongestProofTime);
}

bool
Suspect::HadTimeForProof(const std::vector<Deadline>& aCountedTimes, Deadline aNow) const
{
  const bool hasEverRun =
    std::ranges::any_of(m_crashes, [](const Crash& aCrash) { return aCrash.provenSince.has_value(); });
  if (!hasEverRun) {
    return aNow > aCountedTimes.back() + ProofTime();
  }
  // Many targets may end in one moment, as those of a failure domain do, and none of them runs anything.
  const bool isRepeated = aCountedTimes.back() > aCountedTimes[kCrashLimit - 1] + ProofTime();
  return isRepeated || (m_activeSince && aNow > *m_activeSince + ProofTime());
}

std::optional<QuarantineScope>
Suspect::Evaluate(const std::set<std::string>& aExplained, Deadline aNow) const
{
  const std::vector<Deadline> times = CountedTimes(aExplained);
  const bool isLimitReached = times.size() >= kCrashLimit;
  // Only the targets of one node end, while others run the request.
  const std::optional<std::string> node = NodeWithManyCrashes();
  const bool runsElsewhere =
    std::ranges::any_of(m_crashes, [](const Crash& aCrash) { return aCrash.isProvenElsewhere; });
  if (node && runsElsewhere && (!isLimitReached || IsAtOneNode())) {
    const bool canExclude = m_excludedNodes.size() < kExcludedNodeLimit && !m_excludedNodes.contains(*node);
    return QuarantineScope{ .node = canExclude ? node : std::nullopt };
  }
  if (CountCertain() >= kCrashLimit || (isLimitReached && HadTimeForProof(times, aNow))) {
    return QuarantineScope{};
  }
  return std::nullopt;
}

bool
Suspect::NeedsProof(Deadline aNow) const
{
  return CountedTimes({}).size() + 1 >= kCrashLimit && aNow < m_crashes.back().at + kListTime;
}

std::set<std::string>
Suspect::Crashes() const
{
  std::set<std::string> identifiers;
  for (const Crash& crash : m_crashes) {
    identifiers.insert(crash.identifier);
  }
  return identifiers;
}

void
Suspect::ExcludeNode(const std::string& aNode)
{
  m_excludedNodes.insert(aNode);
  std::erase_if(m_crashes, [&](const Crash& aCrash) { return aCrash.place.node == aNode; });
}

void
Suspect::Expire(Deadline aNow)
{
  std::erase_if(m_crashes, [&](const Crash& aCrash) { return aCrash.at + kCrashMemory < aNow; });
}

} // namespace mimosarun
