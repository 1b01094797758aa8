// Elections of RaftCore: timers, votes and the change of roles.

#include "control/raftcore.h"

#include <algorithm>

namespace mimosarun {

/** Part of the election timeout that a candidate waits at least before it stands again. */
static constexpr int kCandidacyDivisor = 4;

using wire::RaftKind;

void
RaftCore::ResetElectionTimer(Deadline aNow)
{
  m_electionDeadline =
    aNow + RandomTimeout(m_options.electionTimeout, 2 * m_options.electionTimeout) + m_options.electionDelay;
}

void
RaftCore::ResetCandidacyTimer(Deadline aNow)
{
  // No leader is known, so only votes that are on their way are waited for, and for a draw not to recur.
  m_electionDeadline =
    aNow + RandomTimeout(m_options.electionTimeout / kCandidacyDivisor, m_options.electionTimeout) +
    m_options.electionDelay;
}

void
RaftCore::DeferTo(const std::string& aCandidate, Deadline aNow)
{
  const bool goesFirst =
    m_role == RaftRole::Candidate || (m_role == RaftRole::PreCandidate && m_options.name < aCandidate);
  // Only once, as the candidate may be unable to receive the votes.
  if (goesFirst || m_deferred) {
    return;
  }
  m_deferred = true;
  m_role = RaftRole::Follower;
  ResetCandidacyTimer(aNow);
}

std::chrono::milliseconds
RaftCore::RandomTimeout(std::chrono::milliseconds aMinimum, std::chrono::milliseconds aMaximum)
{
  return std::chrono::milliseconds(
    std::uniform_int_distribution<int64_t>(aMinimum.count(), aMaximum.count())(m_random));
}

void
RaftCore::SetBallot(int64_t aTerm, const std::string& aVotedFor)
{
  m_ballot.term = aTerm;
  m_ballot.votedFor = aVotedFor;
  m_output.ballotChanged = true;
}

void
RaftCore::RecordLeaderHeard(const std::string& aLeader, Deadline aNow)
{
  m_leaderHeardAt = aNow;
  m_leaderHeardLast = aLeader;
  m_deferred = false;
}

bool
RaftCore::HeardLeaderRecently(Deadline aNow) const
{
  if (m_role == RaftRole::Leader) {
    return true;
  }
  return m_leaderHeardAt && aNow < *m_leaderHeardAt + m_options.electionTimeout;
}

void
RaftCore::BecomeFollower(int64_t aTerm, const std::string& aLeader, Deadline aNow)
{
  if (aTerm > m_ballot.term) {
    SetBallot(aTerm, "");
  }
  m_role = RaftRole::Follower;
  m_leader = aLeader;
  m_votes.clear();
  m_progress.clear();
  ResetElectionTimer(aNow);
}

void
RaftCore::RequestVotes(RaftKind::type aKind, int64_t aTerm)
{
  for (const wire::Replica& member : m_log.Members()) {
    if (!member.voter || member.name == m_options.name) {
      continue;
    }
    wire::RaftMessage message = MakeMessage(aKind, member);
    message.term = aTerm;
    message.logIndex = LastIndex();
    message.logTerm = m_log.LastTerm();
    m_output.messages.push_back(std::move(message));
  }
}

void
RaftCore::StartPreVote(Deadline aNow)
{
  m_role = RaftRole::PreCandidate;
  m_leader.clear();
  m_votes = { { m_options.name, true } };
  ResetCandidacyTimer(aNow);
  RequestVotes(RaftKind::PreVote, m_ballot.term + 1);
  if (QuorumSize() == 1) {
    StartVote(RaftKind::Vote, aNow);
  }
}

void
RaftCore::StartVote(RaftKind::type aKind, Deadline aNow)
{
  m_role = RaftRole::Candidate;
  SetBallot(m_ballot.term + 1, m_options.name);
  m_votes = { { m_options.name, true } };
  ResetCandidacyTimer(aNow);
  RequestVotes(aKind, m_ballot.term);
  if (QuorumSize() == 1) {
    BecomeLeader(aNow);
  }
}

void
RaftCore::BecomeLeader(Deadline aNow)
{
  m_role = RaftRole::Leader;
  m_leader = m_options.name;
  m_progress.clear();
  for (const wire::Replica& member : m_log.Members()) {
    m_progress[member.name] = { .incarnation = member.incarnation,
                                .nextIndex = LastIndex() + 1,
                                .silentSince = member.name == m_leaderHeardLast ? *m_leaderHeardAt : aNow,
                                .answeredRoundSentAt = aNow };
  }
  m_leaderHeardLast.clear();
  m_deferred = false;
  // Entries of previous terms can only be committed together with an entry of the current term.
  AppendAsLeader(wire::Command{}, aNow);
  Broadcast(aNow);
}

std::optional<std::string>
RaftCore::HandOver(Deadline aNow)
{
  if (m_role != RaftRole::Leader || m_commitIndex < LastIndex()) {
    return std::nullopt;
  }
  const wire::Replica* successor = nullptr;
  Deadline newestReplyAt = aNow - m_options.electionTimeout;
  for (const wire::Replica& member : m_log.Members()) {
    const Progress& progress = m_progress[member.name];
    const bool holdsAll = member.voter && progress.matchIndex == LastIndex() && progress.lastReplyAt;
    if (member.name != m_options.name && holdsAll && *progress.lastReplyAt > newestReplyAt) {
      successor = &member;
      newestReplyAt = *progress.lastReplyAt;
    }
  }
  if (successor == nullptr) {
    return std::nullopt;
  }
  wire::RaftMessage message = MakeMessage(RaftKind::TimeoutNow, *successor);
  message.logIndex = LastIndex();
  message.logTerm = m_log.LastTerm();
  m_output.messages.push_back(std::move(message));
  return successor->name;
}

void
RaftCore::OnTimeoutNow(const wire::RaftMessage& aMessage, Deadline aNow)
{
  const bool isFromLeader = aMessage.term == m_ballot.term && aMessage.sender == m_leader;
  if (isFromLeader && m_role == RaftRole::Follower && IsVoter()) {
    StartVote(RaftKind::TransferVote, aNow);
  }
}

bool
RaftCore::IsUpToDate(const wire::RaftMessage& aMessage) const
{
  if (aMessage.logTerm != m_log.LastTerm()) {
    return aMessage.logTerm > m_log.LastTerm();
  }
  return aMessage.logIndex >= LastIndex();
}

void
RaftCore::OnVoteRequest(const wire::RaftMessage& aMessage, Deadline aNow)
{
  // The leader itself asked for the election of a transfer.
  if (aMessage.kind != RaftKind::TransferVote && HeardLeaderRecently(aNow)) {
    return;
  }
  const bool preVote = aMessage.kind == RaftKind::PreVote;
  if (!preVote && aMessage.term > m_ballot.term) {
    BecomeFollower(aMessage.term, "", aNow);
  }
  wire::RaftMessage reply = MakeReply(preVote ? RaftKind::PreVoteReply : RaftKind::VoteReply, aMessage);
  if (preVote) {
    reply.granted = aMessage.term > m_ballot.term && IsUpToDate(aMessage);
    reply.term = reply.granted ? aMessage.term : m_ballot.term;
    if (reply.granted) {
      DeferTo(aMessage.sender, aNow);
    }
  } else {
    const bool canVote = m_ballot.votedFor.empty() || m_ballot.votedFor == aMessage.sender;
    reply.granted = aMessage.term == m_ballot.term && canVote && IsUpToDate(aMessage);
    reply.term = m_ballot.term;
    if (reply.granted) {
      SetBallot(m_ballot.term, aMessage.sender);
      ResetElectionTimer(aNow);
    }
  }
  m_output.messages.push_back(std::move(reply));
}

void
RaftCore::OnVoteReply(const wire::RaftMessage& aMessage, Deadline aNow)
{
  const bool preVote = aMessage.kind == RaftKind::PreVoteReply;
  const RaftRole expectedRole = preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
  const int64_t requestedTerm = preVote ? m_ballot.term + 1 : m_ballot.term;
  if (!aMessage.granted && aMessage.term > m_ballot.term) {
    BecomeFollower(aMessage.term, "", aNow);
    return;
  }
  if (m_role != expectedRole || !aMessage.granted || aMessage.term != requestedTerm) {
    return;
  }
  m_votes[aMessage.sender] = true;
  if (static_cast<int>(m_votes.size()) < QuorumSize()) {
    return;
  }
  if (preVote) {
    StartVote(RaftKind::Vote, aNow);
  } else {
    BecomeLeader(aNow);
  }
}

} // namespace mimosarun
