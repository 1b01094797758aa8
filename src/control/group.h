#pragma once

#include "common/clock.h"
#include "control/groupreplica.h"
#include "control/transport.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/** Runs this process's replica of one replicated log in a thread of its own. */
template<StateMachine Machine>
class Group
{
public:
  Group(GroupOptions aOptions, Machine& aMachine, Transport& aTransport);
  ~Group();

  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  const std::string& Name() const { return m_name; }

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

  /** Makes the replica take no commands any more and hand its leadership over if it leads. */
  void Leave();

  /** Waits until the replica doesn't lead; returns whether that is so at the deadline. */
  bool WaitUntilFollower(Deadline aDeadline) const;

  /**
   * Returns the commit index if a quorum confirms after the start of the call that this replica leads,
   * otherwise the leader it knows.
   */
  wire::ReadIndex ConfirmLeadership(Deadline aDeadline);

private:
  void Run();
  void PublishStatus();

  const std::string m_name;
  Transport& m_transport;
  GroupReplica<Machine> m_replica;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  ReplicaInput m_input;
  wire::GroupStatus m_status;
  std::thread m_thread;
};

} // namespace mimosarun

#include "control/groupimpl.h"
