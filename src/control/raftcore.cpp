#include "control/raftcore.h"

#include <algorithm>
#include <utility>

namespace mimosarun {

/** Learners without news get a heartbeat after this many intervals, well within the election timeout. */
static constexpr int kLearnerHeartbeatFactor = 2;
static constexpr size_t kMaxEntriesPerMessage = 512;
static constexpr size_t kMaxBytesPerMessage = 1024UL * 1024;
static constexpr int64_t kMaxCaughtUpLagEntries = 16;
static constexpr std::chrono::milliseconds kSnapshotResendInterval{ 2000 };

using wire::RaftKind;

RaftCore::RaftCore(Options aOptions, RaftState aState, Deadline aNow)
  : m_options(std::move(aOptions))
  , m_random(m_options.seed)
  , m_ballot(std::move(aState.ballot))
  , m_log(std::move(aState.snapshot), std::move(aState.entries))
  , m_commitIndex(std::max(m_log.SnapshotIndex(), aState.commitIndex))
  , m_appliedIndex(m_log.SnapshotIndex())
{
  m_persistedIndex = LastIndex();
  ResetElectionTimer(aNow);
  if (m_ballot.term > 0) {
    // A leader that this replica answered just before its restart relies on it to refuse votes for one
    // election timeout.
    m_leaderHeardAt = aNow;
  }
}

// --- state -----------------------------------------------------------------------------------------------

RaftRole
RaftCore::Role() const
{
  return m_role;
}

const std::string&
RaftCore::Leader() const
{
  return m_leader;
}

int64_t
RaftCore::Term() const
{
  return m_ballot.term;
}

const wire::Ballot&
RaftCore::CurrentBallot() const
{
  return m_ballot;
}

int64_t
RaftCore::LastIndex() const
{
  return m_log.LastIndex();
}

int64_t
RaftCore::CommitIndex() const
{
  return m_commitIndex;
}

int64_t
RaftCore::AppliedIndex() const
{
  return m_appliedIndex;
}

int64_t
RaftCore::SnapshotIndex() const
{
  return m_log.SnapshotIndex();
}

const std::vector<wire::Replica>&
RaftCore::Members() const
{
  return m_log.Members();
}

const std::vector<wire::LogEntry>&
RaftCore::Entries() const
{
  return m_log.Entries();
}

bool
RaftCore::IsMembershipCommitted() const
{
  return m_log.MembersIndex() <= m_commitIndex;
}

std::optional<Deadline>
RaftCore::LastReplyTime(const std::string& aName) const
{
  const auto progress = m_progress.find(aName);
  return progress == m_progress.end() ? std::nullopt : progress->second.lastReplyAt;
}

Deadline
RaftCore::SilentSince(const std::string& aName) const
{
  return m_progress.at(aName).silentSince;
}

bool
RaftCore::IsCaughtUp(const std::string& aName) const
{
  const auto progress = m_progress.find(aName);
  return m_role == RaftRole::Leader && progress != m_progress.end() && progress->second.lastReplyAt &&
         progress->second.matchIndex + kMaxCaughtUpLagEntries >= LastIndex();
}

const wire::Replica*
RaftCore::FindMember(const std::string& aName) const
{
  const auto member = std::find_if(m_log.Members().begin(), m_log.Members().end(), [&](const auto& aMember) {
    return aMember.name == aName;
  });
  return member == m_log.Members().end() ? nullptr : &*member;
}

bool
RaftCore::IsVoter() const
{
  const wire::Replica* self = FindMember(m_options.name);
  return self != nullptr && self->voter && self->incarnation == m_options.incarnation;
}

int
RaftCore::QuorumSize() const
{
  const auto voters = std::count_if(
    m_log.Members().begin(), m_log.Members().end(), [](const auto& aMember) { return aMember.voter; });
  return static_cast<int>(voters / 2 + 1);
}

// --- replication -----------------------------------------------------------------------------------------

void
RaftCore::AppendAsLeader(wire::Command aCommand, Deadline aNow)
{
  wire::LogEntry entry;
  entry.index = LastIndex() + 1;
  entry.term = m_ballot.term;
  entry.command = std::move(aCommand);
  m_log.Append(entry);
  m_output.newEntries.push_back(entry);
  if (entry.command.kind == wire::CommandKind::ChangeMembers) {
    for (const wire::Replica& member : m_log.Members()) {
      Progress& progress = m_progress[member.name];
      if (progress.incarnation != member.incarnation) {
        // A replica that lost its disk holds nothing of what it had confirmed.
        progress = { .incarnation = member.incarnation, .nextIndex = entry.index, .silentSince = aNow };
      }
    }
  }
}

std::optional<int64_t>
RaftCore::Propose(wire::Command aCommand, Deadline aNow)
{
  if (m_role != RaftRole::Leader) {
    return std::nullopt;
  }
  AppendAsLeader(std::move(aCommand), aNow);
  const int64_t index = LastIndex();
  Broadcast(aNow);
  return index;
}

std::optional<int64_t>
RaftCore::ProposeMembers(std::vector<wire::Replica> aMembers, Deadline aNow)
{
  if (m_role != RaftRole::Leader || !IsMembershipCommitted() ||
      m_log.TermAt(m_commitIndex) != m_ballot.term) {
    return std::nullopt;
  }
  wire::Command command;
  command.kind = wire::CommandKind::ChangeMembers;
  command.members = std::move(aMembers);
  return Propose(std::move(command), aNow);
}

void
RaftCore::SendSnapshot(const wire::Replica& aMember, Progress& aProgress, Deadline aNow)
{
  if (aNow < aProgress.nextSnapshotAt) {
    return;
  }
  aProgress.nextSnapshotAt = aNow + kSnapshotResendInterval;
  wire::RaftMessage message = MakeMessage(RaftKind::Snapshot, aMember);
  message.logIndex = m_log.SnapshotIndex();
  message.logTerm = m_log.Snapshot().term;
  message.members = m_log.Snapshot().members;
  message.snapshot = m_log.Snapshot().state;
  message.round = std::chrono::duration_cast<std::chrono::microseconds>(aNow.time_since_epoch()).count();
  m_output.messages.push_back(std::move(message));
}

void
RaftCore::SendAppend(const wire::Replica& aMember, Deadline aNow)
{
  Progress& progress = m_progress[aMember.name];
  if (progress.nextIndex <= m_log.SnapshotIndex()) {
    SendSnapshot(aMember, progress, aNow);
    return;
  }
  wire::RaftMessage message = MakeMessage(RaftKind::Append, aMember);
  message.logIndex = progress.nextIndex - 1;
  message.logTerm = m_log.TermAt(message.logIndex);
  message.commit = m_commitIndex;
  progress.sentCommitIndex = m_commitIndex;
  progress.lastSentAt = aNow;
  message.round = std::chrono::duration_cast<std::chrono::microseconds>(aNow.time_since_epoch()).count();
  size_t bytes = 0;
  while (progress.nextIndex <= LastIndex() && message.entries.size() < kMaxEntriesPerMessage &&
         bytes < kMaxBytesPerMessage) {
    message.entries.push_back(m_log.EntryAt(progress.nextIndex));
    bytes += message.entries.back().command.body.size();
    ++progress.nextIndex;
  }
  m_output.messages.push_back(std::move(message));
}

void
RaftCore::Broadcast(Deadline aNow)
{
  m_heartbeatDeadline = aNow + m_options.heartbeatInterval;
  for (const wire::Replica& member : m_log.Members()) {
    if (member.name != m_options.name && (member.voter || IsLearnerDue(member, aNow))) {
      SendAppend(member, aNow);
    }
  }
}

bool
RaftCore::IsLearnerDue(const wire::Replica& aLearner, Deadline aNow) const
{
  const auto found = m_progress.find(aLearner.name);
  if (found == m_progress.end()) {
    return true;
  }
  const Progress& progress = found->second;
  const bool hasNews = progress.nextIndex <= LastIndex() || progress.sentCommitIndex < m_commitIndex;
  return hasNews || aNow >= progress.lastSentAt + kLearnerHeartbeatFactor * m_options.heartbeatInterval;
}

void
RaftCore::AppendFromLeader(const std::vector<wire::LogEntry>& aEntries)
{
  for (const wire::LogEntry& entry : aEntries) {
    if (entry.index <= m_log.SnapshotIndex() || m_log.TermAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index <= LastIndex()) {
      m_log.TruncateFrom(entry.index);
      std::erase_if(m_output.newEntries,
                    [&](const wire::LogEntry& aPending) { return aPending.index >= entry.index; });
      m_output.truncateFromIndex = std::min(m_output.truncateFromIndex.value_or(entry.index), entry.index);
      m_persistedIndex = std::min(m_persistedIndex, entry.index - 1);
    }
    m_log.Append(entry);
    m_output.newEntries.push_back(entry);
  }
}

void
RaftCore::OnAppend(const wire::RaftMessage& aMessage, Deadline aNow)
{
  wire::RaftMessage reply = MakeReply(RaftKind::AppendReply, aMessage);
  if (aMessage.term < m_ballot.term) {
    reply.logIndex = LastIndex();
    m_output.messages.push_back(std::move(reply));
    return;
  }
  BecomeFollower(aMessage.term, aMessage.sender, aNow);
  RecordLeaderHeard(aMessage.sender, aNow);
  reply.term = m_ballot.term;
  const int64_t previousIndex = aMessage.logIndex;
  const bool previousMatches =
    previousIndex < m_log.SnapshotIndex() || m_log.TermAt(previousIndex) == aMessage.logTerm;
  if (!previousMatches) {
    reply.logIndex = std::min(LastIndex(), previousIndex - 1);
    m_output.messages.push_back(std::move(reply));
    return;
  }
  AppendFromLeader(aMessage.entries);
  const int64_t matchIndex = previousIndex + static_cast<int64_t>(aMessage.entries.size());
  m_commitIndex = std::max(m_commitIndex, std::min(aMessage.commit, matchIndex));
  reply.granted = true;
  reply.logIndex = matchIndex;
  m_output.messages.push_back(std::move(reply));
}

void
RaftCore::OnAppendReply(const wire::RaftMessage& aMessage, Deadline aNow)
{
  if (aMessage.term > m_ballot.term) {
    BecomeFollower(aMessage.term, "", aNow);
    return;
  }
  const wire::Replica* member = FindMember(aMessage.sender);
  if (m_role != RaftRole::Leader || aMessage.term != m_ballot.term || member == nullptr) {
    return;
  }
  Progress& progress = m_progress[aMessage.sender];
  progress.lastReplyAt = aNow;
  progress.silentSince = aNow;
  const Deadline round{ std::chrono::duration_cast<Deadline::duration>(
    std::chrono::microseconds(aMessage.round)) };
  progress.answeredRoundSentAt = std::max(progress.answeredRoundSentAt, round);
  if (!aMessage.granted) {
    progress.nextIndex = std::max<int64_t>(1, std::min(aMessage.logIndex + 1, LastIndex() + 1));
    SendAppend(*member, aNow);
    return;
  }
  progress.matchIndex = std::max(progress.matchIndex, aMessage.logIndex);
  progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
  AdvanceCommitIndex();
  if (progress.nextIndex <= LastIndex()) {
    SendAppend(*member, aNow);
  }
}

void
RaftCore::OnSnapshot(const wire::RaftMessage& aMessage, Deadline aNow)
{
  wire::RaftMessage reply = MakeReply(RaftKind::AppendReply, aMessage);
  if (aMessage.term < m_ballot.term) {
    m_output.messages.push_back(std::move(reply));
    return;
  }
  BecomeFollower(aMessage.term, aMessage.sender, aNow);
  RecordLeaderHeard(aMessage.sender, aNow);
  reply.term = m_ballot.term;
  reply.granted = true;
  if (m_log.TermAt(aMessage.logIndex) == aMessage.logTerm) {
    // This replica holds all that the snapshot covers, and may have confirmed entries after it.
    m_commitIndex = std::max(m_commitIndex, aMessage.logIndex);
  } else if (aMessage.logIndex > m_commitIndex) {
    wire::SnapshotFile snapshot;
    snapshot.index = aMessage.logIndex;
    snapshot.term = aMessage.logTerm;
    snapshot.members = aMessage.members;
    snapshot.state = aMessage.snapshot;
    m_output.installedSnapshot = snapshot;
    m_output.newEntries.clear();
    m_output.truncateFromIndex.reset();
    m_log.InstallSnapshot(std::move(snapshot));
    m_commitIndex = m_log.SnapshotIndex();
    m_appliedIndex = m_commitIndex;
    m_persistedIndex = m_commitIndex;
  }
  reply.logIndex = aMessage.logIndex;
  m_output.messages.push_back(std::move(reply));
}

void
RaftCore::AdvanceCommitIndex()
{
  std::vector<int64_t> matchIndexes;
  for (const wire::Replica& member : m_log.Members()) {
    if (member.voter) {
      matchIndexes.push_back(member.name == m_options.name ? m_persistedIndex
                                                           : m_progress[member.name].matchIndex);
    }
  }
  std::sort(matchIndexes.begin(), matchIndexes.end(), std::greater<>());
  const int64_t quorumIndex = matchIndexes[static_cast<size_t>(QuorumSize() - 1)];
  if (quorumIndex > m_commitIndex && m_log.TermAt(quorumIndex) == m_ballot.term) {
    m_commitIndex = quorumIndex;
    // Sends the commit index with the next tick, so that followers apply the entries and update nodes early.
    m_heartbeatDeadline = Deadline{};
  }
}

bool
RaftCore::HasQuorumOfRecentReplies(Deadline aNow) const
{
  int answered = 0;
  for (const wire::Replica& member : m_log.Members()) {
    const auto progress = m_progress.find(member.name);
    const bool isSelf = member.name == m_options.name;
    const bool repliedRecently =
      progress != m_progress.end() && aNow < progress->second.answeredRoundSentAt + m_options.electionTimeout;
    if (member.voter && (isSelf || repliedRecently)) {
      ++answered;
    }
  }
  return answered >= QuorumSize();
}

void
RaftCore::StartHeartbeatRound(Deadline aNow)
{
  if (m_role != RaftRole::Leader) {
    return;
  }
  // Learners have no say in who leads.
  for (const wire::Replica& member : m_log.Members()) {
    if (member.voter && member.name != m_options.name) {
      SendAppend(member, aNow);
    }
  }
}

bool
RaftCore::LeadershipConfirmedSince(Deadline aSince) const
{
  if (m_role != RaftRole::Leader || m_log.TermAt(m_commitIndex) != m_ballot.term) {
    return false;
  }
  const auto answered =
    std::count_if(m_log.Members().begin(), m_log.Members().end(), [&](const wire::Replica& aMember) {
      const auto progress = m_progress.find(aMember.name);
      const bool isSelf = aMember.name == m_options.name;
      return aMember.voter &&
             (isSelf || (progress != m_progress.end() && progress->second.answeredRoundSentAt >= aSince));
    });
  return answered >= QuorumSize();
}

// --- ticks and messages ----------------------------------------------------------------------------------

wire::RaftMessage
RaftCore::MakeMessage(RaftKind::type aKind, const wire::Replica& aMember) const
{
  wire::RaftMessage message;
  message.group = m_options.group;
  message.kind = aKind;
  message.sender = m_options.name;
  message.senderIncarnation = m_options.incarnation;
  message.receiver = aMember.name;
  message.receiverIncarnation = aMember.incarnation;
  message.term = m_ballot.term;
  message.senderAddress = m_options.address;
  return message;
}

wire::RaftMessage
RaftCore::MakeReply(RaftKind::type aKind, const wire::RaftMessage& aRequest) const
{
  wire::Replica receiver;
  receiver.name = aRequest.sender;
  receiver.incarnation = aRequest.senderIncarnation;
  wire::RaftMessage reply = MakeMessage(aKind, receiver);
  reply.round = aRequest.round;
  return reply;
}

void
RaftCore::Tick(Deadline aNow)
{
  if (m_role == RaftRole::Leader) {
    if (!HasQuorumOfRecentReplies(aNow)) {
      BecomeFollower(m_ballot.term, "", aNow);
      return;
    }
    if (IsMembershipCommitted() && !IsVoter()) {
      BecomeFollower(m_ballot.term, "", aNow);
      return;
    }
    if (aNow >= m_heartbeatDeadline) {
      Broadcast(aNow);
    }
    return;
  }
  if (aNow >= m_electionDeadline) {
    if (IsVoter()) {
      StartPreVote(aNow);
    } else {
      m_leader.clear();
      ResetElectionTimer(aNow);
    }
  }
}

void
RaftCore::Receive(const wire::RaftMessage& aMessage, Deadline aNow)
{
  if (aMessage.receiver != m_options.name || aMessage.receiverIncarnation != m_options.incarnation) {
    return;
  }
  const wire::Replica* sender = FindMember(aMessage.sender);
  const bool isReply = aMessage.kind == RaftKind::PreVoteReply || aMessage.kind == RaftKind::VoteReply ||
                       aMessage.kind == RaftKind::AppendReply;
  const bool isKnownSender = sender != nullptr && sender->incarnation == aMessage.senderIncarnation;
  // Requests come by the members in the sender's log, which may be newer than this replica's: it may have
  // been made a voter by an entry that it doesn't hold yet, and the others may need its vote to send it the
  // entry.
  if (!isKnownSender && isReply) {
    return;
  }
  switch (aMessage.kind) {
    case RaftKind::PreVote:
    case RaftKind::Vote:
    case RaftKind::TransferVote:
      OnVoteRequest(aMessage, aNow);
      break;
    case RaftKind::TimeoutNow:
      OnTimeoutNow(aMessage, aNow);
      break;
    case RaftKind::PreVoteReply:
    case RaftKind::VoteReply:
      OnVoteReply(aMessage, aNow);
      break;
    case RaftKind::Append:
      OnAppend(aMessage, aNow);
      break;
    case RaftKind::AppendReply:
      OnAppendReply(aMessage, aNow);
      break;
    case RaftKind::Snapshot:
      OnSnapshot(aMessage, aNow);
      break;
  }
}

RaftOutput
RaftCore::TakeOutput()
{
  return std::exchange(m_output, RaftOutput{});
}

void
RaftCore::MarkPersisted(int64_t aIndex)
{
  m_persistedIndex = std::max(m_persistedIndex, std::min(aIndex, LastIndex()));
  if (m_role == RaftRole::Leader) {
    AdvanceCommitIndex();
  }
}

std::vector<wire::LogEntry>
RaftCore::TakeCommittedEntries()
{
  const int64_t upTo = std::min(m_commitIndex, m_persistedIndex);
  std::vector<wire::LogEntry> committed;
  while (m_appliedIndex < upTo) {
    ++m_appliedIndex;
    committed.push_back(m_log.EntryAt(m_appliedIndex));
  }
  return committed;
}

wire::SnapshotFile
RaftCore::Compact(std::string aState)
{
  m_log.Compact(m_appliedIndex, std::move(aState));
  return m_log.Snapshot();
}

} // namespace mimosarun
