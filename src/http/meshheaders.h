#pragma once

namespace mimosarun {

// Headers of calls; docs/INTERFACE.md describes who sets and reads each of them.

inline constexpr const char* kCallHeader = "Mimosarun-Call";
inline constexpr const char* kOutcomeHeader = "Mimosarun-Outcome";
inline constexpr const char* kTimeoutHeader = "Mimosarun-Timeout-Ms";
inline constexpr const char* kIdempotencyHeader = "Idempotency-Key";
inline constexpr const char* kTeamHeader = "Mimosarun-Team";
inline constexpr const char* kRetryAfterHeader = "Retry-After";

/** Says in a response with status 401 how callers present a key (RFC 6750, section 3). */
inline constexpr const char* kAuthenticateHeader = "WWW-Authenticate";
inline constexpr const char* kBearerScheme = "Bearer";

inline constexpr const char* kTargetLimitHeader = "Mimosarun-Target-Limit";
inline constexpr const char* kTargetStateHeader = "Mimosarun-Target-State";

inline constexpr const char* kTargetStateDraining = "draining";

inline constexpr const char* kOutcomeComplete = "complete";
inline constexpr const char* kOutcomeNotRun = "not-run";
inline constexpr const char* kOutcomeUnknown = "unknown";

} // namespace mimosarun
