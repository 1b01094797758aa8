#include "team/credentialgate.h"

#include "common/log.h"

namespace mimosarun {

static constexpr int kLoggedRefusalsPerSecond = 10;
/** About the time until the next reply of control, or until the caller finds another entry. */
static constexpr std::chrono::milliseconds kRetryAfterWithoutValidity{ 500 };

CredentialGate::CredentialGate(Options aOptions)
  : m_options(aOptions)
  , m_logLimit(kLoggedRefusalsPerSecond)
{
}

CredentialDecision
CredentialGate::Check(const Snapshot& aSnapshot,
                      const Route& aRoute,
                      const std::string& aKey,
                      Deadline aNow) const
{
  return CheckCredential(aSnapshot.configuration, aRoute, aKey, MaySend(aSnapshot, aRoute, aNow));
}

bool
CredentialGate::MaySend(const Snapshot& aSnapshot, const Route& aRoute, Deadline aNow) const
{
  const bool needsKey = aSnapshot.configuration.hasTeams && !aRoute.isPublic;
  return !needsKey || m_options.lease == nullptr || m_options.lease->Holds(aSnapshot.version, aNow);
}

static RefusalDetails
DetailsOf(CredentialVerdict aVerdict, const std::string& aCallId)
{
  switch (aVerdict) {
    case CredentialVerdict::MissingKey:
      return { .status = 401,
               .reason = "the request has no key; send it as 'Authorization: Bearer KEY'",
               .callId = aCallId };
    case CredentialVerdict::UnknownKey:
      return { .status = 401, .reason = "the key belongs to no team; use a current one", .callId = aCallId };
    default:
      return { .status = 503,
               .reason = "the entry has no contact to control, so it can't check keys; use another",
               .callId = aCallId,
               .retryAfter = kRetryAfterWithoutValidity };
  }
}

RefusalDetails
CredentialGate::Refuse(CredentialVerdict aVerdict,
                       const Snapshot& aSnapshot,
                       const Route& aRoute,
                       const std::string& aCallId)
{
  m_options.metrics
    ->Counter("mimosarun_entry_credential_refusals_total",
              "Calls refused by the check of their key",
              { { "reason", Name(aVerdict) } })
    .Increment();
  if (m_logLimit.Allow()) {
    Log(Event::CredentialRefused,
        { { "call", aCallId },
          { "route", aRoute.name },
          { "reason", Name(aVerdict) },
          { "version", aSnapshot.version } });
  }
  return DetailsOf(aVerdict, aCallId);
}

} // namespace mimosarun
