#pragma once

// Definitions of the GroupReplica template; included by control/groupreplica.h only.

namespace mimosarun {

static constexpr std::chrono::milliseconds kReopenInterval{ 1000 };
/** Time for one voter to take over before another is asked. */
static constexpr std::chrono::milliseconds kHandOverInterval{ 200 };
static constexpr std::chrono::milliseconds kCommitSaveInterval{ 300 };

template<StateMachine Machine>
GroupReplica<Machine>::GroupReplica(GroupOptions aOptions, Machine& aMachine, Transport& aTransport)
  : m_options(std::move(aOptions))
  , m_machine(aMachine)
  , m_transport(aTransport)
  , m_journal(m_options.folder)
  , m_memberMaintenance(m_options.voterCount)
{
}

template<StateMachine Machine>
Result<void>
GroupReplica<Machine>::Open()
{
  MIMOSARUN_TRY(JournalContent content, m_journal.Open());
  if (content.truncatedBytes > 0) {
    Log(Event::JournalTailCut, { { "group", m_options.name }, { "bytes", content.truncatedBytes } });
  }
  BOOST_OUTCOME_TRYV(m_machine.Restore(content.snapshot.state, content.snapshot.index));
  RaftCore::Options options{ .group = m_options.name,
                             .name = m_options.replica,
                             .incarnation = m_options.incarnation,
                             .address = m_options.address,
                             .heartbeatInterval = m_options.heartbeatInterval,
                             .electionTimeout = m_options.electionTimeout,
                             .electionDelay = m_options.electionDelay,
                             .seed = m_options.seed };
  RaftState state{ .ballot = std::move(content.ballot),
                   .snapshot = std::move(content.snapshot),
                   .entries = std::move(content.entries),
                   .commitIndex = content.commitIndex };
  m_core = std::make_unique<RaftCore>(std::move(options), std::move(state), m_options.clock());
  m_failed = false;
  return boost::outcome_v2::success();
}

template<StateMachine Machine>
void
GroupReplica<Machine>::Step(ReplicaInput aInput)
{
  StartReads(std::move(aInput.reads));
  const Result<void> stepped =
    m_failed ? StepFailed(std::move(aInput.commands)) : HandleInput(std::move(aInput));
  if (!stepped && !m_failed) {
    HandleStorageFailure(stepped.error());
  }
  AnswerReads();
}

template<StateMachine Machine>
Result<void>
GroupReplica<Machine>::StepFailed(std::vector<PendingCommand> aCommands)
{
  for (PendingCommand& pending : aCommands) {
    pending.promise.set_value(MakeFailedResult(
      wire::ResultCode::NotLeader, "storage failed on this replica; free space or replace its disk"));
  }
  const Deadline now = m_options.clock();
  if (now < m_nextReopenAt) {
    return boost::outcome_v2::success();
  }
  m_nextReopenAt = now + kReopenInterval;
  return Open();
}

template<StateMachine Machine>
Result<void>
GroupReplica<Machine>::Form(std::vector<wire::Replica> aMembers)
{
  wire::SnapshotFile initial;
  initial.members = std::move(aMembers);
  BOOST_OUTCOME_TRYV(m_journal.SaveSnapshot(initial, {}));
  BOOST_OUTCOME_TRYV(Open());
  Log(Event::GroupFormed, { { "group", m_options.name }, { "members", initial.members.size() } });
  return boost::outcome_v2::success();
}

template<StateMachine Machine>
Result<void>
GroupReplica<Machine>::HandleInput(ReplicaInput aInput)
{
  const Deadline now = m_options.clock();
  if (!aInput.initialMembers.empty() && m_core->Members().empty()) {
    BOOST_OUTCOME_TRYV(Form(std::move(aInput.initialMembers)));
  }
  for (const wire::RaftMessage& message : aInput.messages) {
    m_core->Receive(message, now);
  }
  m_core->Tick(now);
  m_isLeaving = m_isLeaving || aInput.leaves;
  ProposeAll(std::move(aInput.commands));
  if (m_isLeaving) {
    HandOver(now);
  } else {
    m_memberMaintenance.Step(*m_core, now);
  }
  BOOST_OUTCOME_TRYV(StoreAndSend());
  ApplyCommitted();
  SaveCommitIndex(now);
  HandleRoleChange();
  return CompactIfLong();
}

template<StateMachine Machine>
void
GroupReplica<Machine>::StartReads(std::vector<PendingRead> aReads)
{
  if (aReads.empty()) {
    return;
  }
  const Deadline now = m_options.clock();
  // Messages carry the start time of their round in whole microseconds.
  const Deadline round = std::chrono::floor<std::chrono::microseconds>(now);
  for (PendingRead& read : aReads) {
    read.roundStartedAt = round;
    m_reads.push_back(std::move(read));
  }
  m_core->StartHeartbeatRound(now);
}

template<StateMachine Machine>
void
GroupReplica<Machine>::AnswerReads()
{
  const Deadline now = m_options.clock();
  std::erase_if(m_reads, [&](PendingRead& aRead) {
    if (m_core->LeadershipConfirmedSince(aRead.roundStartedAt)) {
      wire::ReadIndex answer;
      answer.confirmed = true;
      answer.index = m_core->CommitIndex();
      answer.leader = m_options.replica;
      aRead.promise.set_value(std::move(answer));
      return true;
    }
    if (m_failed || m_core->Role() != RaftRole::Leader || now >= aRead.deadline) {
      aRead.promise.set_value(UnconfirmedReadIndex());
      return true;
    }
    return false;
  });
}

template<StateMachine Machine>
wire::ReadIndex
GroupReplica<Machine>::UnconfirmedReadIndex() const
{
  wire::ReadIndex answer;
  answer.leader = m_core->Role() == RaftRole::Leader ? "" : m_core->Leader();
  return answer;
}

template<StateMachine Machine>
std::vector<wire::Replica>
GroupReplica<Machine>::ChangedMembers(const wire::Command& aCommand) const
{
  // A command names either a replica to remove or replicas to add; the leader computes the new list.
  if (!aCommand.target.empty()) {
    return MembersWithout(m_core->Members(), aCommand.target);
  }
  std::vector<wire::Replica> members = m_core->Members();
  for (const wire::Replica& replica : aCommand.members) {
    members = HasMember(members, replica.name, replica.incarnation)
                ? MembersWithDescription(std::move(members), replica)
                : MembersWithLearner(std::move(members), replica);
  }
  return members;
}

template<StateMachine Machine>
void
GroupReplica<Machine>::ProposeAll(std::vector<PendingCommand> aCommands)
{
  const Deadline now = m_options.clock();
  for (PendingCommand& pending : aCommands) {
    if (m_isLeaving) {
      pending.promise.set_value(
        MakeFailedResult(wire::ResultCode::NotLeader, "this replica is leaving; ask another one"));
      continue;
    }
    const bool changesMembers = pending.command.kind == wire::CommandKind::ChangeMembers;
    const std::optional<int64_t> index = changesMembers
                                           ? m_core->ProposeMembers(ChangedMembers(pending.command), now)
                                           : m_core->Propose(std::move(pending.command), now);
    if (index) {
      m_waiters[*index] = { .term = m_core->Term(), .promise = std::move(pending.promise) };
    } else if (m_core->Role() == RaftRole::Leader) {
      pending.promise.set_value(MakeFailedResult(
        wire::ResultCode::Unavailable, "another membership change is under way; try again shortly"));
    } else {
      wire::CommandResult refusal =
        MakeFailedResult(wire::ResultCode::NotLeader, "this replica doesn't lead; ask the leader");
      refusal.leader = m_core->Leader();
      pending.promise.set_value(std::move(refusal));
    }
  }
}

template<StateMachine Machine>
void
GroupReplica<Machine>::HandOver(Deadline aNow)
{
  if (aNow < m_nextHandOverAt) {
    return;
  }
  if (const std::optional<std::string> successor = m_core->HandOver(aNow)) {
    m_nextHandOverAt = aNow + kHandOverInterval;
    Log(Event::LeadershipHandedOver, { { "group", m_options.name }, { "replica", *successor } });
  }
}

template<StateMachine Machine>
Result<void>
GroupReplica<Machine>::StoreAndSend()
{
  RaftOutput output = m_core->TakeOutput();
  if (output.ballotChanged) {
    BOOST_OUTCOME_TRYV(m_journal.SaveBallot(m_core->CurrentBallot()));
  }
  if (output.installedSnapshot) {
    BOOST_OUTCOME_TRYV(m_journal.SaveSnapshot(*output.installedSnapshot, {}));
    BOOST_OUTCOME_TRYV(m_machine.Restore(output.installedSnapshot->state, output.installedSnapshot->index));
    Log(Event::SnapshotInstalled,
        { { "group", m_options.name }, { "index", output.installedSnapshot->index } });
  }
  if (output.truncateFromIndex) {
    BOOST_OUTCOME_TRYV(m_journal.TruncateFrom(*output.truncateFromIndex));
  }
  if (!output.newEntries.empty()) {
    BOOST_OUTCOME_TRYV(m_journal.Append(output.newEntries));
    m_core->MarkPersisted(output.newEntries.back().index);
  }
  m_transport.Send(std::move(output.messages));
  return boost::outcome_v2::success();
}

template<StateMachine Machine>
void
GroupReplica<Machine>::ApplyCommitted()
{
  for (const wire::LogEntry& entry : m_core->TakeCommittedEntries()) {
    wire::CommandResult result = m_machine.Apply(entry);
    if (entry.command.kind == wire::CommandKind::ChangeMembers) {
      Log(Event::MembersChanged,
          { { "group", m_options.name }, { "members", MembersText(entry.command.members) } });
    }
    const auto waiter = m_waiters.find(entry.index);
    if (waiter == m_waiters.end()) {
      continue;
    }
    const bool sameTerm = waiter->second.term == entry.term;
    waiter->second.promise.set_value(
      sameTerm
        ? std::move(result)
        : MakeFailedResult(wire::ResultCode::Unknown,
                           "leadership changed; send the command again with the same request identifier"));
    m_waiters.erase(waiter);
  }
}

template<StateMachine Machine>
void
GroupReplica<Machine>::SaveCommitIndex(Deadline aNow)
{
  const int64_t commit = m_core->AppliedIndex();
  if (commit == m_savedCommitIndex || aNow < m_nextCommitSaveAt) {
    return;
  }
  m_nextCommitSaveAt = aNow + kCommitSaveInterval;
  m_savedCommitIndex = commit;
  if (const Result<void> saved = m_journal.SaveCommitIndex(commit); !saved) {
    // The stored commit index is used only after a restart, so the replica continues without it.
    Log(Event::CommitMarkFailed, { { "group", m_options.name }, { "reason", saved.error().message } });
  }
}

template<StateMachine Machine>
Result<void>
GroupReplica<Machine>::CompactIfLong()
{
  const int64_t applied = m_core->AppliedIndex() - m_core->SnapshotIndex();
  const bool isLarge = applied > 0 && m_core->LogBodyBytes() >= m_options.bodyBytesBeforeSnapshot;
  if (applied < m_options.entriesBeforeSnapshot && !isLarge) {
    return boost::outcome_v2::success();
  }
  const wire::SnapshotFile snapshot = m_core->Compact(m_machine.Image());
  Log(Event::SnapshotTaken, { { "group", m_options.name }, { "index", snapshot.index } });
  return m_journal.SaveSnapshot(snapshot, m_core->Entries());
}

template<StateMachine Machine>
void
GroupReplica<Machine>::FailWaiters(const std::string& aMessage)
{
  for (auto& [index, waiter] : m_waiters) {
    waiter.promise.set_value(MakeFailedResult(wire::ResultCode::Unknown, aMessage));
  }
  m_waiters.clear();
}

template<StateMachine Machine>
void
GroupReplica<Machine>::HandleRoleChange()
{
  const RaftRole role = m_core->Role();
  if (role == m_lastRole) {
    return;
  }
  if (role == RaftRole::Leader) {
    Log(Event::LeaderElected, { { "group", m_options.name }, { "term", m_core->Term() } });
  } else if (m_lastRole == RaftRole::Leader) {
    Log(Event::LeaderSteppedDown, { { "group", m_options.name }, { "term", m_core->Term() } });
    FailWaiters("leadership was lost; send the command again with the same request identifier");
  }
  m_lastRole = role;
}

template<StateMachine Machine>
wire::GroupStatus
GroupReplica<Machine>::Status() const
{
  wire::GroupStatus status;
  status.group = m_options.name;
  status.replica = m_options.replica;
  status.incarnation = m_options.incarnation;
  status.formed = !m_core->Members().empty();
  status.leader = m_failed ? "" : m_core->Leader();
  status.term = m_core->Term();
  status.commit = m_core->CommitIndex();
  status.applied = m_core->AppliedIndex();
  status.lastIndex = m_core->LastIndex();
  status.members = m_core->Members();
  status.failed = m_failed;
  const Deadline now = m_options.clock();
  for (const wire::Replica& member : m_core->Members()) {
    const std::optional<Deadline> lastReplyAt = m_core->LastReplyTime(member.name);
    if (lastReplyAt) {
      status.silentMillis[member.name] =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *lastReplyAt).count();
    }
  }
  return status;
}

template<StateMachine Machine>
void
GroupReplica<Machine>::HandleStorageFailure(const Error& aError)
{
  m_failed = true;
  m_nextReopenAt = m_options.clock() + kReopenInterval;
  Log(Event::StorageFailed, { { "group", m_options.name }, { "reason", aError.message } });
  FailWaiters("storage failed on the leader; send the command again with the same request identifier");
}

} // namespace mimosarun
