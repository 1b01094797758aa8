#include "caller/stopreason.h"

namespace mimosarun {

const char*
Name(StopReason aReason)
{
  switch (aReason) {
    case StopReason::None:
      return "none";
    case StopReason::NoTime:
      return "no-time";
    case StopReason::GateAttemptLimit:
      return "gate-attempt-limit";
    case StopReason::NoGate:
      return "no-gate";
    case StopReason::WaitTooLong:
      return "wait-too-long";
    case StopReason::RetryLimit:
      return "retry-limit";
    case StopReason::RetryBudget:
      return "retry-budget";
    case StopReason::Quarantined:
      return "quarantined";
    case StopReason::CredentialExpired:
      return "credential-expired";
    case StopReason::Quota:
      return "quota";
  }
  return "none";
}

} // namespace mimosarun
