// Messages between the processes of the system. The generated code is committed in src/wire/gen-cpp;
// scripts/generate writes it anew.
namespace cpp mimosarun.wire

// A hybrid logical clock reading.
struct Stamp {
  1: i64 physicalMicros = 0,
  2: i32 logical = 0,
}

// One control replica as a member of a replicated log. The incarnation names one life of its data folder.
struct Replica {
  1: string name,
  2: i64 incarnation = 0,
  3: string region,
  4: string failureDomain,
  5: bool voter = true,
  // Where other replicas reach this one; empty where the settings of each process say it.
  6: string address,
}

enum CommandKind {
  Noop = 0,
  Propose = 1,
  Accept = 2,
  SetTargetState = 3,
  ChangeMembers = 4,
  Claim = 5,
  Complete = 6,
  Release = 7,
  Expire = 8,
  // Puts a whole document under a version number that the operator chose.
  Replace = 9,
  // Begins to move a service's traffic to the targets of another version.
  StartRollout = 10,
  // Changes stage, share or state of a roll-out whose revision is still the one that the command names.
  AdvanceRollout = 11,
}

enum RolloutState {
  Running = 0,
  Completed = 1,
  RolledBack = 2,
}

// The latest roll-out of a service.
struct RolloutRecord {
  1: string serviceName,
  2: string candidateVersion,
  3: i64 durationMillis = 0,
  4: i64 orderedAtMicros = 0,
  5: RolloutState state = RolloutState.Running,
  6: string stage,
  // Share of the service's calls that goes to the new version.
  7: i32 candidatePermille = 0,
  // Grows with each change of any service's roll-out.
  8: i64 revision = 0,
  9: string reason,
  // Time since the order when this record was written.
  10: i64 elapsedMillis = 0,
  // Versions whose roll-outs were rolled back; no target of them gets calls.
  11: list<string> rejectedVersions,
  // Number of new targets that get most of the canary's calls; 0 spreads them over all.
  12: i32 canaryTargets = 0,
}

// All roll-outs that a replica knows, at a revision.
struct RolloutSet {
  1: i64 revision = 0,
  2: list<RolloutRecord> rollouts,
}

// Responses of one version's target to the calls of one route, since the node's process started.
struct VersionOutcomes {
  1: string serviceName,
  2: string version,
  3: string route,
  4: i64 responses = 0,
  5: i64 failures = 0,
  // Numbers of responses by the buckets of LatencyBuckets.
  6: list<i32> latencyCounts,
}

// What one node has seen of its target while a roll-out of the target's service runs.
struct NodeOutcomes {
  1: string node,
  2: i64 incarnation = 0,
  3: i64 sequence = 0,
  4: list<VersionOutcomes> outcomes,
  // Revision of the roll-outs that the node applies.
  5: i64 appliedRevision = 0,
  6: i64 ageMillis = 0,
  7: string serviceName,
  8: string version,
  // Calls that hold a slot of the target or wait for one.
  9: i32 openCalls = 0,
}

enum TargetIntent {
  Serving = 0,
  Draining = 1,
  Stopped = 2,
}

// One command of a replicated log; the kind tells which fields are in use.
struct Command {
  1: CommandKind kind = CommandKind.Noop,
  2: string requestId,
  3: string author,
  4: i64 basedOn = 0,
  5: i64 proposal = 0,
  6: string body,
  7: string target,
  8: TargetIntent intent = TargetIntent.Serving,
  9: list<Replica> members,
  10: string key,
  11: string token,
  12: i32 status = 0,
  13: string contentType,
  14: i64 atMicros = 0,
  15: string fingerprint,
  // Replace: the version that the operator chose, and the hash of the document's text.
  16: i64 version = 0,
  17: string hash,
  // Replace: the body is compressed against the text of version basedOn.
  18: bool delta = false,
  19: optional RolloutRecord rollout,
}

struct LogEntry {
  1: i64 index = 0,
  2: i64 term = 0,
  3: Command command,
}

