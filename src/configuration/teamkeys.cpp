#include "configuration/teamkeys.h"

#include "common/digest.h"

#include <algorithm>
#include <string_view>

namespace mimosarun {

/** Marks a digest among the keys of a document. */
static constexpr std::string_view kDigestMark = "sha256:";
static constexpr size_t kDigestLength = 64;

static bool
IsDigest(std::string_view aText)
{
  return aText.size() == kDigestLength && std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return (aCharacter >= '0' && aCharacter <= '9') || (aCharacter >= 'a' && aCharacter <= 'f');
         });
}

std::string
DigestOfListedKey(const std::string& aKey)
{
  const bool isMarked = aKey.starts_with(kDigestMark) && IsDigest(aKey.substr(kDigestMark.size()));
  return isMarked ? aKey.substr(kDigestMark.size()) : Sha256(aKey);
}

std::string
MarkedDigest(const std::string& aKey)
{
  // A key that looks like a marked digest is digested too, so that nodes take it for what callers send.
  return std::string(kDigestMark) + Sha256(aKey);
}

Result<void>
CheckTeamName(const std::string& aName)
{
  if (aName.empty()) {
    return Fail(ErrorKind::InvalidInput, "must not be empty; name the team");
  }
  const bool hasControlCharacter = std::any_of(aName.begin(), aName.end(), [](unsigned char aCharacter) {
    return aCharacter < ' ' || aCharacter == 127;
  });
  if (hasControlCharacter || aName.front() == ' ' || aName.back() == ' ') {
    return Fail(ErrorKind::InvalidInput,
                "can't be sent in a header; remove control characters and blanks at its ends");
  }
  return boost::outcome_v2::success();
}

Result<void>
AddTeam(Configuration& aConfiguration, Team aTeam)
{
  if (aConfiguration.teams.contains(aTeam.name)) {
    return Fail(ErrorKind::InvalidInput, "team '" + aTeam.name + "' occurs twice; rename or remove one");
  }
  for (const std::string& digest : aTeam.keyDigests) {
    const auto [entry, isNew] = aConfiguration.teamByKeyDigest.emplace(digest, aTeam.name);
    if (!isNew && entry->second != aTeam.name) {
      return Fail(ErrorKind::InvalidInput,
                  "teams '" + entry->second + "' and '" + aTeam.name +
                    "' have the same key; give each its own");
    }
  }
  aConfiguration.teams[aTeam.name] = std::move(aTeam);
  return boost::outcome_v2::success();
}

bool
MayHaveMember(const std::string& aText, const std::string& aName)
{
  // The name may also be written with escapes.
  return aText.find("\"" + aName + "\"") != std::string::npos || aText.find("\\u") != std::string::npos;
}

} // namespace mimosarun
