#include "http/forwarder.h"

#include "http/connectionpool.h"
#include "http/forwardtransfer.h"

namespace mimosarun {

void
ForwardHandle::Resume() const
{
  if (const auto transfer = m_transfer.lock()) {
    transfer->Resume();
  }
}

void
ForwardHandle::Cancel() const
{
  if (const auto transfer = m_transfer.lock()) {
    transfer->Cancel();
  }
}

Forwarder::~Forwarder() = default;

std::shared_ptr<ConnectionPool>
Forwarder::PoolFor(EventLoop& aLoop)
{
  const std::lock_guard lock(m_mutex);
  std::shared_ptr<ConnectionPool>& pool = m_pools[&aLoop];
  if (pool == nullptr) {
    pool = std::make_shared<ConnectionPool>();
  }
  return pool;
}

ForwardHandle
Forwarder::Start(EventLoop& aLoop, ForwardRequest aRequest, std::shared_ptr<ForwardListener> aListener)
{
  const auto transfer =
    std::make_shared<ForwardTransfer>(aLoop, PoolFor(aLoop), std::move(aRequest), std::move(aListener));
  transfer->Begin();
  return ForwardHandle(transfer);
}

} // namespace mimosarun
