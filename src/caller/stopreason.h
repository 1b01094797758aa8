#pragma once

namespace mimosarun {

/** Why an entry sends a call to no further gate. */
enum class StopReason
{
  /** The call could still be sent to another gate. */
  None,
  /** The deadline is too near. */
  NoTime,
  /** The call was sent to as many gates as it may be. */
  GateAttemptLimit,
  /** No gate is left that hasn't failed or finally rejected the call. */
  NoGate,
  /** The wait is too long at the gates that rejected the call, and probably at all that are left. */
  WaitTooLong,
  /** The call reached as many targets as its route allows. */
  RetryLimit,
  /** The service's retry budget is used up. */
  RetryBudget,
  /** Targets ended whenever they ran the request. */
  Quarantined,
  /** The node no longer knows whether the caller's key is still in force. */
  CredentialExpired,
  /** The quota of the call's team is used up. */
  Quota,
};

/** Returns the name for logs and metrics. */
const char*
Name(StopReason aReason);

} // namespace mimosarun
