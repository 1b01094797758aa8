#include "harness/orders.h"

#include "harness/bookings.h"
#include "harness/rawserver.h"
#include "harness/responsereader.h"

#include <algorithm>
#include <iostream>

namespace mimosarun {

static constexpr size_t kLargestBodyBytes = 64UL * 1024;
static constexpr std::chrono::milliseconds kReadPoll{ 20 };
static constexpr std::chrono::milliseconds kTimeout{ 3000 };
/** Time without a complete response after which a caller gives up, beyond the timeout of the request. */
static constexpr std::chrono::milliseconds kGiveUpDelay{ 3000 };
static constexpr std::chrono::milliseconds kReconnectPause{ 10 };
static constexpr uint64_t kLongestPauseMicroseconds = 10000;

static const char*
Name(OrderResult aResult)
{
  switch (aResult) {
    case OrderResult::Complete:
      return "complete";
    case OrderResult::Refused:
      return "refused";
    case OrderResult::UnknownRan:
      return "unknown and ran";
    case OrderResult::CrossedClose:
      return "crossed a close";
    case OrderResult::UnknownNotRun:
      return "unknown and did not run";
    case OrderResult::Unanswered:
      return "ran without an answer";
    case OrderResult::FalseNotRun:
      return "false not-run";
    case OrderResult::RanTwice:
      return "ran twice";
    case OrderResult::Lost:
      return "lost";
  }
  return "lost";
}

static bool
IsViolation(OrderResult aResult)
{
  return aResult >= OrderResult::UnknownNotRun;
}

void
OrderSummary::Add(const OrderSummary& aOther)
{
  for (const auto& [result, count] : aOther.counts) {
    counts[result] += count;
  }
}

bool
OrderSummary::HasNoViolation() const
{
  return std::none_of(counts.begin(), counts.end(), [](const auto& aCount) {
    return aCount.second > 0 && IsViolation(aCount.first);
  });
}

std::string
Describe(const OrderSummary& aSummary)
{
  std::string text = "orders:";
  for (const auto& [result, count] : aSummary.counts) {
    text += " " + std::to_string(count) + " " + Name(result) + ",";
  }
  text.pop_back();
  return aSummary.counts.empty() ? "no orders" : text;
}

OrderCallers::OrderCallers(Mesh& aMesh, Options aOptions)
  : m_mesh(aMesh)
  , m_options(std::move(aOptions))
{
  for (int caller = 0; caller < m_options.callers; ++caller) {
    m_callers.emplace_back([this, caller] { Run(caller); });
  }
}

OrderCallers::~OrderCallers()
{
  Stop();
}

void
OrderCallers::Stop()
{
  m_stop = true;
  for (std::thread& caller : m_callers) {
    caller.join();
  }
  m_callers.clear();
}

void
OrderCallers::Run(int aCaller)
{
  std::mt19937_64 random(m_options.seed + static_cast<uint64_t>(aCaller));
  const std::vector<std::string> nodes = m_mesh.Nodes();
  for (int connection = 0; !m_stop; ++connection) {
    const std::string prefix =
      m_options.prefix + std::to_string(aCaller) + "-" + std::to_string(connection) + "-";
    UseConnection(nodes[random() % nodes.size()], prefix, random);
    std::this_thread::sleep_for(kReconnectPause);
  }
}

void
OrderCallers::UseConnection(const std::string& aNode, const std::string& aPrefix, std::mt19937_64& aRandom)
{
  const RawConnection connection(m_mesh.ProcessOf(aNode).callerAddress);
  bool open = connection.IsConnected();
  std::string unexpected;
  for (int number = 0; open && !m_stop; ++number) {
    Order order{ .key = aPrefix + std::to_string(number), .node = aNode, .sentAt = WallNow() };
    open = SendOrder(connection, order);
    order.endedAt = WallNow();
    {
      const std::lock_guard lock(m_mutex);
      m_orders.push_back(std::move(order));
    }
    std::this_thread::sleep_for(std::chrono::microseconds(aRandom() % kLongestPauseMicroseconds));
    open = open && connection.ReceiveSome(unexpected, 1, std::chrono::milliseconds(0));
  }
}

/** Sends a request and reads the response; returns whether the connection can be used for another. */
bool
OrderCallers::SendOrder(const RawConnection& aConnection, Order& aOrder) const
{
  const auto giveUpAt = SteadyClock::now() + kTimeout + kGiveUpDelay;
  bool open = aConnection.Send("POST /" + m_mesh.Options().services.front() + "/book/" + aOrder.key +
                               "?ms=5 HTTP/1.1\r\nHost: mesh\r\nContent-Length: 2\r\n" +
                               "Mimosarun-Timeout-Ms: " + std::to_string(kTimeout.count()) + "\r\n\r\n{}");
  ResponseReader reader(kLargestBodyBytes);
  while (open && !reader.IsDone() && SteadyClock::now() < giveUpAt) {
    open = reader.Read(aConnection, kLargestBodyBytes, kReadPoll);
  }
  aOrder.complete = reader.IsDone();
  aOrder.status = reader.Status();
  aOrder.outcome = reader.Header("Mimosarun-Outcome");
  aOrder.callId = reader.Header("Mimosarun-Call");
  return reader.KeepsAlive();
}

// --- checks ----------------------------------------------------------------------------------------------

static OrderResult
Judge(const Order& aOrder, int aRuns)
{
  if (aRuns > 1) {
    return OrderResult::RanTwice;
  }
  const bool ran = aRuns > 0;
  if (!aOrder.complete) {
    return ran ? OrderResult::Unanswered : OrderResult::CrossedClose;
  }
  if (aOrder.outcome == "not-run") {
    return ran ? OrderResult::FalseNotRun : OrderResult::Refused;
  }
  if (aOrder.status == 200) {
    return ran ? OrderResult::Complete : OrderResult::Lost;
  }
  return ran ? OrderResult::UnknownRan : OrderResult::UnknownNotRun;
}

OrderSummary
OrderCallers::Finish()
{
  Stop();
  const std::map<std::string, int> runs = RunsByPath(m_mesh, "/book/");
  OrderSummary summary;
  for (const Order& order : m_orders) {
    const auto run = runs.find(order.key);
    const OrderResult result = Judge(order, run == runs.end() ? 0 : run->second);
    ++summary.counts[result];
    if (IsViolation(result)) {
      std::cout << "  " << Name(result) << ": " << order.key << " at " << order.node << ", status "
                << order.status << " " << order.outcome << ", call " << order.callId << ", sent at "
                << order.sentAt.time_since_epoch().count() << ", ended at "
                << order.endedAt.time_since_epoch().count() << "\n";
    }
  }
  return summary;
}

} // namespace mimosarun
