#include "node/crashreporter.h"

namespace mimosarun {

static constexpr std::chrono::milliseconds kReportTimeout{ 800 };
/** Reports that run at once, so that a few silent replicas don't delay those to the others. */
static constexpr unsigned int kReportThreads = 4;
static constexpr size_t kReportQueueLimit = 256;

CrashReporter::CrashReporter(ReplicaSource aReplicas)
  : m_replicas(std::move(aReplicas))
  , m_workers({ .threads = kReportThreads, .queueLimit = kReportQueueLimit })
{
}

void
CrashReporter::CallAll(const std::function<void(wire::ControlPeerClient&)>& aCall)
{
  for (const ReplicaSettings& replica : m_replicas()) {
    m_workers.Post([address = replica.address, aCall] {
      // The connection is used once, as targets rarely end.
      Client client(address);
      static_cast<void>(client.Call(SteadyClock::now() + kReportTimeout, aCall).has_value());
    });
  }
}

void
CrashReporter::Report(const wire::TargetCrash& aCrash)
{
  CallAll([aCrash](wire::ControlPeerClient& aClient) { aClient.reportCrash(aCrash); });
}

void
CrashReporter::Report(const wire::ProvenRuns& aRuns)
{
  CallAll([aRuns](wire::ControlPeerClient& aClient) { aClient.reportRuns(aRuns); });
}

} // namespace mimosarun
