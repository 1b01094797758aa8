#pragma once

#include "common/clock.h"
#include "control/raftlog.h"
#include "wire/gen-cpp/mesh_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mimosarun {

/** Role of a replica in its group. */
enum class RaftRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/** Changes of a step that are persisted in the order of the fields, and messages that are sent afterwards. */
struct RaftOutput
{
  bool ballotChanged = false;
  std::optional<wire::SnapshotFile> installedSnapshot;
  std::optional<int64_t> truncateFromIndex;
  std::vector<wire::LogEntry> newEntries;
  std::vector<wire::RaftMessage> messages;
};

/** Persisted state from which a replica starts. */
struct RaftState
{
  wire::Ballot ballot;
  wire::SnapshotFile snapshot;
  std::vector<wire::LogEntry> entries;
  /** Index up to which the entries are known to be committed. */
  int64_t commitIndex = 0;
};

/**
 * Consensus logic of one replica of a replicated log (Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm", 2014), with pre-vote, check-quorum, learners and membership changes
 * of one voter at a time. It performs no I/O and reads no clock, so property tests can drive it.
 *
 * Messages carry the incarnations of sender and receiver. A replica that lost its data folder therefore
 * ignores messages for its previous incarnation, and its votes don't count until it has joined again.
 */
class RaftCore
{
public:
  struct Options
  {
    std::string group;
    std::string name;
    int64_t incarnation = 0;
    /** Address at which other replicas reach this one; empty if their settings contain it. */
    std::string address;
    std::chrono::milliseconds heartbeatInterval{ 150 };
    /** Minimum election timeout; the maximum is twice as long. */
    std::chrono::milliseconds electionTimeout{ 900 };
    /** Added to the election timeout, so that other replicas stand for election first. */
    std::chrono::milliseconds electionDelay{ 0 };
    uint64_t seed = 0;
  };

  RaftCore(Options aOptions, RaftState aState, Deadline aNow);

  /** Starts elections, sends heartbeats, and steps down as leader if a quorum doesn't reply. */
  void Tick(Deadline aNow);

  /**
   * Handles a message. Ignores messages for another incarnation, and replies of unknown senders. Votes are
   * granted by the members that the candidate knows, of which this replica is a voter.
   */
  void Receive(const wire::RaftMessage& aMessage, Deadline aNow);

  /** Appends a command on the leader and returns its log index; returns nullopt on other replicas. */
  std::optional<int64_t> Propose(wire::Command aCommand, Deadline aNow);

  /**
   * Proposes a member list that differs by at most one voter and returns its log index. Returns nullopt
   * unless this replica leads, and the last membership change and an entry of the current term are committed.
   */
  std::optional<int64_t> ProposeMembers(std::vector<wire::Replica> aMembers, Deadline aNow);

  /** On the leader: sends heartbeats to the voters immediately, so that LeadershipConfirmedSince() can become
   * true. */
  void StartHeartbeatRound(Deadline aNow);

  /**
   * Returns whether a quorum answered a heartbeat round that this leader started at aSince or later, and an
   * entry of its term is committed. The log then holds all entries that any leader committed before aSince.
   */
  bool LeadershipConfirmedSince(Deadline aSince) const;

  /**
   * On the leader: asks a voter that holds the whole log to start an election at once, once all entries are
   * committed, and returns its name. Returns nullopt if none can be asked now.
   */
  std::optional<std::string> HandOver(Deadline aNow);

  /** Returns the pending output and clears it. */
  RaftOutput TakeOutput();

  /** Records that the log is persisted up to an index. */
  void MarkPersisted(int64_t aIndex);

  /** Returns the committed entries that no earlier call returned. */
  std::vector<wire::LogEntry> TakeCommittedEntries();

  /** Replaces the applied entries by a snapshot of the state and returns it; the caller persists it. */
  wire::SnapshotFile Compact(std::string aState);

  RaftRole Role() const;
  const std::string& Leader() const;
  int64_t Term() const;
  const wire::Ballot& CurrentBallot() const;
  int64_t LastIndex() const;
  int64_t CommitIndex() const;
  int64_t AppliedIndex() const;
  int64_t SnapshotIndex() const;
  const std::vector<wire::Replica>& Members() const;
  const std::vector<wire::LogEntry>& Entries() const;

  /** Returns the size of the bodies of all entries of the log. */
  size_t LogBodyBytes() const { return m_log.BodyBytes(); }

  /** Returns whether the newest membership change is committed. */
  bool IsMembershipCommitted() const;

