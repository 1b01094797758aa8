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

/**
 * Fetches newer configurations from other nodes where control doesn't deliver them. While control answers, a
 * large update may still be on its way from there, and a second copy would only delay it on a slow link.
 */
class ConfigurationFetcher
{
public:
  ConfigurationFetcher(ConfigurationHolder& aHolder, MemberTable& aTable, PeerConnections& aPeers);
  ~ConfigurationFetcher();

  ConfigurationFetcher(const ConfigurationFetcher&) = delete;
  ConfigurationFetcher& operator=(const ConfigurationFetcher&) = delete;

  /** Ends the thread, after a fetch that is under way; nothing is fetched from then on. */
  void Stop();

  /** Fetches a version from a member of the own failure domain if it is still newer when due. Doesn't block.
   */
  void FetchIfNewer(const std::string& aMember, int64_t aVersion);

  /** Same as FetchIfNewer(), but gives the members of the own domain time to deliver the version first. */
  void FetchFromOtherDomainIfNewer(const std::string& aMember, int64_t aVersion);

  /** Says whether control answered the last long poll of this node. */
  void SetControlAnswers(bool aAnswers);

  /** Returns the version of the configuration that this node holds. */
  int64_t HeldVersion() const;

private:
  /** A member that holds a newer version. */
  struct Source
  {
    std::string member;
    int64_t version = 0;
    bool isInOwnDomain = true;
  };

  void Propose(Source aSource);
  /** Returns when a version is to be fetched from a source, given since when the held one is outdated. */
  Deadline FetchTime(const Source& aSource) const;
  void Run();
  /** Fetches and applies an update from a member. */
  void FetchFrom(const std::string& aMember);

  ConfigurationHolder& m_holder;
  MemberTable& m_table;
  PeerConnections& m_peers;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  /** Empty if nothing is to be fetched. */
  std::optional<Source> m_source;
  /** The held version when another node was last found to hold a newer one. */
  int64_t m_outdatedVersion = -1;
  /** Time when that version was first found to be outdated. */
  Deadline m_outdatedSince{};
  bool m_controlAnswers = false;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
