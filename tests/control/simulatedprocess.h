#pragma once

#include "common/clock.h"
#include "control/groupreplica.h"
#include "control/pausablestep.h"
#include "control/simulateddisk.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mimosarun {

using Keys = std::vector<std::string>;

/** The keys of the applied commands, in their order. */
class KeyState
{
public:
  /** @param aObserver called with each entry before it is applied */
  explicit KeyState(std::function<void(const wire::LogEntry&)> aObserver);

  wire::CommandResult Apply(const wire::LogEntry& aEntry);
  std::string Image() const;
  Result<void> Restore(const std::string& aImage, int64_t aIndex);

  int64_t AppliedIndex() const { return m_appliedIndex; }

  /** Returns whether the state contains the first aCount keys of a list. */
  bool ContainsFirst(const Keys& aKeys, size_t aCount) const;

private:
  void Add(const std::string& aKey);

  std::function<void(const wire::LogEntry&)> m_observer;
  Keys m_keys;
  std::set<std::string> m_set;
  int64_t m_appliedIndex = 0;
};

enum class Death
{
  Kill,
  PowerLoss,
  DiskLoss,
};

/** A simulated control process: a replica with a real journal on a simulated disk, and a clock of its own. */
class SimulatedProcess : public Transport
{
public:
  struct Options
  {
    std::string name;
    std::string folder;
    int64_t incarnation = 0;
    int voterCount = 0;
    /** Initial members, for a replica that forms the group. */
    std::vector<wire::Replica> initialMembers;
    std::function<Deadline()> clock;
    uint64_t seed = 0;
    std::function<void(const wire::LogEntry&)> observer;
    std::function<void(std::vector<wire::RaftMessage>)> send;
  };

  /** Where a process stops for a while. */
  enum class PausePoint
  {
    None,
    Operation,
    Send,
  };

  explicit SimulatedProcess(Options aOptions);

  /** Opens the data folder; returns whether the replica could start. */
  bool Open();

  void SetFaults(const DiskFaults& aFaults) { m_faults = aFaults; }
  const DiskFaults& Faults() const { return m_faults; }

  /** Lets the process pause at a disk operation of one of its next steps, or before its next messages. */
  void PauseAt(PausePoint aPoint, int aOperations);

  bool IsPaused() const { return m_step.IsPaused(); }
  bool WasKilled() const { return m_faults.operationsLeft == 0; }

  /** Handles what has arrived, until it is done or pauses. */
  void Step();

  /** Continues a step that has paused. */
  void Resume();

  /** Ends the process in whatever it does. */
  void Kill();

  ReplicaInput& Input() { return m_input; }
  bool HasInput() const;
  const KeyState& State() const { return m_state; }

  /** Returns the status after the last step, which other processes are told. */
  const wire::GroupStatus& Status() const { return m_status; }
  bool IsLeader() const { return m_status.leader == m_options.name; }

  void Send(std::vector<wire::RaftMessage> aMessages) override;

private:
  void UseDisk(const std::function<void()>& aUse);
  void BeforeOperation();

  Options m_options;
  KeyState m_state;
  std::unique_ptr<GroupReplica<KeyState>> m_replica;
  ReplicaInput m_input;
  wire::GroupStatus m_status;
  DiskFaults m_faults;
  PausePoint m_pausePoint = PausePoint::None;
  int m_operationsUntilPause = 0;
  bool m_isDying = false;
  /** Destroyed first, since a paused step uses the others. */
  PausableStep m_step;
};

} // namespace mimosarun
