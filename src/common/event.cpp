#include "common/event.h"

#include <algorithm>
#include <array>

namespace mimosarun {

static constexpr std::array kCatalogue{
  EventDescription{ Event::ProcessStarted, Severity::Info, "process-started" },
  EventDescription{ Event::ProcessStopping, Severity::Info, "process-stopping" },
  EventDescription{ Event::PortRefused, Severity::Error, "port-refused" },
  EventDescription{ Event::SettingsReloaded, Severity::Info, "settings-reloaded" },
  EventDescription{ Event::SettingsRefused, Severity::Warning, "settings-refused" },
  EventDescription{ Event::ProcessEndedAtDeadline, Severity::Warning, "process-ended-at-deadline" },
  EventDescription{ Event::OperatorsDrained, Severity::Info, "operators-drained" },
  EventDescription{ Event::GroupFormed, Severity::Info, "group-formed" },
  EventDescription{ Event::LeaderElected, Severity::Info, "leader-elected" },
  EventDescription{ Event::LeaderSteppedDown, Severity::Warning, "leader-stepped-down" },
  EventDescription{ Event::JournalTailCut, Severity::Warning, "journal-tail-cut" },
  EventDescription{ Event::JournalCorrupt, Severity::Error, "journal-corrupt" },
  EventDescription{ Event::StorageFailed, Severity::Error, "storage-failed" },
  EventDescription{ Event::SnapshotTaken, Severity::Info, "snapshot-taken" },
  EventDescription{ Event::SnapshotInstalled, Severity::Info, "snapshot-installed" },
  EventDescription{ Event::MembersChanged, Severity::Info, "members-changed" },
  EventDescription{ Event::ReplicaSilent, Severity::Warning, "replica-silent" },
  EventDescription{ Event::ReplicaHeard, Severity::Info, "replica-heard" },
  EventDescription{ Event::JoinRequested, Severity::Info, "join-requested" },
  EventDescription{ Event::CommitMarkFailed, Severity::Warning, "commit-mark-failed" },
  EventDescription{ Event::LeadershipHandedOver, Severity::Info, "leadership-handed-over" },
  EventDescription{ Event::VersionAccepted, Severity::Info, "version-accepted" },
  EventDescription{ Event::ProposalStored, Severity::Info, "proposal-stored" },
  EventDescription{ Event::CommandRefused, Severity::Warning, "command-refused" },
  EventDescription{ Event::VersionApplied, Severity::Info, "version-applied" },
  EventDescription{ Event::VersionRefused, Severity::Warning, "version-refused" },
  EventDescription{ Event::TargetIntentChanged, Severity::Info, "target-intent-changed" },
  EventDescription{ Event::RolloutStarted, Severity::Info, "rollout-started" },
  EventDescription{ Event::RolloutAdvanced, Severity::Info, "rollout-advanced" },
  EventDescription{ Event::RolloutCompleted, Severity::Info, "rollout-completed" },
  EventDescription{ Event::RolloutRolledBack, Severity::Warning, "rollout-rolled-back" },
  EventDescription{ Event::RolloutAdvanceFailed, Severity::Warning, "rollout-advance-failed" },
  EventDescription{ Event::MemberJoined, Severity::Info, "member-joined" },
  EventDescription{ Event::MemberSuspected, Severity::Warning, "member-suspected" },
  EventDescription{ Event::MemberDead, Severity::Warning, "member-dead" },
  EventDescription{ Event::MemberLeft, Severity::Info, "member-left" },
  EventDescription{ Event::RelayChanged, Severity::Info, "relay-changed" },
  EventDescription{ Event::ControlUnreachable, Severity::Warning, "control-unreachable" },
  EventDescription{ Event::ControlReached, Severity::Info, "control-reached" },
  EventDescription{ Event::MembersRefused, Severity::Warning, "members-refused" },
  EventDescription{ Event::TargetAnnounced, Severity::Info, "target-announced" },
  EventDescription{ Event::TargetLost, Severity::Warning, "target-lost" },
  EventDescription{ Event::TargetPhaseChanged, Severity::Info, "target-phase-changed" },
  EventDescription{ Event::CallRefused, Severity::Info, "call-refused" },
  EventDescription{ Event::CallUnknown, Severity::Warning, "call-unknown" },
  EventDescription{ Event::CallRetried, Severity::Info, "call-retried" },
  EventDescription{ Event::ClaimGranted, Severity::Info, "claim-granted" },
  EventDescription{ Event::ClaimRepeated, Severity::Info, "claim-repeated" },
  EventDescription{ Event::ClaimReleased, Severity::Info, "claim-released" },
  EventDescription{ Event::GateDrained, Severity::Info, "gate-drained" },
  EventDescription{ Event::TargetRateLimitChanged, Severity::Warning, "target-rate-limit-changed" },
  EventDescription{ Event::TargetCrashed, Severity::Warning, "target-crashed" },
  EventDescription{ Event::RequestQuarantined, Severity::Error, "request-quarantined" },
  EventDescription{ Event::ResponseUndelivered, Severity::Warning, "response-undelivered" },
  EventDescription{ Event::GateLeaving, Severity::Info, "gate-leaving" },
  EventDescription{ Event::SuspectsChanged, Severity::Info, "suspects-changed" },
  EventDescription{ Event::RolloutApplied, Severity::Info, "rollout-applied" },
  EventDescription{ Event::TargetVersionForbidden, Severity::Warning, "target-version-forbidden" },
  EventDescription{ Event::TargetVersionAllowed, Severity::Info, "target-version-allowed" },
  EventDescription{ Event::CredentialRefused, Severity::Info, "credential-refused" },
  EventDescription{ Event::CredentialLeaseExpired, Severity::Warning, "credential-lease-expired" },
  EventDescription{ Event::CredentialLeaseHeld, Severity::Info, "credential-lease-held" },
  EventDescription{ Event::QuotaContactLost, Severity::Warning, "quota-contact-lost" },
  EventDescription{ Event::QuotaContactRestored, Severity::Info, "quota-contact-restored" },
  EventDescription{ Event::QuotaLedgerStarted, Severity::Info, "quota-ledger-started" },
};

std::span<const EventDescription>
EventCatalogue()
{
  return kCatalogue;
}

const EventDescription&
Describe(Event aEvent)
{
  const auto* entry =
    std::find_if(kCatalogue.begin(), kCatalogue.end(), [aEvent](const EventDescription& aEntry) {
      return aEntry.event == aEvent;
    });
  return entry == kCatalogue.end() ? kCatalogue.front() : *entry;
}

} // namespace mimosarun
