#pragma once

#include "common/clock.h"
#include "common/log.h"
#include "control/journal.h"
#include "control/membermaintenance.h"
#include "control/membership.h"
#include "control/raftcore.h"
#include "control/transport.h"

#include <concepts>
#include <functional>
#include <future>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mimosarun {

/** State that results from a group's committed commands. Apply() returns the same result on every replica. */
template<typename Machine>
concept StateMachine =
  requires(Machine aMachine, const wire::LogEntry& aEntry, const std::string& aImage, int64_t aIndex)
{
  {
    aMachine.Apply(aEntry)
    } -> std::same_as<wire::CommandResult>;
  {
    aMachine.Image()
    } -> std::same_as<std::string>;
  {
    aMachine.Restore(aImage, aIndex)
    } -> std::same_as<Result<void>>;
};

/** Options of this process's replica of a group. */
struct GroupOptions
{
  std::string name;
  std::string replica;
  int64_t incarnation = 0;
  std::string folder;
  /** Address at which other replicas reach this one; empty if their settings contain it. */
  std::string address;
  /** Number of voters that the leader maintains; 0 makes every caught-up learner a voter. */
  int voterCount = 0;
  std::chrono::milliseconds heartbeatInterval{ 150 };
  std::chrono::milliseconds electionTimeout{ 900 };
  /** Added to the election timeout of this replica. */
  std::chrono::milliseconds electionDelay{ 0 };
  uint64_t seed = 0;
  /** Number of applied entries after which a snapshot replaces them. */
  int64_t entriesBeforeSnapshot = 4096;
  /** Size of the entries' bodies that has the same effect. */
  size_t bodyBytesBeforeSnapshot = std::numeric_limits<size_t>::max();
  std::function<Deadline()> clock = [] { return SteadyClock::now(); };
};

/** A submitted command that isn't proposed yet. */
struct PendingCommand
{
  wire::Command command;
  std::promise<wire::CommandResult> promise;
};

/** A question for the newest commit index and the heartbeat round that must confirm it. */
struct PendingRead
{
  Deadline roundStartedAt{};
  Deadline deadline;
  std::promise<wire::ReadIndex> promise;
};

/** What arrived at a replica since its last step. */
struct ReplicaInput
{
  std::vector<wire::RaftMessage> messages;
  std::vector<PendingCommand> commands;
  std::vector<PendingRead> reads;
  /** Initial members of an empty replica; has no effect on a formed one. */
  std::vector<wire::Replica> initialMembers;
  /** Whether the replica leaves: from now on it takes no commands, and hands its leadership over. */
  bool leaves = false;
};

/**
 * One replica of a replicated log, without threads: owns the RaftCore, persists its output before it sends
 * messages, and applies committed entries to the state machine. After a failure of its storage it takes no
 * part until its journal could be opened again.
 */
template<StateMachine Machine>
class GroupReplica
{
public:
  GroupReplica(GroupOptions aOptions, Machine& aMachine, Transport& aTransport);

  GroupReplica(const GroupReplica&) = delete;
  GroupReplica& operator=(const GroupReplica&) = delete;

  /** Opens the journal; must succeed before any other call. */
  Result<void> Open();

  /** Handles the input and what is due. */
  void Step(ReplicaInput aInput);

  /** Answers the waiting commands that their result is unknown. */
  void FailWaiters(const std::string& aMessage);

  wire::GroupStatus Status() const;

private:
  /** A caller that waits for the result of a proposed entry. */
  struct Waiter
  {
    int64_t term = 0;
    std::promise<wire::CommandResult> promise;
  };

  Result<void> HandleInput(ReplicaInput aInput);
  Result<void> StepFailed(std::vector<PendingCommand> aCommands);
  Result<void> Form(std::vector<wire::Replica> aMembers);
  void HandOver(Deadline aNow);
  void ProposeAll(std::vector<PendingCommand> aCommands);
  std::vector<wire::Replica> ChangedMembers(const wire::Command& aCommand) const;
  Result<void> StoreAndSend();
  void ApplyCommitted();
  Result<void> CompactIfLong();
  void SaveCommitIndex(Deadline aNow);
  void StartReads(std::vector<PendingRead> aReads);
  void AnswerReads();
  wire::ReadIndex UnconfirmedReadIndex() const;
  void HandleRoleChange();
  void HandleStorageFailure(const Error& aError);

  GroupOptions m_options;
  Machine& m_machine;
  Transport& m_transport;
  Journal m_journal;
  std::unique_ptr<RaftCore> m_core;
  MemberMaintenance m_memberMaintenance;
  std::map<int64_t, Waiter> m_waiters;
  RaftRole m_lastRole = RaftRole::Follower;
  std::vector<PendingRead> m_reads;
  int64_t m_savedCommitIndex = 0;
  Deadline m_nextCommitSaveAt{};
  Deadline m_nextReopenAt{};
  Deadline m_nextHandOverAt{};
  bool m_isLeaving = false;
  bool m_failed = false;
};

/** Returns a result with an error code and its reason. */
wire::CommandResult
MakeFailedResult(wire::ResultCode::type aCode, const std::string& aMessage);

} // namespace mimosarun

#include "control/groupreplicaimpl.h"
