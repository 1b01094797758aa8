#include "control/simulatedprocess.h"

#include <algorithm>
#include <sstream>

namespace mimosarun {

static constexpr int64_t kEntriesBeforeSnapshot = 25;

KeyState::KeyState(std::function<void(const wire::LogEntry&)> aObserver)
  : m_observer(std::move(aObserver))
{
}

void
KeyState::Add(const std::string& aKey)
{
  m_keys.push_back(aKey);
  m_set.insert(aKey);
}

wire::CommandResult
KeyState::Apply(const wire::LogEntry& aEntry)
{
  m_observer(aEntry);
  if (!aEntry.command.key.empty()) {
    Add(aEntry.command.key);
  }
  m_appliedIndex = aEntry.index;
  return {};
}

std::string
KeyState::Image() const
{
  std::string image;
  for (const std::string& key : m_keys) {
    image += key + " ";
  }
  return image;
}

Result<void>
KeyState::Restore(const std::string& aImage, int64_t aIndex)
{
  m_keys.clear();
  m_set.clear();
  std::istringstream stream(aImage);
  for (std::string key; stream >> key;) {
    Add(key);
  }
  m_appliedIndex = aIndex;
  return boost::outcome_v2::success();
}

bool
KeyState::ContainsFirst(const Keys& aKeys, size_t aCount) const
{
  const auto end = aKeys.begin() + static_cast<std::ptrdiff_t>(aCount);
  return std::all_of(aKeys.begin(), end, [&](const std::string& aKey) { return m_set.contains(aKey); });
}

SimulatedProcess::SimulatedProcess(Options aOptions)
  : m_options(std::move(aOptions))
  , m_state(m_options.observer)
  , m_replica(
      std::make_unique<GroupReplica<KeyState>>(GroupOptions{ .name = "configuration",
                                                             .replica = m_options.name,
                                                             .incarnation = m_options.incarnation,
                                                             .folder = m_options.folder + "/configuration",
                                                             .address = "",
                                                             .voterCount = m_options.voterCount,
                                                             .seed = m_options.seed,
                                                             .entriesBeforeSnapshot = kEntriesBeforeSnapshot,
                                                             .clock = m_options.clock },
                                               m_state,
                                               *this))
{
}

bool
SimulatedProcess::Open()
{
  if (!m_replica->Open()) {
    return false;
  }
  m_replica->Step(
    { .messages = {}, .commands = {}, .reads = {}, .initialMembers = m_options.initialMembers });
  m_status = m_replica->Status();
  return !m_status.failed;
}

void
SimulatedProcess::PauseAt(PausePoint aPoint, int aOperations)
{
  m_pausePoint = aPoint;
  m_operationsUntilPause = aOperations;
}

bool
SimulatedProcess::HasInput() const
{
  return !m_input.messages.empty() || !m_input.commands.empty() || !m_input.reads.empty();
}

void
SimulatedProcess::BeforeOperation()
{
  if (m_pausePoint == PausePoint::Operation && m_operationsUntilPause-- == 0) {
    m_pausePoint = PausePoint::None;
    m_step.Pause();
  }
}

void
SimulatedProcess::UseDisk(const std::function<void()>& aUse)
{
  DiskFaults faults = m_faults;
  faults.beforeOperation = [this] { BeforeOperation(); };
  SimulatedDisk::SetFaults(faults);
  aUse();
  if (m_faults.operationsLeft > 0) {
    m_faults.operationsLeft = SimulatedDisk::OperationsLeft();
  }
  SimulatedDisk::SetFaults({});
  if (!m_step.IsPaused()) {
    m_status = m_replica->Status();
  }
}

void
SimulatedProcess::Step()
{
  const auto step = [this] { m_replica->Step(std::exchange(m_input, {})); };
  UseDisk([&] { m_pausePoint == PausePoint::None ? step() : m_step.Run(step); });
}

void
SimulatedProcess::Resume()
{
  UseDisk([this] { m_step.Resume(); });
}

void
SimulatedProcess::Kill()
{
  m_isDying = true;
  m_pausePoint = PausePoint::None;
  m_faults = { .operationsLeft = 0 };
  while (m_step.IsPaused()) {
    Resume();
  }
}

void
SimulatedProcess::Send(std::vector<wire::RaftMessage> aMessages)
{
  if (m_pausePoint == PausePoint::Send && !aMessages.empty()) {
    m_pausePoint = PausePoint::None;
    m_step.Pause();
  }
  // What a killed process would have sent is lost.
  if (!m_isDying) {
    m_options.send(std::move(aMessages));
  }
}

} // namespace mimosarun
