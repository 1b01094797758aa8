#include "http/forwarder.h"

#include "http/forwardershard.h"

namespace mimosarun {

Forwarder::Forwarder(unsigned int aThreads)
{
  curl_global_init(CURL_GLOBAL_DEFAULT);
  for (unsigned int i = 0; i < aThreads; ++i) {
    m_shards.push_back(std::make_unique<ForwarderShard>());
  }
}

Forwarder::~Forwarder() = default;

ForwarderShard&
Forwarder::ShardOf(ForwardTicket aTicket)
{
  return *m_shards[aTicket.number % m_shards.size()];
}

ForwardTicket
Forwarder::Start(ForwardRequest aRequest, std::shared_ptr<ForwardListener> aListener)
{
  const ForwardTicket ticket{ .number = ++m_next };
  ShardOf(ticket).Start(ticket, std::move(aRequest), std::move(aListener));
  return ticket;
}

void
Forwarder::Resume(ForwardTicket aTicket)
{
  ShardOf(aTicket).Resume(aTicket);
}

void
Forwarder::Cancel(ForwardTicket aTicket)
{
  ShardOf(aTicket).Cancel(aTicket);
}

} // namespace mimosarun
