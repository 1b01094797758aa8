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
  Gossiper(const ProcessSettings& aSettings, MemberTable& aTable, Peers& aPeers, Fetcher& aFetcher);
  ~Gossiper();

  Gossiper(const Gossiper&) = delete;
  Gossiper& operator=(const Gossiper&) = delete;

  void Start();

  /** Stops the rounds. */
  void Stop();

  /** Tells a few members at once, without waiting for the next rounds. */
  void SpreadNow();

  /** Answers an exchange of another node. */
  wire::GossipReply Answer(const wire::Gossip& aGossip);

  /** Answers a probe on behalf of another node. */
  bool Probe(const std::string& aName, const std::string& aAddress);

private:
  void RunDomain();
  void RunMesh();
  void RunUrgent();
  bool Wait(std::chrono::milliseconds aTime);
  /** Whether the own table was equal to no other one yet. */
  bool IsFresh();
  std::optional<wire::Member> NextPartner();
  void ProbeMember(const wire::Member& aMember);
  bool ProbeThroughOthers(const wire::Member& aMember);
  bool Exchange(const wire::Member& aMember, GossipScope aScope, std::chrono::milliseconds aTimeout);
  bool ExchangeWithSeed(const Address& aSeed);
  wire::Gossip MakeGossip(GossipScope aScope, bool aCompares) const;
  void AddDiffering(const wire::Gossip& aGossip, wire::GossipReply& aReply) const;
  std::vector<wire::Member> NewsForReply(const wire::GossipReply& aReply) const;
  void NoteReply(const wire::Member& aMember, const wire::GossipReply& aReply);
  void NoteHeld(const wire::Member& aMember, int64_t aVersion);
  bool TakeComparison(const std::string& aName);
  bool MeshExchangeIsDue(const wire::Member& aMember, Deadline aNow);

  const ProcessSettings& m_settings;
  MemberTable& m_table;
  Peers& m_peers;
  Fetcher& m_fetcher;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stop = false;
  bool m_urgent = false;
  std::vector<std::string> m_order;
  /** Members whose table differed from the own one when they were last heard. */
  std::set<std::string> m_differing;
  /** No table is compared before. */
  Deadline m_compareAt{};
  /** Whether the own table was ever equal to another one. */
  bool m_wasEqual = false;
  /** When each other failure domain was last exchanged with; used by the thread of the mesh only. */
  std::map<std::string, Deadline> m_meshExchangedAt;
  std::vector<std::thread> m_threads;
};

} // namespace mimosarun
