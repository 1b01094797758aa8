#include "node/crashreporter.h"

#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

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
CrashReporter::Report(const wire::TargetCrash& aCrash)
{
  for (const ReplicaSettings& replica : m_replicas()) {
    m_workers.Post([address = replica.address, aCrash] {
      // The connection is used once, as targets rarely end.
      RpcClient<wire::ControlPeerClient> client(address);
      const Result<void> reported =
        client.Call(SteadyClock::now() + kReportTimeout,
                    [&](wire::ControlPeerClient& aClient) { aClient.reportCrash(aCrash); });
      static_cast<void>(reported.has_value());
    });
  }
}

} // namespace mimosarun