enum RaftKind {
  PreVote = 0,
  PreVoteReply = 1,
  Vote = 2,
  VoteReply = 3,
  Append = 4,
  AppendReply = 5,
  Snapshot = 6,
  // A leader that leaves asks a voter to start an election at once.
  TimeoutNow = 7,
  // A vote in such an election, in which the leader that is still heard doesn't count.
  TransferVote = 8,
}

struct RaftMessage {
  1: string group,
  2: RaftKind kind = RaftKind.PreVote,
  3: string sender,
  4: i64 senderIncarnation = 0,
  5: string receiver,
  6: i64 receiverIncarnation = 0,
  7: i64 term = 0,
  8: i64 logIndex = 0,
  9: i64 logTerm = 0,
  10: i64 commit = 0,
  11: bool granted = false,
  12: list<LogEntry> entries,
  13: string snapshot,
  14: list<Replica> members,
  15: i64 round = 0,
  // Where the sender can be reached; empty where settings say it.
  16: string senderAddress,
}

struct RaftBatch {
  1: Stamp sentAt,
  2: list<RaftMessage> messages,
}

// The durable term and vote of a replica.
struct Ballot {
  1: i64 term = 0,
  2: string votedFor,
}

// How far a replica knows its log to be committed.
struct CommitMark {
  1: i64 index = 0,
}

// A checksummed state of a replicated log up to an index.
struct SnapshotFile {
  1: i64 index = 0,
  2: i64 term = 0,
  3: list<Replica> members,
  4: string state,
}

struct GroupStatus {
  1: string group,
  2: bool formed = false,
  3: string replica,
  4: i64 incarnation = 0,
  5: string leader,
  6: i64 term = 0,
  7: i64 commit = 0,
  8: i64 applied = 0,
  9: list<Replica> members,
  10: map<string, i64> silentMillis,
  11: i64 lastIndex = 0,
  12: bool failed = false,
}

enum ResultCode {
  Done = 0,
  NotLeader = 1,
  Unknown = 2,
  StaleBase = 3,
  NoSuchProposal = 4,
  Invalid = 5,
  Taken = 6,
  Unavailable = 7,
}

struct CommandResult {
  1: ResultCode code = ResultCode.Done,
  2: string message,
  3: i64 version = 0,
  4: i64 proposal = 0,
  5: string leader,
  6: bool finished = false,
  7: i32 status = 0,
  8: string contentType,
  9: string body,
}

// A change of the configuration between two versions: the new text, compressed against the old one, and its hash.
struct ConfigurationUpdate {
  1: i64 fromVersion = 0,
  2: i64 toVersion = 0,
  3: string hash,
  4: bool whole = false,
  5: binary payload,
}

// Whether a replica leads for certain, and up to where its log is committed.
struct ReadIndex {
  1: bool confirmed = false,
  2: i64 index = 0,
  3: string leader,
}

struct ClaimRecord {
  1: string key,
  2: string token,
  3: i64 claimedAtMicros = 0,
  4: bool finished = false,
  5: i32 status = 0,
  6: string contentType,
  7: string body,
  8: string fingerprint,
}

struct StoredResult {
  1: string requestId,
  2: CommandResult result,
}

struct ClaimImage {
  1: list<ClaimRecord> claims,
  2: list<StoredResult> results,
}

struct Proposal {
  1: i64 number = 0,
  2: i64 basedOn = 0,
  3: string author,
  4: string body,
  5: i64 atMicros = 0,
}

struct VersionRecord {
  1: i64 version = 0,
  2: string author,
  3: string summary,
  4: i64 atMicros = 0,
  5: string hash,
}

struct ConfigurationImage {
  1: i64 version = 0,
  3: list<VersionRecord> history,
  4: list<Proposal> proposals,
  5: i64 nextProposal = 1,
  6: list<StoredResult> results,
  // Texts of recent versions, the current one last: the oldest whole, each other as a difference.
  7: list<ConfigurationUpdate> updates,
  8: list<RolloutRecord> rollouts,
  9: i64 rolloutRevision = 0,
}

enum MemberState {
  Alive = 0,
  Suspect = 1,
  Dead = 2,
  Leaving = 3,
}

enum TargetPhase {
  Absent = 0,
  Starting = 1,
  Ready = 2,
  Draining = 3,
}

