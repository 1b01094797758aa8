#pragma once

#include "control/reportstore.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/**
 * Collects the reports on failure domains from other replicas: those of the own region from a few random
 * ones, which pass on what they have, and those of other regions at long intervals or on demand.
 */
class ReportCollector
{
public:
  using PeerClient = RpcClient<wire::ControlPeerClient>;

  struct Options
  {
    /** Region of this replica. */
    std::string region;
    /** Returns all replicas but this one. */
    std::function<std::vector<wire::Replica>()> otherReplicas;
    /** Returns the client of a replica, or null if its address isn't known. */
    std::function<std::shared_ptr<PeerClient>(const std::string& aReplica)> peerOf;
  };

  ReportCollector(Options aOptions, ReportStore& aStore);
  ~ReportCollector();

  ReportCollector(const ReportCollector&) = delete;
  ReportCollector& operator=(const ReportCollector&) = delete;

  void Start();

  /** Ends the collection; a call in flight is waited for. */
  void Stop();

  /** Fetches the reports of each other region from the first of its replicas that answers. Thread-safe. */
  void CollectFromOtherRegions();

private:
  void Run();
  bool CollectFrom(const std::string& aReplica);
  std::vector<wire::Replica> PartnersInRegion() const;

  const Options m_options;
  ReportStore& m_store;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
