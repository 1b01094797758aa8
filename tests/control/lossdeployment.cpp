#include "control/lossdeployment.h"

#include "control/raftmessages.h"

#include <rapidcheck.h>

#include <unistd.h>

#include <algorithm>
#include <filesystem>

namespace mimosarun {

using std::chrono::milliseconds;

/** Time after which a VM that is back doesn't count as lost any more. */
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
    AddVm(i < kVoterCount);
  }
}

LossDeployment::~LossDeployment()
{
  m_vms.clear();
  SimulatedDisk::Use(m_root);
}

void
LossDeployment::AddVm(bool aForms)
{
  auto vm = std::make_unique<LossVm>();
  vm->name = "r" + std::to_string(m_vms.size());
  vm->folder = m_root + "/" + vm->name;
  m_vms.push_back(std::move(vm));
  Start(*m_vms.back(), aForms);
}

void
LossDeployment::Start(LossVm& aVm, bool aForms)
{
  aVm.incarnation = LoadOrCreateIncarnation(aVm.folder, aForms ? 1 : ++m_nextIncarnation).value();
  aVm.process = std::make_unique<SimulatedProcess>(SimulatedProcess::Options{
    .name = aVm.name,
    .folder = aVm.folder,
    .incarnation = aVm.incarnation,
    .voterCount = kVoterCount,
    .initialMembers = aForms ? m_initialMembers : std::vector<wire::Replica>{},
    .clock = [this, &aVm] { return ClockOf(aVm); },
    .seed = m_random(),
    .observer = [this](const wire::LogEntry& aEntry) { CheckApplied(aEntry); },
    .send = [this](std::vector<wire::RaftMessage> aMessages) { Send(std::move(aMessages)); } });
  aVm.leaderSeenAt = ClockOf(aVm);
  // A replica that refuses to start counts as lost with its disk.
  RC_ASSERT(aVm.process->Open());
}

void
LossDeployment::Die(LossVm& aVm, Death aDeath, milliseconds aDownTime)
{
  if (aVm.isGone) {
    return;
  }
  CollectAcknowledgements();
  ForgetCallsOf(aVm.name);
  // What a failed sync should have covered is lost for good only with the VM.
  const bool isRebooted =
    aDeath == Death::Kill && aVm.process != nullptr && aVm.process->Faults().refusesSyncs;
  if (aVm.process != nullptr) {
    aVm.process->Kill();
    aVm.process.reset();
  }
  aVm.pause = {};
  aVm.pausedUntil = {};
  aVm.startAt = m_now + aDownTime;
  CountLost(aDownTime);
  if (aDeath == Death::PowerLoss || isRebooted) {
    SimulatedDisk::LosePower(aVm.folder, m_random);
  } else if (aDeath == Death::DiskLoss) {
    SimulatedDisk::LoseDisk(aVm.folder);
  }
}

void
LossDeployment::CountLost(milliseconds aTime)
{
  m_noneLostAt = std::max(m_noneLostAt, m_now + aTime + kCatchUp);
}

void
LossDeployment::BeginPause(LossVm& aVm)
{
  aVm.pausedUntil = m_now + aVm.pause.time;
  aVm.clockLag += aVm.pause.stopsClock ? aVm.pause.time : milliseconds(0);
  CountLost(aVm.pause.time);
}

void
LossDeployment::ForgetCallsOf(const std::string& aVm)
{
  std::erase_if(m_changes, [&](const Change& aChange) { return aChange.vm == aVm; });
  std::erase_if(m_reads, [&](const Read& aRead) { return aRead.vm == aVm; });
}

void
LossDeployment::Cut(std::set<std::string> aVms, milliseconds aTime)
{
  m_otherSide = std::move(aVms);
  m_cutUntil = m_now + aTime;
  CountLost(aTime);
}

std::vector<LossVm*>
LossDeployment::Present() const
{
  std::vector<LossVm*> present;
  for (const auto& vm : m_vms) {
    if (!vm->isGone) {
      present.push_back(vm.get());
    }
  }
  return present;
}

LossVm*
LossDeployment::Find(const std::string& aName) const
{
  const auto found =
    std::find_if(m_vms.begin(), m_vms.end(), [&](const auto& aVm) { return aVm->name == aName; });
  return found == m_vms.end() ? nullptr : found->get();
}

bool
LossDeployment::IsCut(const std::string& aFrom, const std::string& aTo) const
{
  return m_now < m_cutUntil && m_otherSide.contains(aFrom) != m_otherSide.contains(aTo);
}

