#include "node/nodeservice.h"

#include "wire/gen-cpp/NodePeer.h"

namespace mimosarun {

/** Dispatches Thrift calls of other nodes to the gossiper and the configuration holder. */
class NodeService : public wire::NodePeerIf
{
public:
  NodeService(Gossiper& aGossiper, ConfigurationHolder& aHolder, const ControlLink& aControl)
    : m_gossiper(aGossiper)
    , m_holder(aHolder)
    , m_control(aControl)
  {
  }

  void exchange(wire::GossipReply& aReturn, const wire::Gossip& aGossip) override
  {
    aReturn = m_gossiper.HandleExchange(aGossip);
  }

  bool probe(const std::string& aName, const std::string& aAddress) override
  {
    return m_gossiper.Probe(aName, aAddress);
  }

  void fetch(wire::ConfigurationUpdate& aReturn, const int64_t aHeldVersion) override
  {
    aReturn = m_holder.UpdateFrom(aHeldVersion);
  }

  void controlReplicas(std::vector<wire::Replica>& aReturn) override
  {
    aReturn = m_control.AnsweringReplicas();
  }

private:
  Gossiper& m_gossiper;
  ConfigurationHolder& m_holder;
  const ControlLink& m_control;
};

Result<std::unique_ptr<RpcServer>>
StartNodeService(const Address& aAddress,
                 Gossiper& aGossiper,
                 ConfigurationHolder& aHolder,
                 const ControlLink& aControl)
{
  return RpcServer::Start({ .address = aAddress,
                            .processor = std::make_shared<wire::NodePeerProcessor>(
                              std::make_shared<NodeService>(aGossiper, aHolder, aControl)) });
}

} // namespace mimosarun
