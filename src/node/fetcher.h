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

  /** Notes that a member holds a version; fetches it if it is newer. Doesn't wait. */
  void FetchIfNewer(const std::string& aMember, int64_t aVersion);

  /**
   * Notes a version that a member of another failure domain holds. The own domain is filled by its relays, so
   * it is fetched from there only where it doesn't come in time.
   */
  void FetchFromOtherDomainIfLate(const std::string& aMember, int64_t aVersion);

  /** The version held now. */
  int64_t HeldVersion() const;

private:
  void Run();
  bool FetchFrom(const std::string& aMember);

  ConfigurationHolder& m_holder;
  MemberTable& m_table;
  PeerConnections& m_peers;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::string m_sourceMember;
  int64_t m_wantedVersion = 0;
  /** Since when a newer version is known to be held elsewhere; nothing where this node is up to date. */
  std::optional<Deadline> m_behindSince;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
