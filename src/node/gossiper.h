#pragma once

#include "node/fetcher.h"
#include "node/membertable.h"
#include "node/peers.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/**
 * Gossips member records and configuration versions, and detects dead members. Each round exchanges updates
 * with one member of the own failure domain; relays also exchange with one member of each other domain.
 * Members whose tables differ compare them part by part, so the traffic is proportional to what changed.
 */
class Gossiper
{
public:
  Gossiper(const ProcessSettings& aSettings,
           MemberTable& aTable,
           PeerConnections& aPeers,
           ConfigurationFetcher& aFetcher);
  ~Gossiper();

  Gossiper(const Gossiper&) = delete;
  Gossiper& operator=(const Gossiper&) = delete;

  void Start();

  /** Requests the end of all exchanges without waiting for it. */
  void BeginStop();

  /** Stops all exchanges and waits for their threads. */
  void Stop();

  /** Sends updates to a few members at once instead of in the next rounds. Doesn't block. */
  void SpreadNow();

  /** Merges the gossip of another node and returns the reply. */
  wire::GossipReply HandleExchange(wire::Gossip aGossip);

  /** Probes a node on behalf of another one; returns whether it answered. */
  bool Probe(const std::string& aName, const std::string& aAddress);

private:
  void RunDomainRounds();
  void RunMeshRounds();
  void RunImmediateExchanges();
  /** Returns false as soon as Stop() is called, and true once the time has passed. */
  bool WaitUnlessStopped(std::chrono::milliseconds aDuration);
  /** Whether the own table has never yet been equal to that of another member. */
  bool HasNeverConverged();
  /** Returns the names of the members of the own domain with which this node exchanges. */
  std::vector<std::string> DomainPartners() const;
  /** Returns the member of another domain, given by its reachable members, with which to exchange next. */
  const wire::Member& ChooseMeshPartner(const std::vector<wire::Member>& aMembers) const;
  /** Returns the next member of the own domain to probe; random order, each member once per cycle. */
  std::optional<wire::Member> NextPartner();
  /** Exchanges with a member; marks it as suspect if neither this node nor others reach it. */
  void ProbeMember(const wire::Member& aMember);
  bool ProbeIndirectly(const wire::Member& aMember);
  bool Exchange(const wire::Member& aMember, GossipScope aScope, std::chrono::milliseconds aTimeout);
  bool ExchangeWithSeed(const Address& aSeed);
  /** @param aCompares whether to add the digests of the table's parts */
  wire::Gossip MakeGossip(GossipScope aScope, bool aCompares) const;
  /** Adds the records of parts that differ from the sender's to a reply, up to a limit. */
  void AddDifferingParts(const wire::Gossip& aGossip, wire::GossipReply& aReply) const;
  /** Returns own records of the differing parts that the replying member lacks or holds in an older state. */
  std::vector<wire::Member> RecordsNewerThan(const wire::GossipReply& aReply) const;
  void HandleReply(const wire::Member& aMember, const wire::GossipReply& aReply);
  /** Records the version that a member holds, and fetches it if it is newer. */
  void HandleHeldVersion(const wire::Member& aMember, int64_t aVersion);
  /** Returns whether to compare the table with a member's now, and schedules the next comparison if so. */
  bool StartComparisonIfDue(const std::string& aName);
  /** Returns whether to exchange with a member's failure domain now, and records the time if so. */
  bool StartMeshExchangeIfDue(const wire::Member& aMember, Deadline aNow);

  const ProcessSettings& m_settings;
  MemberTable& m_table;
  PeerConnections& m_peers;
  ConfigurationFetcher& m_fetcher;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  bool m_immediateRequested = false;
  /** Names of the members that are still to be probed in the current cycle. */
  std::vector<std::string> m_probeOrder;
  /** Names of the members whose table differed from the own one in their last reply. */
  std::set<std::string> m_differingMembers;
  /** Earliest time of the next comparison of tables. */
  Deadline m_nextComparison{};
  /** Whether the own table has been equal to that of another member. */
  bool m_hasConverged = false;
  /** Time of the last exchange with each other failure domain; used only by the thread of the mesh rounds. */
  std::map<std::string, Deadline> m_lastMeshExchange;
  std::vector<std::thread> m_threads;
};

} // namespace mimosarun
