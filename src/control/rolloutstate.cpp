#include "control/rolloutstate.h"

#include "common/log.h"
#include "control/group.h"

#include <algorithm>

namespace mimosarun {

static constexpr const char* kOrderedStage = "ordered";
static constexpr int32_t kWhole = 1000;
/** Operators send an order again for some seconds if its acknowledgement was lost. */
static constexpr std::chrono::seconds kRepeatedOrderTime{ 15 };
static constexpr size_t kRejectedVersionLimit = 32;
/** A restarted replica applies entries of its journal within this time, however old they are. */
static constexpr std::chrono::seconds kReplayTime{ 10 };

const char*
Name(wire::RolloutState::type aState)
{
  switch (aState) {
    case wire::RolloutState::Running:
      return "running";
    case wire::RolloutState::Completed:
      return "completed";
    case wire::RolloutState::RolledBack:
      return "rolled_back";
  }
  return "unknown";
}

std::chrono::milliseconds
AppliedRollout::Elapsed(Deadline aNow, WallTime aWallNow) const
{
  using std::chrono::milliseconds;
  const milliseconds sinceRecord =
    milliseconds(record.elapsedMillis) + std::chrono::duration_cast<milliseconds>(aNow - appliedAt);
  const auto sinceOrder = std::chrono::duration_cast<milliseconds>(aNow - orderAppliedAt);
  const milliseconds elapsed = std::max(sinceRecord, sinceOrder);
  if (!isReplayed) {
    return elapsed;
  }
  const WallTime orderedAt{ std::chrono::microseconds(record.orderedAtMicros) };
  return std::max(elapsed, std::chrono::duration_cast<milliseconds>(aWallNow - orderedAt));
}

RolloutState::RolloutState()
  : m_createdAt(SteadyClock::now())
{
}

static bool
IsSameOrder(const wire::RolloutRecord& aRecord, const wire::RolloutRecord& aOrder)
{
  return aRecord.candidateVersion == aOrder.candidateVersion &&
         aRecord.durationMillis == aOrder.durationMillis;
}

/** Returns whether an order may be a repetition of the one that led to a record. */
static bool
MayRepeat(const wire::RolloutRecord& aRecord, const wire::Command& aCommand)
{
  if (aRecord.state == wire::RolloutState::Running) {
    return true;
  }
  const std::chrono::microseconds endedAt =
    std::chrono::microseconds(aRecord.orderedAtMicros) + std::chrono::milliseconds(aRecord.elapsedMillis);
  return std::chrono::microseconds(aCommand.atMicros) <= endedAt + kRepeatedOrderTime;
}

wire::CommandResult
RolloutState::Start(const wire::Command& aCommand, Deadline aNow)
{
  const wire::RolloutRecord& order = aCommand.rollout;
  if (order.serviceName.empty() || order.candidateVersion.empty() || order.durationMillis <= 0) {
    return MakeFailedResult(wire::ResultCode::Invalid,
                            "a roll-out needs a service, a version and a duration above zero");
  }
  wire::RolloutRecord record;
  if (const auto known = m_rollouts.find(order.serviceName); known != m_rollouts.end()) {
    const wire::RolloutRecord& former = known->second.record;
    if (IsSameOrder(former, order) && MayRepeat(former, aCommand)) {
      wire::CommandResult repeated;
      repeated.version = former.revision;
      return repeated;
    }
    if (former.state == wire::RolloutState::Running) {
      return MakeFailedResult(wire::ResultCode::Taken,
                              order.serviceName + ": the roll-out of version '" + former.candidateVersion +
                                "' is running; wait for its end or end it first");
    }
    record.rejectedVersions = former.rejectedVersions;
    std::erase(record.rejectedVersions, order.candidateVersion);
  }
  record.serviceName = order.serviceName;
  record.candidateVersion = order.candidateVersion;
  record.durationMillis = order.durationMillis;
  record.orderedAtMicros = aCommand.atMicros;
  record.stage = kOrderedStage;
  record.reason = "ordered by " + (aCommand.author.empty() ? std::string("an operator") : aCommand.author);
  Log(Event::RolloutStarted,
      { { "service", record.serviceName },
        { "version", record.candidateVersion },
        { "millis", record.durationMillis },
        { "author", aCommand.author } });
  return Store(std::move(record), aNow, aNow);
}

wire::CommandResult
RolloutState::Advance(const wire::Command& aCommand, Deadline aNow)
{
  const wire::RolloutRecord& change = aCommand.rollout;
  const auto known = m_rollouts.find(change.serviceName);
  if (known == m_rollouts.end()) {
    return MakeFailedResult(wire::ResultCode::Invalid, change.serviceName + ": has no roll-out");
  }
  wire::RolloutRecord record = known->second.record;
  if (record.state != wire::RolloutState::Running || record.revision != aCommand.basedOn) {
    return MakeFailedResult(wire::ResultCode::StaleBase,
                            change.serviceName + ": the roll-out is " + Name(record.state) + " at revision " +
                              std::to_string(record.revision) + "; look at it and try again");
  }
  const bool isRolledBack = change.state == wire::RolloutState::RolledBack;
  record.state = change.state;
  record.stage = change.stage;
  record.candidatePermille = isRolledBack ? 0 : std::clamp(change.candidatePermille, 0, kWhole);
  record.canaryTargets = change.canaryTargets;
  record.reason = change.reason;
  record.elapsedMillis = std::max(record.elapsedMillis, change.elapsedMillis);
  if (isRolledBack) {
    std::erase(record.rejectedVersions, record.candidateVersion);
    record.rejectedVersions.push_back(record.candidateVersion);
    if (record.rejectedVersions.size() > kRejectedVersionLimit) {
      record.rejectedVersions.erase(record.rejectedVersions.begin());
    }
  }
  return Store(std::move(record), known->second.orderAppliedAt, aNow);
}

wire::CommandResult
RolloutState::Store(wire::RolloutRecord aRecord, Deadline aOrderAppliedAt, Deadline aNow)
{
  aRecord.revision = ++m_revision;
  wire::CommandResult result;
  result.version = aRecord.revision;
  const std::string service = aRecord.serviceName;
  m_rollouts[service] = { .record = std::move(aRecord),
                          .orderAppliedAt = aOrderAppliedAt,
                          .appliedAt = aNow,
                          .isReplayed = aOrderAppliedAt <= m_createdAt + kReplayTime };
  return result;
}

wire::RolloutSet
RolloutState::Set() const
{
  wire::RolloutSet set;
  set.revision = m_revision;
  for (const auto& [service, rollout] : m_rollouts) {
    set.rollouts.push_back(rollout.record);
  }
  return set;
}

std::vector<AppliedRollout>
RolloutState::All() const
{
  std::vector<AppliedRollout> rollouts;
  for (const auto& [service, rollout] : m_rollouts) {
    rollouts.push_back(rollout);
  }
  return rollouts;
}

std::optional<AppliedRollout>
RolloutState::Find(const std::string& aService) const
{
  const auto found = m_rollouts.find(aService);
  return found == m_rollouts.end() ? std::nullopt : std::optional(found->second);
}

void
RolloutState::Restore(const std::vector<wire::RolloutRecord>& aRecords, int64_t aRevision, Deadline aNow)
{
  m_rollouts.clear();
  m_revision = aRevision;
  for (const wire::RolloutRecord& record : aRecords) {
    m_rollouts[record.serviceName] = {
      .record = record, .orderAppliedAt = aNow, .appliedAt = aNow, .isReplayed = true
    };
  }
}

} // namespace mimosarun
