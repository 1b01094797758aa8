#include "http/forwardershard.h"

#include "http/forwardtransfer.h"

namespace mimosarun {

static constexpr int kPollMilliseconds = 1000;
static constexpr long kKeptConnections = 256;
static constexpr size_t kIdleHandleLimit = 128;

ForwarderShard::ForwarderShard()
  : m_multi(curl_multi_init())
{
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kKeptConnections);
  curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  m_thread = std::thread([this] { Run(); });
}

ForwarderShard::~ForwarderShard()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  curl_multi_wakeup(m_multi);
  m_thread.join();
  while (!m_transfers.empty()) {
    EndTransfer(m_transfers.begin()->second->Ticket(), ForwardEnd::Cancelled);
  }
  for (CURL* handle : m_idleHandles) {
    curl_easy_cleanup(handle);
  }
  curl_multi_cleanup(m_multi);
}

void
ForwarderShard::Start(ForwardTicket aTicket,
                      ForwardRequest aRequest,
                      std::shared_ptr<ForwardListener> aListener)
{
  Enqueue(
    { .action = Action::Start,
      .ticket = aTicket,
      .transfer = std::make_unique<ForwardTransfer>(aTicket, std::move(aRequest), std::move(aListener)) });
}

void
ForwarderShard::Resume(ForwardTicket aTicket)
{
  Enqueue({ .action = Action::Resume, .ticket = aTicket, .transfer = nullptr });
}

void
ForwarderShard::Cancel(ForwardTicket aTicket)
{
  Enqueue({ .action = Action::Cancel, .ticket = aTicket, .transfer = nullptr });
}

void
ForwarderShard::Enqueue(Order aOrder)
{
  {
    const std::lock_guard lock(m_mutex);
    m_orders.push_back(std::move(aOrder));
  }
  if (std::this_thread::get_id() != m_thread.get_id()) {
    curl_multi_wakeup(m_multi);
  }
}

void
ForwarderShard::Run()
{
  while (true) {
    CarryOutOrders();
    int running = 0;
    curl_multi_perform(m_multi, &running);
    ReapFinished();
    bool waiting = false;
    {
      const std::lock_guard lock(m_mutex);
      if (m_stop) {
        return;
      }
      waiting = !m_orders.empty();
    }
    if (!waiting) {
      curl_multi_poll(m_multi, nullptr, 0, kPollMilliseconds, nullptr);
    }
  }
}

void
ForwarderShard::CarryOutOrders()
{
  std::vector<Order> orders;
  {
    const std::lock_guard lock(m_mutex);
    orders.swap(m_orders);
  }
  for (Order& order : orders) {
    const auto transfer = m_transfers.find(order.ticket.number);
    if (order.action == Action::Start) {
      StartTransfer(order.ticket, std::move(order.transfer));
    } else if (transfer == m_transfers.end()) {
      continue;
    } else if (order.action == Action::Resume) {
      curl_easy_pause(transfer->second->Handle(), CURLPAUSE_CONT);
    } else {
      EndTransfer(order.ticket, ForwardEnd::Cancelled);
    }
  }
}

void
ForwarderShard::StartTransfer(ForwardTicket aTicket, std::unique_ptr<ForwardTransfer> aTransfer)
{
  CURL* handle = nullptr;
  if (m_idleHandles.empty()) {
    handle = curl_easy_init();
  } else {
    handle = m_idleHandles.back();
    m_idleHandles.pop_back();
  }
  aTransfer->Prepare(handle);
  m_transfers[aTicket.number] = std::move(aTransfer);
  curl_multi_add_handle(m_multi, handle);
}

void
ForwarderShard::ReapFinished()
{
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    ForwardTransfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    const ForwardEnd end = transfer->Judge(message->data.result);
    if (end == ForwardEnd::Complete) {
      transfer->DeliverHead();
    }
    EndTransfer(transfer->Ticket(), end);
  }
}

void
ForwarderShard::EndTransfer(ForwardTicket aTicket, ForwardEnd aEnd)
{
  const auto found = m_transfers.find(aTicket.number);
  const std::unique_ptr<ForwardTransfer> transfer = std::move(found->second);
  m_transfers.erase(found);
  CURL* handle = transfer->Handle();
  curl_multi_remove_handle(m_multi, handle);
  if (m_idleHandles.size() < kIdleHandleLimit) {
    m_idleHandles.push_back(handle);
  } else {
    curl_easy_cleanup(handle);
  }
  transfer->Listener().OnEnd(aEnd);
}

} // namespace mimosarun
