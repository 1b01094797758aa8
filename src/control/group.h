#pragma once

#include "common/clock.h"
#include "common/log.h"
#include "control/journal.h"
#include "control/membermaintenance.h"
#include "control/membership.h"
#include "control/raftcore.h"
#include "control/transport.h"

#include <concepts>
#include <condition_variable>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/** State that results from a group's committed commands. Apply() returns the same result on every replica. */
template<typename Machine>
concept StateMachine = requires(Machine aMachine, const wire::LogEntry& aEntry, const std::string& aImage)
{
  {
    aMachine.Apply(aEntry)
    } -> std::same_as<wire::CommandResult>;
  {
    aMachine.Image()
    } -> std::same_as<std::string>;
  {
    aMachine.Restore(aImage)
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
};

/**
 * Runs this process's replica of one replicated log. Its thread owns the RaftCore, persists its output before
 * sending messages, and applies committed entries to the state machine.
 */
template<StateMachine Machine>
class Group
{
public:
  Group(GroupOptions aOptions, Machine& aMachine, Transport& aTransport);
  ~Group();

  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  const std::string& Name() const { return m_options.name; }

  /** Opens the journal and starts the thread. */
  Result<void> Start();

  /** Sets the initial members of an empty replica; has no effect on a formed one. */
  void Form(std::vector<wire::Replica> aMembers);

  /** Queues messages of other replicas for the thread. */
  void Deliver(std::vector<wire::RaftMessage> aMessages);

  /** Commits a command if this replica leads; returns Unknown if the deadline passes before a result. */
  wire::CommandResult Submit(wire::Command aCommand, Deadline aDeadline);

  /**
   * On the leader: adds a replica as a learner in place of a member of the same name, or updates the
   * description of an existing member.
   */
  wire::CommandResult Join(const wire::Replica& aReplica, Deadline aDeadline);

  wire::GroupStatus Status() const;

  /**
   * Returns the commit index if a quorum confirms after the start of the call that this replica leads,
   * otherwise the leader it knows.
   */
  wire::ReadIndex ConfirmLeadership(Deadline aDeadline);

private:
  /** A submitted command that isn't proposed yet. */
  struct PendingCommand
  {
    wire::Command command;
    std::promise<wire::CommandResult> promise;
  };

  /** A call of ConfirmLeadership() and the heartbeat round that must confirm it. */
  struct PendingRead
  {
    Deadline roundStartedAt{};
    Deadline deadline;
    std::promise<wire::ReadIndex> promise;
  };

  /** A caller that waits for the result of a proposed entry. */
  struct Waiter
  {
    int64_t term = 0;
    std::promise<wire::CommandResult> promise;
  };

  void Run();
  Result<void> OpenCore();
  Result<void> Step(std::vector<wire::RaftMessage> aMessages, std::vector<PendingCommand> aCommands);
  void ProposeAll(std::vector<PendingCommand> aCommands);
  std::vector<wire::Replica> ChangedMembers(const wire::Command& aCommand) const;
  Result<void> StoreAndSend();
  void ApplyCommitted();
  Result<void> CompactIfLong();
  void SaveCommitIndex(Deadline aNow);
  void FailWaiters(const std::string& aMessage);
  void StartReads(std::vector<PendingRead> aReads, Deadline aNow);
  void AnswerReads(Deadline aNow);
  wire::ReadIndex UnconfirmedReadIndex() const;
  void HandleRoleChange();
  void PublishStatus();
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
  bool m_failed = false;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::vector<wire::RaftMessage> m_inbox;
  std::vector<PendingCommand> m_commands;
  std::vector<PendingRead> m_newReads;
  std::vector<wire::Replica> m_initialMembers;
  wire::GroupStatus m_status;
  std::thread m_thread;
};

/** Returns a result with an error code and its reason. */
wire::CommandResult
MakeFailedResult(wire::ResultCode::type aCode, const std::string& aMessage);

} // namespace mimosarun

#include "control/groupimpl.h"
