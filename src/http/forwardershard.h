#pragma once

#include "http/forwarder.h"

#include <curl/curl.h>

#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace mimosarun {

class ForwardTransfer;

/** One thread of a Forwarder with its transfers and kept connections. */
class ForwarderShard
{
public:
  ForwarderShard();
  ~ForwarderShard();

  ForwarderShard(const ForwarderShard&) = delete;
  ForwarderShard& operator=(const ForwarderShard&) = delete;

  void Start(ForwardTicket aTicket, ForwardRequest aRequest, std::shared_ptr<ForwardListener> aListener);
  void Resume(ForwardTicket aTicket);
  void Cancel(ForwardTicket aTicket);

private:
  /** What another thread asked for. */
  enum class Action
  {
    Start,
    Resume,
    Cancel,
  };

  struct Order
  {
    Action action = Action::Start;
    ForwardTicket ticket;
    std::unique_ptr<ForwardTransfer> transfer;
  };

  void Enqueue(Order aOrder);
  void Run();
  void CarryOutOrders();
  void StartTransfer(ForwardTicket aTicket, std::unique_ptr<ForwardTransfer> aTransfer);
  void ReapFinished();
  void EndTransfer(ForwardTicket aTicket, ForwardEnd aEnd);

  CURLM* m_multi = nullptr;
  std::unordered_map<uint64_t, std::unique_ptr<ForwardTransfer>> m_transfers;
  std::vector<CURL*> m_idleHandles;
  std::mutex m_mutex;
  std::vector<Order> m_orders;
  bool m_stop = false;
  std::thread m_thread;
};

} // namespace mimosarun
