#include "control/transport.h"

#include "wire/codec.h"

namespace mimosarun {

static constexpr size_t kMaxQueuedMessages = 4096;
static constexpr size_t kMaxBatchMessages = 64;
static constexpr std::chrono::milliseconds kDeliveryTimeout{ 500 };
static constexpr std::chrono::milliseconds kSnapshotDeliveryTimeout{ 10000 };

PeerLink::PeerLink(const Address& aAddress, BatchHandler aHandler)
  : m_client(aAddress)
  , m_replyHandler(std::move(aHandler))
  , m_thread([this] { Run(); })
{
}

PeerLink::~PeerLink()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  m_thread.join();
}

void
PeerLink::Enqueue(wire::RaftMessage aMessage)
{
  {
    const std::lock_guard lock(m_mutex);
    if (m_queue.size() >= kMaxQueuedMessages) {
      m_queue.pop_front();
    }
    m_queue.push_back(std::move(aMessage));
  }
  m_wake.notify_all();
}

std::vector<wire::RaftMessage>
PeerLink::TakeBatchLocked()
{
  std::vector<wire::RaftMessage> messages;
  while (!m_queue.empty() && messages.size() < kMaxBatchMessages) {
    messages.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
  }
  return messages;
}

std::vector<wire::RaftMessage>
PeerLink::WaitForReplyMessages(Deadline aDeadline)
{
  std::unique_lock lock(m_mutex);
  ++m_waitingReplies;
  m_wake.wait_until(lock, aDeadline, [this] { return m_stop || !m_queue.empty(); });
  --m_waitingReplies;
  std::vector<wire::RaftMessage> messages = TakeBatchLocked();
  lock.unlock();
  m_wake.notify_all();
  return messages;
}

void
PeerLink::Run()
{
  std::unique_lock lock(m_mutex);
  while (!m_stop) {
    if (m_queue.empty() || m_waitingReplies > 0) {
      m_wake.wait(lock);
      continue;
    }
    std::vector<wire::RaftMessage> messages = TakeBatchLocked();
    lock.unlock();
    SendBatch(std::move(messages));
    lock.lock();
  }
}

void
PeerLink::SendBatch(std::vector<wire::RaftMessage> aMessages)
{
  bool hasSnapshot = false;
  for (const wire::RaftMessage& message : aMessages) {
    hasSnapshot = hasSnapshot || message.kind == wire::RaftKind::Snapshot;
  }
  wire::RaftBatch batch;
  batch.sentAt = StampNow();
  batch.messages = std::move(aMessages);
  const Deadline deadline = SteadyClock::now() + (hasSnapshot ? kSnapshotDeliveryTimeout : kDeliveryTimeout);
  wire::RaftBatch reply;
  const Result<void> sent =
    m_client.Call(deadline, [&](wire::ControlPeerClient& aClient) { aClient.deliver(reply, batch); });
  if (sent) {
    ObserveStamp(reply.sentAt);
    m_replyHandler(reply);
  }
  if (!sent) {
    // Replicated logs resend messages that still matter; old ones would only add load after an outage.
    const std::lock_guard lock(m_mutex);
    m_queue.clear();
  }
}

PeerTransport::PeerTransport(std::string aSelf, BatchHandler aHandler)
  : m_self(std::move(aSelf))
  , m_replyHandler(std::move(aHandler))
{
}

void
PeerTransport::Stop()
{
  std::map<std::string, std::shared_ptr<PeerLink>> links;
  {
    const std::lock_guard lock(m_mutex);
    links.swap(m_links);
    m_stopped = true;
  }
}

std::vector<wire::RaftMessage>
PeerTransport::WaitForReplyMessages(const std::string& aName, Deadline aDeadline)
{
  std::shared_ptr<PeerLink> link;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_links.find(aName);
    if (found == m_links.end() || found->second == nullptr) {
      return {};
    }
    link = found->second;
  }
  return link->WaitForReplyMessages(aDeadline);
}

void
PeerTransport::AddPeer(const std::string& aName, const Address& aAddress)
{
  const std::lock_guard lock(m_mutex);
  if (m_stopped || aName == m_self) {
    return;
  }
  std::shared_ptr<PeerLink>& link = m_links[aName];
  if (link == nullptr) {
    link = std::make_shared<PeerLink>(aAddress, m_replyHandler);
  }
}

void
PeerTransport::AddPeers(const std::vector<wire::Replica>& aMembers)
{
  for (const wire::Replica& member : aMembers) {
    const Result<Address> address = ParseAddress(member.address);
    if (address) {
      AddPeer(member.name, address.value());
    }
  }
}

void
PeerTransport::Send(std::vector<wire::RaftMessage> aMessages)
{
  const std::lock_guard lock(m_mutex);
  for (wire::RaftMessage& message : aMessages) {
    const auto link = m_links.find(message.receiver);
    if (link != m_links.end() && link->second != nullptr) {
      link->second->Enqueue(std::move(message));
    }
  }
}

} // namespace mimosarun
