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

bool
ConfigurationReader::WaitUntilApplied(int64_t aIndex, Deadline aDeadline) const
{
  while (m_options.status().applied < aIndex) {
    if (SteadyClock::now() >= aDeadline) {
      return false;
    }
    std::this_thread::sleep_for(kCatchUpPollInterval);
  }
  return true;
}

bool
ConfigurationReader::WaitUntilCaughtUp(Deadline aDeadline) const
{
  while (SteadyClock::now() < aDeadline) {
    const Result<wire::ReadIndex> readIndex = m_options.requestReadIndex(aDeadline);
    if (readIndex && readIndex.value().confirmed) {
      return WaitUntilApplied(readIndex.value().index, aDeadline);
    }
    std::this_thread::sleep_for(std::min(kLeaderPollInterval, TimeLeft(aDeadline)));
  }
  return false;
}

Result<SnapshotPointer>
ConfigurationReader::ReadNewest(Deadline aDeadline) const
{
  if (!WaitUntilCaughtUp(aDeadline)) {
    return Fail(ErrorKind::NotLeader,
                "no quorum of replicas confirms which configuration is the newest; ask another replica");
  }
  return m_state.Current();
}

} // namespace mimosarun
