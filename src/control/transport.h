#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "wire/gen-cpp/ControlPeer.h"
#include "wire/rpcclient.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

/** Sends messages of replicated logs; delivery isn't guaranteed. */
class Transport
{
public:
  virtual ~Transport() = default;

  virtual void Send(std::vector<wire::RaftMessage> aMessages) = 0;

  /** Adds the members with an address as peers; a known peer keeps its address. */
  virtual void AddPeers(const std::vector<wire::Replica>& /*aMembers*/) {}
};

/** Handles the messages in the reply to a sent batch. */
using BatchHandler = std::function<void(const wire::RaftBatch& aBatch)>;

/** Queue, connection and thread for the messages to one other control replica. */
class PeerLink
{
public:
  PeerLink(const Address& aAddress, BatchHandler aHandler);
  ~PeerLink();

  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /** Queues a message; drops the oldest one if the queue is full. */
  void Enqueue(wire::RaftMessage aMessage);

  /**
   * Removes and returns the queued messages for the reply to a call of the peer, which saves a call to it.
   * Waits for a message until the deadline; the thread of the link sends none meanwhile.
   */
  std::vector<wire::RaftMessage> WaitForReplyMessages(Deadline aDeadline);

private:
  void Run();
  std::vector<wire::RaftMessage> TakeBatchLocked();
  void SendBatch(std::vector<wire::RaftMessage> aMessages);

  RpcClient<wire::ControlPeerClient> m_client;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<wire::RaftMessage> m_queue;
  int m_waitingReplies = 0;
  bool m_stop = false;
  const BatchHandler m_replyHandler;
  std::thread m_thread;
};

/** Transport over one PeerLink for each other replica. Thread-safe. */
class PeerTransport : public Transport
{
public:
  /**
   * @param aSelf name of this replica, to which nothing is sent
   * @param aHandler handles replies of other replicas; called on the threads of the links
   */
  PeerTransport(std::string aSelf, BatchHandler aHandler);

  /** Closes all links. */
  void Stop();

  /** Does the same as PeerLink::WaitForReplyMessages() for the link to a replica. */
  std::vector<wire::RaftMessage> WaitForReplyMessages(const std::string& aName, Deadline aDeadline);

  /** Adds a replica as a peer; a known peer keeps its address. */
  void AddPeer(const std::string& aName, const Address& aAddress);

  void Send(std::vector<wire::RaftMessage> aMessages) override;
  void AddPeers(const std::vector<wire::Replica>& aMembers) override;

private:
  const std::string m_self;
  const BatchHandler m_replyHandler;
  std::mutex m_mutex;
  bool m_stopped = false;
  std::map<std::string, std::shared_ptr<PeerLink>> m_links;
};

} // namespace mimosarun
