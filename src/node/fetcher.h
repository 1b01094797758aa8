#pragma once

#include "node/holder.h"
#include "node/membertable.h"
#include "node/peers.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace mimosarun {

/** Fetches newer configurations from other nodes that are known to hold them. */
class ConfigurationFetcher
{
public:
  ConfigurationFetcher(ConfigurationHolder& aHolder, MemberTable& aTable, PeerConnections& aPeers);
  ~ConfigurationFetcher();

  ConfigurationFetcher(const ConfigurationFetcher&) = delete;
  ConfigurationFetcher& operator=(const ConfigurationFetcher&) = delete;

  /** Starts to fetch a version from a member that holds it if it is newer than the own. Doesn't block. */
  void FetchIfNewer(const std::string& aMember, int64_t aVersion);

  /**
   * Fetches a version from a member of another failure domain only if this node has known of newer versions
   * for longer than the relays of its own domain normally need to deliver them. Doesn't block.
   */
  void FetchFromOtherDomainIfLate(const std::string& aMember, int64_t aVersion);

  /** Returns the version of the configuration that this node holds. */
  int64_t HeldVersion() const;

private:
  void Run();
  /** Fetches and applies an update from a member; returns whether a newer version was applied. */
  bool FetchFrom(const std::string& aMember);

  ConfigurationHolder& m_holder;
  MemberTable& m_table;
  PeerConnections& m_peers;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  /** Member to fetch from next; empty if nothing is to be fetched. */
  std::string m_sourceMember;
  int64_t m_wantedVersion = 0;
  /** Time since which another failure domain is known to hold a newer version; empty if none does. */
  std::optional<Deadline> m_behindSince;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