  /** On the leader: returns the time of a member's last reply, or nullopt without one. */
  std::optional<Deadline> LastReplyTime(const std::string& aName) const;

  /**
   * On the leader: returns since when nothing was heard of a member. Without a reply that is the election, or
   * the last message of the member if it led before.
   */
  Deadline SilentSince(const std::string& aName) const;

  /** On the leader: returns whether a member holds nearly the whole log. */
  bool IsCaughtUp(const std::string& aName) const;

private:
  /** Replication progress of a member, as the leader knows it. */
  struct Progress
  {
    /** Incarnation of the member whose progress this is. */
    int64_t incarnation = 0;
    int64_t nextIndex = 1;
    int64_t matchIndex = 0;
    std::optional<Deadline> lastReplyAt;
    Deadline silentSince{};
    /** Send time of the newest heartbeat round that the member answered. */
    Deadline answeredRoundSentAt{};
    Deadline nextSnapshotAt{};
    Deadline lastSentAt{};
    /** Commit index that was last sent to the member. */
    int64_t sentCommitIndex = 0;
  };

  const wire::Replica* FindMember(const std::string& aName) const;
  bool IsVoter() const;
  int QuorumSize() const;

  void BecomeFollower(int64_t aTerm, const std::string& aLeader, Deadline aNow);
  void StartPreVote(Deadline aNow);
  /** @param aKind Vote, or TransferVote if the leader asked for the election */
  void StartVote(wire::RaftKind::type aKind, Deadline aNow);
  void BecomeLeader(Deadline aNow);
  void ResetElectionTimer(Deadline aNow);
  /** Sets the time at which an election that has no result by then is repeated. */
  void ResetCandidacyTimer(Deadline aNow);
  /** Lets a candidate go first, so that two that stand at the same time don't split the votes. */
  void DeferTo(const std::string& aCandidate, Deadline aNow);
  std::chrono::milliseconds RandomTimeout(std::chrono::milliseconds aMinimum,
                                          std::chrono::milliseconds aMaximum);
  void RecordLeaderHeard(const std::string& aLeader, Deadline aNow);
  void SetBallot(int64_t aTerm, const std::string& aVotedFor);
  bool HeardLeaderRecently(Deadline aNow) const;
  bool IsUpToDate(const wire::RaftMessage& aMessage) const;

  void OnTimeoutNow(const wire::RaftMessage& aMessage, Deadline aNow);
  void OnVoteRequest(const wire::RaftMessage& aMessage, Deadline aNow);
  void OnVoteReply(const wire::RaftMessage& aMessage, Deadline aNow);
  void OnAppend(const wire::RaftMessage& aMessage, Deadline aNow);
  void OnAppendReply(const wire::RaftMessage& aMessage, Deadline aNow);
  void OnSnapshot(const wire::RaftMessage& aMessage, Deadline aNow);

  void AppendAsLeader(wire::Command aCommand, Deadline aNow);
  void AppendFromLeader(const std::vector<wire::LogEntry>& aEntries);
  void SendAppend(const wire::Replica& aMember, Deadline aNow);
  void SendSnapshot(const wire::Replica& aMember, Progress& aProgress, Deadline aNow);
  void Broadcast(Deadline aNow);
  /** Whether a learner needs entries, the commit index, or a heartbeat. */
  bool IsLearnerDue(const wire::Replica& aLearner, Deadline aNow) const;
  void RequestVotes(wire::RaftKind::type aKind, int64_t aTerm);
  void AdvanceCommitIndex();
  bool HasQuorumOfRecentReplies(Deadline aNow) const;
  wire::RaftMessage MakeMessage(wire::RaftKind::type aKind, const wire::Replica& aMember) const;
  wire::RaftMessage MakeReply(wire::RaftKind::type aKind, const wire::RaftMessage& aTo) const;

  Options m_options;
  std::mt19937_64 m_random;
  wire::Ballot m_ballot;
  RaftLog m_log;

  RaftRole m_role = RaftRole::Follower;
  std::string m_leader;
  std::map<std::string, bool> m_votes;
  std::map<std::string, Progress> m_progress;
  int64_t m_commitIndex = 0;
  int64_t m_appliedIndex = 0;
  int64_t m_persistedIndex = 0;
  Deadline m_electionDeadline{};
  Deadline m_heartbeatDeadline{};
  std::optional<Deadline> m_leaderHeardAt;
  /** Leader whose message was the last one; empty if there was none since this replica led. */
  std::string m_leaderHeardLast;
  /** Whether this replica has let a candidate go first since then. */
  bool m_deferred = false;
  RaftOutput m_output;
};

} // namespace mimosarun
