#include "http/forwarder.h"

#include "http/connectionpool.h"
#include "http/forwardtransfer.h"

namespace mimosarun {

void
ForwardTicket::Resume() const
{
  if (const auto transfer = m_transfer.lock()) {
    transfer->Resume();
  }
}

void
ForwardTicket::Cancel() const
{
  if (const auto transfer = m_transfer.lock()) {
    transfer->Cancel();
  }
}

Forwarder::~Forwarder() = default;

std::shared_ptr<ConnectionPool>
Forwarder::PoolOf(EventLoop& aLoop)
{
  const std::lock_guard lock(m_mutex);
  std::shared_ptr<ConnectionPool>& pool = m_pools[&aLoop];
  if (pool == nullptr) {
    pool = std::make_shared<ConnectionPool>();
  }
  return pool;
}

ForwardTicket
Forwarder::Start(EventLoop& aLoop, ForwardRequest aRequest, std::shared_ptr<ForwardListener> aListener)
{
  const auto transfer =
    std::make_shared<ForwardTransfer>(aLoop, PoolOf(aLoop), std::move(aRequest), std::move(aListener));
  transfer->Begin();
  return ForwardTicket(transfer);
}

} // namespace mimosarun
