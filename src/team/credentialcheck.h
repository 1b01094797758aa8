#pragma once

#include "configuration/configuration.h"

#include <string>

namespace mimosarun {

/** Result of the check of a request's credential. */
enum class CredentialVerdict
{
  /** The configuration has no teams, or the route is public. */
  NotRequired,
  Accepted,
  MissingKey,
  UnknownKey,
  /** The node doesn't know whether its configuration is still in force. */
  NoValidity,
};

/** Returns the name for logs and metrics. */
const char*
Name(CredentialVerdict aVerdict);

/** A verdict and, if a key was accepted, its team, which the configuration owns. */
struct CredentialDecision
{
  CredentialVerdict verdict = CredentialVerdict::NotRequired;
  const Team* team = nullptr;

  bool IsRefused() const
  {
    return verdict != CredentialVerdict::NotRequired && verdict != CredentialVerdict::Accepted;
  }
};

/**
 * Decides whether a request may run.
 *
 * @param aKey key of the request; empty if it has none
 * @param aIsValid whether the keys of the configuration may still be honoured
 */
CredentialDecision
CheckCredential(const Configuration& aConfiguration,
                const Route& aRoute,
                const std::string& aKey,
                bool aIsValid);

} // namespace mimosarun
