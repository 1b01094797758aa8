#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/** Sends messages of replicated logs; may lose them. */
class Transport
{
public:
  virtual ~Transport() = default;

  virtual void Send(std::vector<wire::RaftMessage> aMessages) = 0;

  /** Takes note of where members can be reached. */
  virtual void Learn(const std::vector<wire::Replica>& /*aMembers*/) {}
};

/** Queue, connection and thread for the messages to one other control replica. */
class PeerLink
{
public:
  explicit PeerLink(const Address& aAddress);
  ~PeerLink();

  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /** Queues a message; the oldest are dropped when the peer doesn't keep up. */
  void Enqueue(wire::RaftMessage aMessage);

private:
  void Run();
  void SendBatch(std::vector<wire::RaftMessage> aMessages);

  RpcClient<wire::ControlPeerClient> m_client;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<wire::RaftMessage> m_queue;
  bool m_stop = false;
  std::thread m_thread;
};

/** Transport over one PeerLink for each other replica. Thread-safe. */
class PeerTransport : public Transport
{
public:
  /** @param aSelf name of this replica, which is never sent to */
  explicit PeerTransport(std::string aSelf);

  /** Adds a replica whose address is known; a known one keeps its address. */
  void AddPeer(const std::string& aName, const Address& aAddress);

  void Send(std::vector<wire::RaftMessage> aMessages) override;
  void Learn(const std::vector<wire::Replica>& aMembers) override;

private:
  const std::string m_self;
  std::mutex m_mutex;
  std::map<std::string, std::unique_ptr<PeerLink>> m_links;
};

} // namespace mimosarun
