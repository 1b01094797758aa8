#pragma once

#include "common/error.h"
#include "configuration/configuration.h"

#include <string>

namespace mimosarun {

/** Returns the digest of a key of a document, which is either the key itself or its marked digest. */
std::string
DigestOfListedKey(const std::string& aKey);

/** Returns the marked digest that replaces a key in the documents of nodes. */
std::string
MarkedDigest(const std::string& aKey);

/** Checks that a team's name can be sent in a header. */
Result<void>
CheckTeamName(const std::string& aName);

/** Adds a team to a configuration; an error names the other team that has the same name or one of its keys.
 */
Result<void>
AddTeam(Configuration& aConfiguration, Team aTeam);

/** Returns whether a document may have a member of this name at any depth; a quick check without parsing. */
bool
MayHaveMember(const std::string& aText, const std::string& aName);

} // namespace mimosarun
