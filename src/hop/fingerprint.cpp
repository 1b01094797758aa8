#include "hop/fingerprint.h"

#include "common/digest.h"

namespace mimosarun {

static constexpr size_t kFingerprintDigits = 32;

std::string
RequestFingerprint(const std::string& aRoute, const std::string& aTeam, const HttpRequest& aRequest)
{
  std::string identity = aRoute;
  for (const std::string* part : { &aTeam, &aRequest.method, &aRequest.requestTarget, &aRequest.body }) {
    identity += "\n" + *part;
  }
  return Sha256(identity).substr(0, kFingerprintDigits);
}

} // namespace mimosarun
