#pragma once

#include "settings/processsettings.h"
#include "wire/gen-cpp/NodePeer.h"
#include "wire/rpcclient.h"

#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mimosarun {

using NodeClient = RpcClient<wire::NodePeerClient>;

/** An LRU cache of connections to other nodes, with the address overrides applied. Thread-safe. */
class PeerConnections
{
public:
  explicit PeerConnections(const ProcessSettings& aSettings);

  /** Returns the client of a node's peer address; fails if the address is invalid. */
  Result<std::shared_ptr<NodeClient>> ClientFor(const std::string& aName, const std::string& aAddress);

  /** Returns the address at which this process reaches a node's gate. */
  Result<Address> GateAddress(const std::string& aName, const std::string& aAddress) const;

private:
  /** A client and its position in m_recency. */
  struct CachedClient
  {
    std::shared_ptr<NodeClient> client;
    std::list<std::string>::iterator recencyPosition;
  };

  std::map<std::string, Address> m_overrides;
  std::mutex m_mutex;
  std::map<std::string, CachedClient> m_clients;
  /** Addresses of the clients, the most recently used first. */
  std::list<std::string> m_recency;
};

} // namespace mimosarun
