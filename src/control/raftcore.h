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

/** Part that a replica plays in its group. */
enum class RaftRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/** What has to be stored and sent after a step; stored first, in the order of the members. */
struct RaftOutput
{
  bool ballotChanged = false;
  std::optional<wire::SnapshotFile> installedSnapshot;
  std::optional<int64_t> truncateFromIndex;
  std::vector<wire::LogEntry> newEntries;
  std::vector<wire::RaftMessage> messages;
};

/** Durable state from which a replica starts. */
struct RaftState
{
  wire::Ballot ballot;
  wire::SnapshotFile snapshot;
  std::vector<wire::LogEntry> entries;
  /** Index up to which the entries are known to be committed. */
  int64_t commitIndex = 0;
};

/**
 * The deciding part of one replica of a replicated log (Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm", 2014), with pre-vote, check-quorum, learners and one-at-a-time
 * membership changes. It does no input or output and reads no clock, so properties can be checked on it.
 *
 * Messages carry the incarnations of both ends: a replica whose folder was lost gets none of the messages
 * meant for its former life and its votes are not counted for it.
 */
class RaftCore
{
public:
  struct Options
  {
    std::string group;
    std::string name;
    int64_t incarnation = 0;
    /** Where other replicas reach this one; empty where settings say it. */
    std::string address;
    std::chrono::milliseconds heartbeat{ 150 };
    /** Shortest election timeout; the longest is twice as long. */
    std::chrono::milliseconds electionTimeout{ 900 };
    /** Added before this replica stands for election, so that others come first. */
    std::chrono::milliseconds electionDelay{ 0 };
    uint64_t seed = 0;
  };

  RaftCore(Options aOptions, RaftState aState, Deadline aNow);

  /** Starts elections, sends heartbeats, steps down without a quorum. */
  void Tick(Deadline aNow);

  /** Takes in a message; one for another incarnation or from a stranger is ignored. */
  void Receive(const wire::RaftMessage& aMessage, Deadline aNow);

  /** Appends a command on the leader; gives its index, or nothing on other replicas. */
  std::optional<int64_t> Propose(wire::Command aCommand, Deadline aNow);

  /**
   * Proposes a new list of members that differs by one voter. Gives nothing unless this replica leads, the
   * last change is committed and so is an entry of the current term.
   */
  std::optional<int64_t> ProposeMembers(std::vector<wire::Replica> aMembers, Deadline aNow);

  /** On the leader: asks all members for an answer at once, so that ConfirmedSince() may become true. */
  void StartHeartbeatRound(Deadline aNow);

  /**
   * Whether a quorum has answered a round that this leader began at a time or later, and an entry of its term
   * is committed. Then nothing was committed by another leader before that time that this one doesn't hold.
   */
  bool LeadershipConfirmedSince(Deadline aSince) const;

  /** Takes what has to be stored and sent. */
  RaftOutput TakeOutput();

  /** Tells that all output up to an index is stored. */
  void MarkPersisted(int64_t aIndex);

  /** Committed entries that were not taken before. */
  std::vector<wire::LogEntry> TakeCommittedEntries();

  /** Replaces applied entries by a snapshot of the state; the caller stores it. */
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

  /** Whether the newest membership change is committed. */
  bool IsMembershipCommitted() const;

  /** On the leader: when a member answered last, or nothing if it never did. */
  std::optional<Deadline> LastReplyTime(const std::string& aName) const;

  /** On the leader: whether a member holds nearly the whole log. */
  bool IsCaughtUp(const std::string& aName) const;

private:
  /** What a leader knows of a member. */
  struct Progress
  {
    int64_t nextIndex = 1;
    int64_t matchIndex = 0;
    std::optional<Deadline> lastReplyAt;
    /** Sending time of the newest round that the member answered. */
    Deadline answeredRoundSentAt{};
    Deadline nextSnapshotAt{};
  };

  const wire::Replica* FindMember(const std::string& aName) const;
  bool IsVoter() const;
  int QuorumSize() const;

  void BecomeFollower(int64_t aTerm, const std::string& aLeader, Deadline aNow);
  void StartPreVote(Deadline aNow);
  void StartVote(Deadline aNow);
  void BecomeLeader(Deadline aNow);
  void ResetElectionTimer(Deadline aNow);
  void SetBallot(int64_t aTerm, const std::string& aVotedFor);
  bool HeardLeaderRecently(Deadline aNow) const;
  bool IsUpToDate(const wire::RaftMessage& aMessage) const;

  void OnVoteRequest(const wire::RaftMessage& aMessage, Deadline aNow);
  void OnVoteReply(const wire::RaftMessage& aMessage, Deadline aNow);
  void OnAppend(const wire::RaftMessage& aMessage, Deadline aNow);
  void OnAppendReply(const wire::RaftMessage& aMessage, Deadline aNow);
  void OnSnapshot(const wire::RaftMessage& aMessage, Deadline aNow);

  void AppendAsLeader(wire::Command aCommand);
  void AppendFromLeader(const std::vector<wire::LogEntry>& aEntries);
  void SendAppend(const wire::Replica& aMember, Deadline aNow);
  void SendSnapshot(const wire::Replica& aMember, Progress& aProgress, Deadline aNow);
  void Broadcast(Deadline aNow);
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
  RaftOutput m_output;
};

} // namespace mimosarun