// What a node says of itself and of its target.
struct Member {
  1: string name,
  2: i64 incarnation = 0,
  3: i64 revision = 0,
  4: MemberState state = MemberState.Alive,
  5: string region,
  6: string failureDomain,
  7: string peerAddress,
  8: string gateAddress,
  9: string serviceName,
  10: string targetName,
  11: TargetPhase phase = TargetPhase.Absent,
  12: i32 slots = 0,
  13: i64 version = 0,
  // How long the target stays slow after its start, as it said last.
  14: i32 warmUpMillis = 0,
  // Version of the target's software, if it names one.
  15: optional string softwareVersion,
}

// Members that are sent together.
struct MemberBatch {
  1: list<Member> members,
}

struct Gossip {
  1: Stamp sentAt,
  2: string sender,
  3: list<Member> members,
  4: i64 version = 0,
  7: i64 digest = 0,
  8: bool mesh = false,
  // Digests of the parts of the sender's table, where it looks for what the two tables don't share.
  9: list<i64> parts,
  // A compressed MemberBatch, in place of the members where there are several.
  10: binary packedMembers,
}

struct GossipReply {
  1: list<Member> members,
  2: i64 version = 0,
  3: Stamp sentAt,
  4: i64 digest = 0,
  5: string name,
  // Parts in which the tables differ; their records are among the members.
  6: list<i32> differing,
  // A compressed MemberBatch, in place of the members where there are several.
  7: binary packedMembers,
}

// What a relay tells control of its failure domain.
struct DomainReport {
  1: string failureDomain,
  2: string region,
  3: string relay,
  4: i32 alive = 0,
  5: map<i64, i32> nodesAtVersion,
  6: list<string> stragglers,
  7: list<Member> sample,
  8: i64 ageMillis = 0,
}

// A target that a node watches, whichever its incarnation.
struct TargetPlace {
  1: string node,
  2: string serviceName,
  3: string version,
}

// A request that ran on a target, and whether it runs to its end there.
struct CrashSuspect {
  1: string fingerprint,
  // Time for which it has run to its end there again and again; absent if it hasn't.
  2: optional i64 provenMillisAgo,
}

// The end of a target's process, and the requests that ran on the target then.
struct TargetCrash {
  1: string identifier,
  2: string target,
  4: TargetPlace place,
  5: list<CrashSuspect> suspects,
  // Whether the node has watched the target for too short a time to know what runs to its end there.
  6: bool isNewlyWatched = false,
}

// A target that runs requests to their end, and the suspects among them; there may be none.
struct ProvenRuns {
  1: TargetPlace place,
  2: list<CrashSuspect> requests,
}

// A request that targets may not run, since targets ended whenever they ran it.
struct QuarantinedRequest {
  1: string fingerprint,
  2: i64 millisLeft = 0,
  // The only node whose target may not run it; absent if no target may.
  3: optional string node,
}

// A state of a replica's lists of quarantined and of suspected requests.
struct QuarantineMark {
  // Names one life of the replica's process.
  1: i64 epoch = 0,
  2: i64 revision = 0,
}

struct WatchRequest {
  1: i64 heldVersion = 0,
  2: i32 waitMillis = 0,
  3: DomainReport report,
  4: Stamp sentAt,
  5: string failureDomain,
  // Whether the answer should carry members to meet.
  6: bool wantsMembers = true,
  // A node that has just started says who it is, so that others learn of it.
  7: list<Member> introduced,
  // The state of the replica's lists that the node has seen.
  8: QuarantineMark quarantineSeen,
  // What the node knows, for a replica that it has just turned to.
  9: list<QuarantinedRequest> quarantined,
  // Revision of the roll-outs that the node applies; absent from a node that wants none.
  10: optional i64 rolloutRevision,
  11: optional NodeOutcomes outcomes,
}

// Until when a node may rely on its configuration: a quorum confirmed the version as the newest one.
struct Validity {
  1: i64 version = 0,
  // Time from the question to the quorum until the reply was sent.
  2: i32 ageMillis = 0,
  // Time for which the replica held the request.
  3: i32 heldMillis = 0,
}

