#pragma once

#include <span>
#include <string_view>

namespace mimosarun {

/** Log events by number; docs/EVENTS.md lists the meaning and the remedy of each. */
enum class Event
{
  ProcessStarted = 100,
  ProcessStopping = 101,
  PortRefused = 103,
  SettingsReloaded = 104,
  SettingsRefused = 105,
  ProcessEndedAtDeadline = 106,
  OperatorsDrained = 107,

  GroupFormed = 200,
  LeaderElected = 201,
  LeaderSteppedDown = 202,
  JournalTailCut = 203,
  JournalCorrupt = 204,
  StorageFailed = 205,
  SnapshotTaken = 206,
  SnapshotInstalled = 207,
  MembersChanged = 208,
  ReplicaSilent = 209,
  ReplicaHeard = 210,
  JoinRequested = 211,
  CommitMarkFailed = 212,
  LeadershipHandedOver = 213,

  VersionAccepted = 300,
  ProposalStored = 301,
  CommandRefused = 302,
  VersionApplied = 303,
  VersionRefused = 304,
  TargetIntentChanged = 305,
  RolloutStarted = 310,
  RolloutAdvanced = 311,
  RolloutCompleted = 312,
  RolloutRolledBack = 313,
  RolloutAdvanceFailed = 314,

  MemberJoined = 400,
  MemberSuspected = 401,
  MemberDead = 402,
  MemberLeft = 403,
  RelayChanged = 404,
  ControlUnreachable = 405,
  ControlReached = 406,
  MembersRefused = 407,

  TargetAnnounced = 500,
  TargetLost = 501,
  TargetPhaseChanged = 502,
  CallRefused = 503,
  CallUnknown = 504,
  CallRetried = 505,
  ClaimGranted = 506,
  ClaimRepeated = 507,
  ClaimReleased = 508,
  GateDrained = 509,
  TargetRateLimitChanged = 510,
  TargetCrashed = 511,
  RequestQuarantined = 512,
  ResponseUndelivered = 513,
  GateLeaving = 514,
  SuspectsChanged = 515,

  RolloutApplied = 520,
  TargetVersionForbidden = 521,
  TargetVersionAllowed = 522,

  CredentialRefused = 530,
  CredentialLeaseExpired = 531,
  CredentialLeaseHeld = 532,

  QuotaContactLost = 540,
  QuotaContactRestored = 541,
  QuotaLedgerStarted = 542,
};

enum class Severity
{
  Info,
  Warning,
  Error,
};

/** An entry of the event catalogue. */
struct EventDescription
{
  Event event;
  Severity severity;
  std::string_view name;
};

/** Returns the descriptions of all events in ascending order of their numbers. */
std::span<const EventDescription>
EventCatalogue();

/** Returns the description of an event. */
const EventDescription&
Describe(Event aEvent);

} // namespace mimosarun
