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

/** Kept connections to other nodes, a bounded number of them, with the address overrides applied. */
class PeerConnections
{
public:
  explicit PeerConnections(const ProcessSettings& aSettings);

  /** The connection to a node's peer address. */
  Result<std::shared_ptr<NodeClient>> ClientFor(const std::string& aName, const std::string& aAddress);

  /** The address of a node's gate as this process reaches it. */
  Result<Address> GateAddress(const std::string& aName, const std::string& aAddress) const;

private:
  /** A connection and its place in the order of use. */
  struct CachedClient
  {
    std::shared_ptr<NodeClient> client;
    std::list<std::string>::iterator recencyPosition;
  };

  std::map<std::string, Address> m_overrides;
  std::mutex m_mutex;
  std::map<std::string, CachedClient> m_clients;
  std::list<std::string> m_recency;
};

} // namespace mimosarun
