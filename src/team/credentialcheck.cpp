#include "team/credentialcheck.h"

#include "common/digest.h"

namespace mimosarun {

const char*
Name(CredentialVerdict aVerdict)
{
  switch (aVerdict) {
    case CredentialVerdict::NotRequired:
      return "not-required";
    case CredentialVerdict::Accepted:
      return "accepted";
    case CredentialVerdict::MissingKey:
      return "missing-key";
    case CredentialVerdict::UnknownKey:
      return "unknown-key";
    case CredentialVerdict::NoValidity:
      return "no-validity";
  }
  return "not-required";
}

CredentialDecision
CheckCredential(const Configuration& aConfiguration,
                const Route& aRoute,
                const std::string& aKey,
                bool aIsValid)
{
  if (!aConfiguration.hasTeams || aRoute.isPublic) {
    return { .verdict = CredentialVerdict::NotRequired };
  }
  // An outdated configuration may lack a new key, so nothing is said about the key then.
  if (!aIsValid) {
    return { .verdict = CredentialVerdict::NoValidity };
  }
  if (aKey.empty()) {
    return { .verdict = CredentialVerdict::MissingKey };
  }
  const auto team = aConfiguration.teamByKeyDigest.find(Sha256(aKey));
  if (team == aConfiguration.teamByKeyDigest.end()) {
    return { .verdict = CredentialVerdict::UnknownKey };
  }
  return { .verdict = CredentialVerdict::Accepted, .team = &aConfiguration.teams.at(team->second) };
}

} // namespace mimosarun
