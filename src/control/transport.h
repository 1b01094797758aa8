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

/** Sends messages of replicated logs; may lose them. */
class Transport
{
public:
  virtual ~Transport() = default;

  virtual void Send(std::vector<wire::RaftMessage> aMessages) = 0;

  /** Takes note of where members can be reached. */
  virtual void AddPeers(const std::vector<wire::Replica>& /*aMembers*/) {}
};

/** Takes messages that came back as the answer to others. */
using BatchHandler = std::function<void(const wire::RaftBatch& aBatch)>;

/** Queue, connection and thread for the messages to one other control replica. */
class PeerLink
{
public:
  PeerLink(const Address& aAddress, BatchHandler aTaker);
  ~PeerLink();

  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /** Queues a message; the oldest are dropped when the peer doesn't keep up. */
  void Enqueue(wire::RaftMessage aMessage);

  /**
   * Takes the queued messages as the answer to a call of the peer, which saves a call of this side's own.
   * Waits for one until the deadline; meanwhile none is sent otherwise.
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
   * @param aSelf name of this replica, which is never sent to
   * @param aTaker gets what other replicas answer; called on the threads of the links
   */
  PeerTransport(std::string aSelf, BatchHandler aTaker);

  /** Ends all links. */
  void Stop();

  /** Takes what is to be sent to a replica as the answer to its call; waits for it until the deadline. */
  std::vector<wire::RaftMessage> WaitForReplyMessages(const std::string& aName, Deadline aDeadline);

  /** Adds a replica whose address is known; a known one keeps its address. */
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
