#pragma once

#include "common/ratelimit.h"
#include "configuration/snapshot.h"
#include "http/refusal.h"
#include "process/metrics.h"
#include "team/credentialcheck.h"
#include "team/credentiallease.h"

#include <string>

namespace mimosarun {

/** Checks the credentials of an entry's requests, and counts and logs those that it refuses. Thread-safe. */
class CredentialGate
{
public:
  struct Options
  {
    /** Null where keys are honoured without a lease. */
    const CredentialLease* lease = nullptr;
    Metrics* metrics = nullptr;
  };

  explicit CredentialGate(Options aOptions);

  /** Decides whether a request may run; aKey is its key, or empty. */
  CredentialDecision Check(const Snapshot& aSnapshot,
                           const Route& aRoute,
                           const std::string& aKey,
                           Deadline aNow) const;

  /** Returns whether an accepted request may still be sent to a target. */
  bool MaySend(const Snapshot& aSnapshot, const Route& aRoute, Deadline aNow) const;

  /** Counts and logs a refused request and returns what its caller is told. */
  RefusalDetails Refuse(CredentialVerdict aVerdict,
                        const Snapshot& aSnapshot,
                        const Route& aRoute,
                        const std::string& aCallId);

private:
  const Options m_options;
  /** Limits the log records of refused requests, which a caller can send very often. */
  RateLimit m_logLimit;
};

} // namespace mimosarun
