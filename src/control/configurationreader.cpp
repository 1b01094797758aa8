#include "control/configurationreader.h"

#include <algorithm>
#include <thread>

namespace mimosarun {

static constexpr std::chrono::milliseconds kCatchUpPollInterval{ 2 };
static constexpr std::chrono::milliseconds kLeaderPollInterval{ 20 };

ConfigurationReader::ConfigurationReader(Options aOptions, const ConfigurationState& aState)
  : m_options(std::move(aOptions))
  , m_state(aState)
{
}

SnapshotPointer
ConfigurationReader::WaitUntilApplied(int64_t aIndex, Deadline aDeadline) const
{
  // The published status may be from before the replica opened its journal again, so only the state counts.
  SnapshotPointer current = m_state.CurrentAt(aIndex);
  while (current == nullptr && SteadyClock::now() < aDeadline) {
    std::this_thread::sleep_for(kCatchUpPollInterval);
    current = m_state.CurrentAt(aIndex);
  }
  return current;
}

SnapshotPointer
ConfigurationReader::WaitForNewest(Deadline aDeadline) const
{
  while (SteadyClock::now() < aDeadline) {
    const Result<wire::ReadIndex> readIndex = m_options.requestReadIndex(aDeadline);
    if (readIndex && readIndex.value().confirmed) {
      return WaitUntilApplied(readIndex.value().index, aDeadline);
    }
    std::this_thread::sleep_for(std::min(kLeaderPollInterval, TimeLeft(aDeadline)));
  }
  return nullptr;
}

bool
ConfigurationReader::WaitUntilCaughtUp(Deadline aDeadline) const
{
  return WaitForNewest(aDeadline) != nullptr;
}

Result<SnapshotPointer>
ConfigurationReader::ReadNewest(Deadline aDeadline) const
{
  SnapshotPointer newest = WaitForNewest(aDeadline);
  if (newest == nullptr) {
    return Fail(ErrorKind::NotLeader,
                "no quorum of replicas confirms which configuration is the newest; ask another replica");
  }
  return newest;
}

} // namespace mimosarun
