#pragma once

// Definitions of the Group template; included by control/group.h only.

namespace mimosarun {

static constexpr std::chrono::milliseconds kTickInterval{ 20 };
static constexpr std::chrono::milliseconds kHandOverPollInterval{ 5 };
static constexpr size_t kMaxQueuedCommands = 10000;

template<StateMachine Machine>
Group<Machine>::Group(GroupOptions aOptions, Machine& aMachine, Transport& aTransport)
  : m_name(aOptions.name)
  , m_transport(aTransport)
  , m_replica(std::move(aOptions), aMachine, aTransport)
{
}

template<StateMachine Machine>
Group<Machine>::~Group()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

template<StateMachine Machine>
Result<void>
Group<Machine>::Start()
{
  BOOST_OUTCOME_TRYV(m_replica.Open());
  PublishStatus();
  m_thread = std::thread([this] { Run(); });
  return boost::outcome_v2::success();
}

template<StateMachine Machine>
void
Group<Machine>::Form(std::vector<wire::Replica> aMembers)
{
  const std::lock_guard lock(m_mutex);
  m_input.initialMembers = std::move(aMembers);
  m_wake.notify_all();
}

template<StateMachine Machine>
void
Group<Machine>::Deliver(std::vector<wire::RaftMessage> aMessages)
{
  const std::lock_guard lock(m_mutex);
  m_input.messages.insert(m_input.messages.end(),
                          std::make_move_iterator(aMessages.begin()),
                          std::make_move_iterator(aMessages.end()));
  m_wake.notify_all();
}

template<StateMachine Machine>
wire::CommandResult
Group<Machine>::Submit(wire::Command aCommand, Deadline aDeadline)
{
  std::future<wire::CommandResult> future;
  {
    const std::lock_guard lock(m_mutex);
    if (m_input.commands.size() >= kMaxQueuedCommands) {
      return MakeFailedResult(wire::ResultCode::Unavailable,
                              "too many commands are waiting; try again later");
    }
    PendingCommand pending{ .command = std::move(aCommand), .promise = {} };
    future = pending.promise.get_future();
    m_input.commands.push_back(std::move(pending));
  }
  m_wake.notify_all();
  if (future.wait_until(aDeadline) != std::future_status::ready) {
    return MakeFailedResult(
      wire::ResultCode::Unknown,
      "no decision before the deadline; send the command again with the same request identifier");
  }
  return future.get();
}

template<StateMachine Machine>
wire::CommandResult
Group<Machine>::Join(const wire::Replica& aReplica, Deadline aDeadline)
{
  wire::Command command;
  command.kind = wire::CommandKind::ChangeMembers;
  command.members = { aReplica };
  return Submit(std::move(command), aDeadline);
}

template<StateMachine Machine>
wire::ReadIndex
Group<Machine>::ConfirmLeadership(Deadline aDeadline)
{
  std::future<wire::ReadIndex> future;
  {
    const std::lock_guard lock(m_mutex);
    PendingRead read{ .deadline = aDeadline, .promise = {} };
    future = read.promise.get_future();
    m_input.reads.push_back(std::move(read));
  }
  m_wake.notify_all();
  return future.wait_until(aDeadline) == std::future_status::ready ? future.get() : wire::ReadIndex{};
}

template<StateMachine Machine>
wire::GroupStatus
Group<Machine>::Status() const
{
  const std::lock_guard lock(m_mutex);
  return m_status;
}

template<StateMachine Machine>
void
Group<Machine>::Leave()
{
  const std::lock_guard lock(m_mutex);
  m_input.leaves = true;
  m_wake.notify_all();
}

template<StateMachine Machine>
bool
Group<Machine>::WaitUntilFollower(Deadline aDeadline) const
{
  wire::GroupStatus status = Status();
  while (status.leader == status.replica && SteadyClock::now() < aDeadline) {
    std::this_thread::sleep_for(kHandOverPollInterval);
    status = Status();
  }
  return status.leader != status.replica;
}

template<StateMachine Machine>
void
Group<Machine>::Run()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    if (m_input.messages.empty() && m_input.commands.empty() && m_input.reads.empty()) {
      m_wake.wait_until(lock, SteadyClock::now() + kTickInterval);
    }
    ReplicaInput input = std::exchange(m_input, {});
    lock.unlock();
    m_replica.Step(std::move(input));
    PublishStatus();
    lock.lock();
  }
  lock.unlock();
  m_replica.FailWaiters("the replica is stopping; send the command again with the same request identifier");
}

template<StateMachine Machine>
void
Group<Machine>::PublishStatus()
{
  wire::GroupStatus status = m_replica.Status();
  m_transport.AddPeers(status.members);
  const std::lock_guard lock(m_mutex);
  m_status = std::move(status);
}

} // namespace mimosarun
