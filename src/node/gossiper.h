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
 * Spreads news of members and versions and finds dead members. Each round exchanges news with one member of
 * the own failure domain; relays also exchange with one member of each other domain. Members whose tables
 * differ compare them part by part, so what travels is in proportion to what changed.
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

  /** Stops the rounds. */
  void Stop();

  /** Tells a few members at once, without waiting for the next rounds. */
  void SpreadNow();

  /** Answers an exchange of another node. */
  wire::GossipReply HandleExchange(const wire::Gossip& aGossip);

  /** Answers a probe on behalf of another node. */
  bool Probe(const std::string& aName, const std::string& aAddress);

private:
  void RunDomainRounds();
  void RunMeshRounds();
  void RunImmediateExchanges();
  bool WaitUnlessStopped(std::chrono::milliseconds aTime);
  /** Whether the own table was equal to no other one yet. */
  bool HasNeverConverged();
  std::optional<wire::Member> NextPartner();
  void ProbeMember(const wire::Member& aMember);
  bool ProbeIndirectly(const wire::Member& aMember);
  bool Exchange(const wire::Member& aMember, GossipScope aScope, std::chrono::milliseconds aTimeout);
  bool ExchangeWithSeed(const Address& aSeed);
  wire::Gossip MakeGossip(GossipScope aScope, bool aCompares) const;
  void AddDifferingParts(const wire::Gossip& aGossip, wire::GossipReply& aReply) const;
  std::vector<wire::Member> RecordsNewerThan(const wire::GossipReply& aReply) const;
  void HandleReply(const wire::Member& aMember, const wire::GossipReply& aReply);
  void HandleHeldVersion(const wire::Member& aMember, int64_t aVersion);
  bool StartComparisonIfDue(const std::string& aName);
  bool StartMeshExchangeIfDue(const wire::Member& aMember, Deadline aNow);

  const ProcessSettings& m_settings;
  MemberTable& m_table;
  PeerConnections& m_peers;
  ConfigurationFetcher& m_fetcher;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  bool m_immediateRequested = false;
  std::vector<std::string> m_probeOrder;
  /** Members whose table differed from the own one when they were last heard. */
  std::set<std::string> m_differingMembers;
  /** No table is compared before. */
  Deadline m_nextComparison{};
  /** Whether the own table was ever equal to another one. */
  bool m_hasConverged = false;
  /** When each other failure domain was last exchanged with; used by the thread of the mesh only. */
  std::map<std::string, Deadline> m_lastMeshExchange;
  std::vector<std::thread> m_threads;
};

} // namespace mimosarun
