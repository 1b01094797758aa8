#include "control/controlservice.h"

#include "control/controller.h"
#include "wire/codec.h"
#include "wire/gen-cpp/ControlPeer.h"

#include <algorithm>

namespace mimosarun {

static constexpr std::chrono::milliseconds kMaxWait{ 10000 };
static constexpr std::chrono::milliseconds kJoinWait{ 1200 };
/** Older outcomes were pulled before, and reports on ended roll-outs needn't cross the links again and again.
 */
static constexpr std::chrono::milliseconds kOutcomesAge{ 30000 };
/** Enough for the nodes of a region that has one replica left. */
static constexpr int64_t kMaximumConnections = 1024;

static Deadline
DeadlineAfter(int32_t aMilliseconds)
{
  return SteadyClock::now() +
         std::clamp(std::chrono::milliseconds(aMilliseconds), std::chrono::milliseconds(0), kMaxWait);
}

/**
 * Returns whether a replica has newer roll-outs for a node. A node that has none yet gets those of a replica
 * without a leader only later, since they may have ended meanwhile.
 */
static bool
HasNewerRollouts(const Controller& aController, const wire::WatchRequest& aRequest)
{
  return aRequest.__isset.rolloutRevision &&
         aController.Configuration().RolloutRevision() > aRequest.rolloutRevision &&
         (aRequest.rolloutRevision > 0 || aController.IsCaughtUp());
}

/** Adds the roll-outs to the reply to a node that has older ones or has heard of none yet. */
static void
AddRollouts(const Controller& aController, const wire::WatchRequest& aRequest, wire::WatchReply& aReply)
{
  const bool isFirst =
    aRequest.__isset.rolloutRevision && aRequest.rolloutRevision <= 0 && aController.IsCaughtUp();
  if (isFirst || HasNewerRollouts(aController, aRequest)) {
    aReply.__set_rollouts(aController.Configuration().Rollouts());
  }
}

/** Translates Thrift calls into calls of the Controller. */
class ControlService : public wire::ControlPeerIf
{
public:
  explicit ControlService(Controller& aController)
    : m_controller(aController)
  {
  }

  void deliver(wire::RaftBatch& aReturn, const wire::RaftBatch& aBatch) override
  {
    ObserveStamp(aBatch.sentAt);
    aReturn.messages = m_controller.DeliverAndReply(aBatch);
    aReturn.sentAt = StampNow();
  }

  void status(wire::GroupStatus& aReturn, const std::string& aGroup) override
  {
    aReturn = m_controller.Status(aGroup);
  }

  void join(wire::CommandResult& aReturn, const std::string& aGroup, const wire::Replica& aReplica) override
  {
    aReturn = m_controller.Join(aGroup, aReplica, SteadyClock::now() + kJoinWait);
  }

  void readIndex(wire::ReadIndex& aReturn, const std::string& aGroup, const int32_t aWaitMillis) override
  {
    aReturn = m_controller.ConfirmLeadership(aGroup, DeadlineAfter(aWaitMillis));
  }

  void submit(wire::CommandResult& aReturn,
              const std::string& aGroup,
              const wire::Command& aCommand,
              const int32_t aWaitMillis) override
  {
    aReturn = m_controller.Submit(aGroup, aCommand, DeadlineAfter(aWaitMillis));
  }

  void watch(wire::WatchReply& aReturn, const wire::WatchRequest& aRequest) override
  {
    const Deadline receivedAt = SteadyClock::now();
    ObserveStamp(aRequest.sentAt);
    if (!aRequest.report.failureDomain.empty()) {
      m_controller.DomainReports().AddReport(aRequest.report, std::chrono::milliseconds(0));
    }
    m_controller.DomainReports().AddStartedMembers(aRequest.introduced);
    CrashLedger& crashes = m_controller.Crashes();
    crashes.Add(aRequest.quarantined, SteadyClock::now());
    if (aRequest.__isset.outcomes) {
      m_controller.Outcomes().Add(aRequest.outcomes, SteadyClock::now());
    }
    const ConfigurationState& configuration = m_controller.Configuration();
    const SnapshotPointer current =
      configuration.WaitForNewer(aRequest.heldVersion, DeadlineAfter(aRequest.waitMillis), [&] {
        // A node of an older version never names a state; its polls would return at once again and again.
        const bool hasQuarantined =
          aRequest.quarantineSeen.epoch != 0 && crashes.Mark() != aRequest.quarantineSeen;
        return hasQuarantined || HasNewerRollouts(m_controller, aRequest);
      });
    AddRollouts(m_controller, aRequest, aReturn);
    aReturn.quarantineMark = crashes.Mark();
    if (aReturn.quarantineMark != aRequest.quarantineSeen) {
      aReturn.quarantined = crashes.Quarantined(SteadyClock::now());
      aReturn.suspects = crashes.Suspects();
    }
    if (aRequest.heldVersion >= 0 && current->version > aRequest.heldVersion) {
      aReturn.update = configuration.UpdateFrom(aRequest.heldVersion);
      aReturn.unchanged = false;
    }
    if (aRequest.wantsMembers) {
      aReturn.sample = m_controller.DomainReports().SampleMembers(
        aRequest.report.failureDomain.empty() ? aRequest.failureDomain : aRequest.report.failureDomain);
    }
    if (aRequest.wantsMembers) {
      aReturn.replicas = m_controller.Status(kConfigurationGroup).members;
    }
    aReturn.current = !m_controller.Status(kConfigurationGroup).leader.empty();
    if (const auto validity = m_controller.Validity().ValidityFor(receivedAt, SteadyClock::now())) {
      aReturn.__set_validity(*validity);
    }
    aReturn.sentAt = StampNow();
  }

  void reports(std::vector<wire::DomainReport>& aReturn, const bool aWithMembers) override
  {
    aReturn = m_controller.DomainReports().AllReports(aWithMembers);
  }

  void reportCrash(const wire::TargetCrash& aCrash) override
  {
    m_controller.Crashes().Record(aCrash, SteadyClock::now());
  }

  void reportRuns(const wire::ProvenRuns& aRuns) override
  {
    m_controller.Crashes().RecordRuns(aRuns, SteadyClock::now());
  }

  void outcomes(std::vector<wire::NodeOutcomes>& aReturn) override
  {
    aReturn = m_controller.Outcomes().All(SteadyClock::now());
    std::erase_if(aReturn, [](const wire::NodeOutcomes& aReport) {
      return std::chrono::milliseconds(aReport.ageMillis) > kOutcomesAge;
    });
  }

  void quota(wire::QuotaReply& aReturn, const wire::QuotaRequest& aRequest) override
  {
    aReturn = m_controller.Quotas().Handle(aRequest);
  }

private:
  Controller& m_controller;
};

Result<std::unique_ptr<RpcServer>>
StartControlService(Controller& aController)
{
  return RpcServer::Start({ .address = aController.Settings().peerAddress,
                            .processor = std::make_shared<wire::ControlPeerProcessor>(
                              std::make_shared<ControlService>(aController)),
                            .maximumConnections = kMaximumConnections });
}

} // namespace mimosarun
