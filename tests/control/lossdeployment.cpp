#include "control/lossdeployment.h"

#include "control/raftmessages.h"

#include <rapidcheck.h>

#include <unistd.h>

#include <algorithm>
#include <filesystem>

namespace mimosarun {

using std::chrono::milliseconds;

/** Time after which a machine that is back doesn't count as lost any more (catchUp of the users). */
static constexpr milliseconds kCatchUp{ 4000 };
static constexpr milliseconds kStep{ 5 };
static constexpr milliseconds kTickInterval{ 20 };
static constexpr milliseconds kLinkDelay{ 5 };
static constexpr uint64_t kLinkJitterMillis = 15;
static constexpr milliseconds kReadTimeout{ 900 };
// As in Controller.
static constexpr milliseconds kWatchInterval{ 250 };
static constexpr milliseconds kStatusTimeout{ 300 };
static constexpr milliseconds kJoinTimeout{ 1500 };
static constexpr milliseconds kLeaderlessLimit{ 2500 };
static constexpr int kVoterCount = 3;

LossDeployment::LossDeployment(uint64_t aSeed)
  : m_random(aSeed)
  , m_root(std::filesystem::temp_directory_path().string() + "/losses-" + std::to_string(::getpid()))
  , m_initialMembers(MakeGroupOf({ "r0", "r1", "r2" }).members)
{
  SimulatedDisk::Use(m_root);
  for (int i = 0; i <= kVoterCount; ++i) {
    AddMachine(i < kVoterCount);
  }
}

LossDeployment::~LossDeployment()
{
  m_machines.clear();
  SimulatedDisk::Use(m_root);
}

void
LossDeployment::AddMachine(bool aForms)
{
  auto machine = std::make_unique<LossMachine>();
  machine->name = "r" + std::to_string(m_machines.size());
  machine->folder = m_root + "/" + machine->name;
  m_machines.push_back(std::move(machine));
  Start(*m_machines.back(), aForms);
}

void
LossDeployment::Start(LossMachine& aMachine, bool aForms)
{
  aMachine.incarnation = LoadOrCreateIncarnation(aMachine.folder, aForms ? 1 : ++m_nextIncarnation).value();
  aMachine.process = std::make_unique<SimulatedProcess>(SimulatedProcess::Options{
    .name = aMachine.name,
    .folder = aMachine.folder,
    .incarnation = aMachine.incarnation,
    .voterCount = kVoterCount,
    .initialMembers = aForms ? m_initialMembers : std::vector<wire::Replica>{},
    .clock = [this, &aMachine] { return ClockOf(aMachine); },
    .seed = m_random(),
    .observer = [this](const wire::LogEntry& aEntry) { CheckApplied(aEntry); },
    .send = [this](std::vector<wire::RaftMessage> aMessages) { Send(std::move(aMessages)); } });
  aMachine.leaderSeenAt = ClockOf(aMachine);
  // A replica that refuses to start counts as lost with its disk.
  RC_ASSERT(aMachine.process->Open());
}

void
LossDeployment::Die(LossMachine& aMachine, Death aDeath, milliseconds aDownTime)
{
  if (aMachine.isGone) {
    return;
  }
  CollectAcknowledgements();
  ForgetCallsOf(aMachine.name);
  // What a failed sync should have covered is lost for good only with the machine.
  const bool isRebooted =
    aDeath == Death::Kill && aMachine.process != nullptr && aMachine.process->Faults().refusesSyncs;
  if (aMachine.process != nullptr) {
    aMachine.process->Kill();
    aMachine.process.reset();
  }
  aMachine.pause = {};
  aMachine.pausedUntil = {};
  aMachine.startAt = m_now + aDownTime;
  CountLost(aDownTime);
  if (aDeath == Death::PowerLoss || isRebooted) {
    SimulatedDisk::LosePower(aMachine.folder, m_random);
  } else if (aDeath == Death::DiskLoss) {
    SimulatedDisk::LoseDisk(aMachine.folder);
  }
}

void
LossDeployment::CountLost(milliseconds aTime)
{
  m_noneLostAt = std::max(m_noneLostAt, m_now + aTime + kCatchUp);
}

void
LossDeployment::BeginPause(LossMachine& aMachine)
{
  aMachine.pausedUntil = m_now + aMachine.pause.time;
  aMachine.clockLag += aMachine.pause.stopsClock ? aMachine.pause.time : milliseconds(0);
  CountLost(aMachine.pause.time);
}

void
LossDeployment::ForgetCallsOf(const std::string& aMachine)
{
  std::erase_if(m_changes, [&](const Change& aChange) { return aChange.machine == aMachine; });
  std::erase_if(m_reads, [&](const Read& aRead) { return aRead.machine == aMachine; });
}

void
LossDeployment::Cut(std::set<std::string> aMachines, milliseconds aTime)
{
  m_otherSide = std::move(aMachines);
  m_cutUntil = m_now + aTime;
  CountLost(aTime);
}

std::vector<LossMachine*>
LossDeployment::Present() const
{
  std::vector<LossMachine*> present;
  for (const auto& machine : m_machines) {
    if (!machine->isGone) {
      present.push_back(machine.get());
    }
  }
  return present;
}

LossMachine*
LossDeployment::Find(const std::string& aName) const
{
  const auto found = std::find_if(
    m_machines.begin(), m_machines.end(), [&](const auto& aMachine) { return aMachine->name == aName; });
  return found == m_machines.end() ? nullptr : found->get();
}

bool
LossDeployment::IsCut(const std::string& aFrom, const std::string& aTo) const
{
  return m_now < m_cutUntil && m_otherSide.contains(aFrom) != m_otherSide.contains(aTo);
}

bool
LossDeployment::Answers(const LossMachine& aMachine, const std::string& aTo) const
{
  const bool isFrozen = aMachine.pause.freezes && m_now < aMachine.pausedUntil;
  return aMachine.process != nullptr && !isFrozen && !IsCut(aMachine.name, aTo);
}

// --- steps -----------------------------------------------------------------------------------------------

void
LossDeployment::Run(milliseconds aTime)
{
  for (const Deadline end = m_now + aTime; m_now < end;) {
    Step();
  }
}

void
LossDeployment::Step()
{
  m_now += kStep;
  Deliver();
  SendChangesAndReads();
  for (const auto& machine : m_machines) {
    if (machine->process == nullptr && !machine->isGone && m_now >= machine->startAt) {
      Start(*machine, false);
    }
    if (machine->process != nullptr) {
      StepMachine(*machine);
    }
  }
  CollectAcknowledgements();
  CheckReads();
}

void
LossDeployment::StepPaused(LossMachine& aMachine)
{
  if (m_now < aMachine.pausedUntil) {
    return;
  }
  if (aMachine.pause.endsInDeath) {
    Die(aMachine, aMachine.death, aMachine.downTime);
    return;
  }
  aMachine.process->Resume();
}

void
LossDeployment::StepMachine(LossMachine& aMachine)
{
  SimulatedProcess& process = *aMachine.process;
  if (process.IsPaused()) {
    StepPaused(aMachine);
  } else if (m_now >= aMachine.pausedUntil) {
    Watch(aMachine);
    if (!process.HasInput() && m_now < aMachine.tickAt) {
      return;
    }
    aMachine.tickAt = m_now + kTickInterval;
    process.Step();
    if (process.IsPaused()) {
      BeginPause(aMachine);
    }
  }
  if (aMachine.process != nullptr && process.WasKilled()) {
    Die(aMachine, aMachine.death, aMachine.downTime);
  }
}

void
LossDeployment::Deliver()
{
  const auto due = m_network.upper_bound(m_now);
  for (auto delivery = m_network.begin(); delivery != due; ++delivery) {
    const wire::RaftMessage& message = delivery->second;
    LossMachine* receiver = Find(message.receiver);
    if (receiver != nullptr && receiver->process != nullptr && !IsCut(message.sender, message.receiver)) {
      receiver->process->Input().messages.push_back(message);
    }
  }
  m_network.erase(m_network.begin(), due);
}

void
LossDeployment::Send(std::vector<wire::RaftMessage> aMessages)
{
  for (wire::RaftMessage& message : aMessages) {
    m_network.emplace(m_now + kLinkDelay + milliseconds(Below(kLinkJitterMillis)), std::move(message));
  }
}

// --- operators -------------------------------------------------------------------------------------------

/** Operators send a change, or read, to any machine that takes itself for the leader. */
void
LossDeployment::SendChangesAndReads()
{
  for (const auto& machine : m_machines) {
    if (machine->process == nullptr || !machine->process->IsLeader()) {
      continue;
    }
    ReplicaInput& input = machine->process->Input();
    if (Below(40) == 0) {
      PendingCommand command;
      command.command.kind = wire::CommandKind::Replace;
      command.command.key = "k" + std::to_string(++m_nextKey);
      m_changes.push_back(
        { .machine = machine->name, .key = command.command.key, .result = command.promise.get_future() });
      input.commands.push_back(std::move(command));
    }
    if (Below(10) == 0) {
      PendingRead read{ .deadline = ClockOf(*machine) + kReadTimeout, .promise = {} };
      m_reads.push_back({ .machine = machine->name,
                          .acknowledgedCount = m_acknowledged.size(),
                          .acknowledgedIndex = m_acknowledgedIndex,
                          .result = read.promise.get_future() });
      input.reads.push_back(std::move(read));
    }
  }
}

template<typename Value>
static bool
IsReady(const std::future<Value>& aFuture)
{
  return aFuture.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

void
LossDeployment::CollectAcknowledgements()
{
  std::erase_if(m_changes, [&](Change& aChange) {
    if (!IsReady(aChange.result)) {
      return false;
    }
    if (aChange.result.get().code == wire::ResultCode::Done) {
      m_acknowledged.push_back(aChange.key);
      m_acknowledgedIndex = std::max(m_acknowledgedIndex, m_indexByKey.at(aChange.key));
    }
    return true;
  });
}

/** Returns whether a read has ended. */
bool
LossDeployment::CheckRead(Read& aRead)
{
  if (!aRead.confirmedIndex) {
    if (!IsReady(aRead.result)) {
      return false;
    }
    const wire::ReadIndex answer = aRead.result.get();
    // A confirmed read is never older than what was acknowledged before it.
    RC_ASSERT(!answer.confirmed || answer.index >= aRead.acknowledgedIndex);
    if (!answer.confirmed) {
      return true;
    }
    aRead.confirmedIndex = answer.index;
  }
  const KeyState& state = Find(aRead.machine)->process->State();
  if (state.AppliedIndex() < *aRead.confirmedIndex) {
    return false;
  }
  RC_ASSERT(state.ContainsFirst(m_acknowledged, aRead.acknowledgedCount));
  return true;
}

void
LossDeployment::CheckReads()
{
  std::erase_if(m_reads, [this](Read& aRead) { return CheckRead(aRead); });
}

void
LossDeployment::CheckApplied(const wire::LogEntry& aEntry)
{
  const auto [known, isNew] = m_committed.emplace(aEntry.index, aEntry);
  // No two replicas ever apply different commands at an index.
  RC_ASSERT(known->second.term == aEntry.term);
  RC_ASSERT(known->second.command.key == aEntry.command.key);
  m_indexByKey[aEntry.command.key] = aEntry.index;
}

bool
LossDeployment::CommitsWithin(milliseconds aTime)
{
  const size_t before = m_acknowledged.size();
  for (const Deadline end = m_now + aTime; m_now < end;) {
    Step();
    if (m_acknowledged.size() <= before + 1) {
      continue;
    }
    const auto holder = std::find_if(m_machines.begin(), m_machines.end(), [&](const auto& aMachine) {
      return aMachine->process != nullptr && aMachine->process->State().AppliedIndex() >= m_acknowledgedIndex;
    });
    RC_ASSERT(holder != m_machines.end());
    RC_ASSERT((*holder)->process->State().ContainsFirst(m_acknowledged, m_acknowledged.size()));
    return true;
  }
  return false;
}

// --- joining, as Controller::MaintainMembership() does it --------------------------------------------------

void
LossDeployment::Watch(LossMachine& aMachine)
{
  if (m_now < aMachine.watchAt) {
    return;
  }
  aMachine.watchAt = m_now + kWatchInterval;
  const wire::GroupStatus& status = aMachine.process->Status();
  if (!status.leader.empty()) {
    aMachine.leaderSeenAt = ClockOf(aMachine);
  }
  if (!status.formed) {
    Discover(aMachine);
  } else if (!status.leader.empty() && !HasMember(status.members, aMachine.name, aMachine.incarnation)) {
    Join(aMachine, status.leader);
  } else if (ClockOf(aMachine) > aMachine.leaderSeenAt + kLeaderlessLimit) {
    Discover(aMachine);
  }
}

void
LossDeployment::Discover(LossMachine& aMachine)
{
  for (const auto& other : m_machines) {
    if (other.get() == &aMachine || other->isGone) {
      continue;
    }
    if (!Answers(*other, aMachine.name)) {
      aMachine.watchAt += kStatusTimeout;
      continue;
    }
    const wire::GroupStatus& status = other->process->Status();
    if (status.leader.empty() || !status.formed) {
      continue;
    }
    if (!HasMember(status.members, aMachine.name, aMachine.incarnation)) {
      Join(aMachine, status.leader);
    }
    return;
  }
}

void
LossDeployment::Join(LossMachine& aMachine, const std::string& aLeader)
{
  LossMachine* leader = Find(aLeader);
  if (leader == nullptr || !Answers(*leader, aMachine.name)) {
    aMachine.watchAt += kJoinTimeout;
    return;
  }
  PendingCommand command;
  command.command.kind = wire::CommandKind::ChangeMembers;
  command.command.members.emplace_back();
  command.command.members.back().name = aMachine.name;
  command.command.members.back().incarnation = aMachine.incarnation;
  leader->process->Input().commands.push_back(std::move(command));
}

} // namespace mimosarun