// What a node used of a team's quota.
struct QuotaUsage {
  // Position of the team among the names of the configuration's teams, sorted.
  1: i32 team = 0,
  // Requests admitted since the node's process started, without those that ran nowhere.
  2: i64 usedTotal = 0,
  // Recent requests per second, admitted or not, in thousandths.
  3: i32 demandMilli = 0,
  // Requests that wait for a grant.
  4: i32 waiting = 0,
  // Rate without contact that the node holds, in thousandths of a request per second.
  5: i32 fallbackMilli = 0,
}

struct QuotaRequest {
  1: string node,
  2: i64 incarnation = 0,
  3: i64 sequence = 0,
  // Version of the configuration that numbers the teams.
  4: i64 version = 0,
  5: list<QuotaUsage> usages,
  // Time since the node's process started; negative if it isn't known.
  6: i64 ageMillis = -1,
}

// What a node may use of a team's quota.
struct QuotaGrant {
  1: i32 team = 0,
  // Value that usedTotal may reach.
  2: i64 allowedTotal = 0,
  // Time for which the grant holds.
  3: i32 validMillis = 0,
  // Rate at which the node may go on without contact, in thousandths of a request per second.
  4: i32 fallbackMilli = 0,
  // Time until the quota has room again; 0 if it has.
  5: i32 dueMillis = 0,
}

struct QuotaReply {
  // Whether the replica leads; otherwise the name of the leader that it knows.
  1: bool granted = false,
  2: string leader,
  3: i64 version = 0,
  4: list<QuotaGrant> grants,
  // Time until the node's next report.
  5: i32 intervalMillis = 0,
}

struct WatchReply {
  1: ConfigurationUpdate update,
  2: list<Member> sample,
  3: Stamp sentAt,
  4: bool unchanged = true,
  // Whether this replica hears a leader; otherwise its configuration may be old.
  5: bool current = true,
  // The replicas of the configuration's log with their addresses.
  6: list<Replica> replicas,
  7: QuarantineMark quarantineMark,
  // The whole lists, if the node hasn't seen their newest state.
  8: list<QuarantinedRequest> quarantined,
  // All roll-outs, if the node applies an older revision.
  9: optional RolloutSet rollouts,
  10: optional Validity validity,
  // Fingerprints of the requests of which control asks whether they run to their end.
  11: list<string> suspects,
}

service ControlPeer {
  // Hands over messages of replicated logs; the answer carries what this replica has to say to the sender.
  RaftBatch deliver(1: RaftBatch batch),
  // The state of one group as this replica sees it.
  GroupStatus status(1: string group),
  // Asks to be taken into a group as a learner under a new incarnation.
  CommandResult join(1: string group, 2: Replica replica),
  // Confirms by a round of answers that this replica leads, and gives its commit index.
  ReadIndex readIndex(1: string group, 2: i32 waitMillis),
  // Runs a command on this replica if it leads the group.
  CommandResult submit(1: string group, 2: Command command, 3: i32 waitMillis),
  // Long poll of a relay for a newer configuration; carries its report.
  WatchReply watch(1: WatchRequest request),
  // The reports of failure domains that this replica holds, with a few members of each if they are wanted.
  list<DomainReport> reports(1: bool withMembers),
  // Reports the end of a target's process; each replica gets the report.
  void reportCrash(1: TargetCrash crash),
  // Reports suspects that run to their end; each replica gets the report.
  void reportRuns(1: ProvenRuns runs),
  // What this replica holds of the nodes that poll it, for the leader of a running roll-out.
  list<NodeOutcomes> outcomes(),
  // Reports a node's use of the teams' quotas and grants it more.
  QuotaReply quota(1: QuotaRequest request),
}

service NodePeer {
  // Exchange of member records; the answer is also the liveness probe.
  GossipReply exchange(1: Gossip gossip),
  // Probes another node on behalf of the caller.
  bool probe(1: string name, 2: string address),
  // Change from a held version to this node's own.
  ConfigurationUpdate fetch(1: i64 heldVersion),
  // The control replicas that this node knows; none if they don't answer it.
  list<Replica> controlReplicas(),
}
