#include "node/crashreporter.h"

namespace mimosarun {

static constexpr std::chrono::milliseconds kReportTimeout{ 800 };
/** Reports that run at once, so that a few silent replicas don't delay those to the others. */
static constexpr unsigned int kReportThreads = 4;
static constexpr size_t kReportQueueLimit = 256;
/** Reports on runs are repeated, so they may be dropped; they never delay those on ends. */
static constexpr unsigned int kRunReportThreads = 2;
static constexpr size_t kRunReportQueueLimit = 32;

CrashReporter::CrashReporter(ReplicaSource aReplicas)
  : m_replicas(std::move(aReplicas))
  , m_workers({ .threads = kReportThreads, .queueLimit = kReportQueueLimit })
  , m_runWorkers({ .threads = kRunReportThreads, .queueLimit = kRunReportQueueLimit })
{
}

void
CrashReporter::CallAll(WorkerPool& aWorkers, const std::function<void(wire::ControlPeerClient&)>& aCall)
{
  for (const ReplicaSettings& replica : m_replicas()) {
    aWorkers.Post([address = replica.address, aCall] {
      // The connection is used once, as targets rarely end.
      Client client(address);
      static_cast<void>(client.Call(SteadyClock::now() + kReportTimeout, aCall).has_value());
    });
  }
}

void
CrashReporter::Report(const wire::TargetCrash& aCrash)
{
  CallAll(m_workers, [aCrash](wire::ControlPeerClient& aClient) { aClient.reportCrash(aCrash); });
}

void
CrashReporter::Report(const wire::ProvenRuns& aRuns)
{
  CallAll(m_runWorkers, [aRuns](wire::ControlPeerClient& aClient) { aClient.reportRuns(aRuns); });
}

} // namespace mimosarun