bool
LossDeployment::Answers(const LossVm& aVm, const std::string& aTo) const
{
  const bool isFrozen = aVm.pause.freezes && m_now < aVm.pausedUntil;
  return aVm.process != nullptr && !isFrozen && !IsCut(aVm.name, aTo);
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
  for (const auto& vm : m_vms) {
    if (vm->process == nullptr && !vm->isGone && m_now >= vm->startAt) {
      Start(*vm, false);
    }
    if (vm->process != nullptr) {
      StepVm(*vm);
    }
  }
  CollectAcknowledgements();
  CheckReads();
}

void
LossDeployment::StepPaused(LossVm& aVm)
{
  if (m_now < aVm.pausedUntil) {
    return;
  }
  if (aVm.pause.endsInDeath) {
    Die(aVm, aVm.death, aVm.downTime);
    return;
  }
  aVm.process->Resume();
}

void
LossDeployment::StepVm(LossVm& aVm)
{
  SimulatedProcess& process = *aVm.process;
  if (process.IsPaused()) {
    StepPaused(aVm);
  } else if (m_now >= aVm.pausedUntil) {
    Watch(aVm);
    if (!process.HasInput() && m_now < aVm.tickAt) {
      return;
    }
    aVm.tickAt = m_now + kTickInterval;
    process.Step();
    if (process.IsPaused()) {
      BeginPause(aVm);
    }
  }
  if (aVm.process != nullptr && process.WasKilled()) {
    Die(aVm, aVm.death, aVm.downTime);
  }
}

void
LossDeployment::Deliver()
{
  const auto due = m_network.upper_bound(m_now);
  for (auto delivery = m_network.begin(); delivery != due; ++delivery) {
    const wire::RaftMessage& message = delivery->second;
    LossVm* receiver = Find(message.receiver);
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

/** Operators send a change, or read, to any VM that takes itself for the leader. */
void
LossDeployment::SendChangesAndReads()
{
  for (const auto& vm : m_vms) {
    if (vm->process == nullptr || !vm->process->IsLeader()) {
      continue;
    }
    ReplicaInput& input = vm->process->Input();
    if (Below(40) == 0) {
      PendingCommand command;
      command.command.kind = wire::CommandKind::Replace;
      command.command.key = "k" + std::to_string(++m_nextKey);
      m_changes.push_back(
        { .vm = vm->name, .key = command.command.key, .result = command.promise.get_future() });
      input.commands.push_back(std::move(command));
    }
    if (Below(10) == 0) {
      PendingRead read{ .deadline = ClockOf(*vm) + kReadTimeout, .promise = {} };
      m_reads.push_back({ .vm = vm->name,
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
  const KeyState& state = Find(aRead.vm)->process->State();
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
    const auto holder = std::find_if(m_vms.begin(), m_vms.end(), [&](const auto& aVm) {
      return aVm->process != nullptr && aVm->process->State().AppliedIndex() >= m_acknowledgedIndex;
    });
    RC_ASSERT(holder != m_vms.end());
    RC_ASSERT((*holder)->process->State().ContainsFirst(m_acknowledged, m_acknowledged.size()));
    return true;
  }
  return false;
}

// --- joining, as Controller::MaintainMembership() does it --------------------------------------------------

void
LossDeployment::Watch(LossVm& aVm)
{
  if (m_now < aVm.watchAt) {
    return;
  }
  aVm.watchAt = m_now + kWatchInterval;
  const wire::GroupStatus& status = aVm.process->Status();
  if (!status.leader.empty()) {
    aVm.leaderSeenAt = ClockOf(aVm);
  }
  if (!status.formed) {
    Discover(aVm);
  } else if (!status.leader.empty() && !HasMember(status.members, aVm.name, aVm.incarnation)) {
    Join(aVm, status.leader);
  } else if (ClockOf(aVm) > aVm.leaderSeenAt + kLeaderlessLimit) {
    Discover(aVm);
  }
}

void
LossDeployment::Discover(LossVm& aVm)
{
  for (const auto& other : m_vms) {
    if (other.get() == &aVm || other->isGone) {
      continue;
    }
    if (!Answers(*other, aVm.name)) {
      aVm.watchAt += kStatusTimeout;
      continue;
    }
    const wire::GroupStatus& status = other->process->Status();
    if (status.leader.empty() || !status.formed) {
      continue;
    }
    if (!HasMember(status.members, aVm.name, aVm.incarnation)) {
      Join(aVm, status.leader);
    }
    return;
  }
}

void
LossDeployment::Join(LossVm& aVm, const std::string& aLeader)
{
  LossVm* leader = Find(aLeader);
  if (leader == nullptr || !Answers(*leader, aVm.name)) {
    aVm.watchAt += kJoinTimeout;
    return;
  }
  PendingCommand command;
  command.command.kind = wire::CommandKind::ChangeMembers;
  command.command.members.emplace_back();
  command.command.members.back().name = aVm.name;
  command.command.members.back().incarnation = aVm.incarnation;
  leader->process->Input().commands.push_back(std::move(command));
}

} // namespace mimosarun
