#pragma once

#include "common/clock.h"
#include "harness/mesh.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace mimosarun {

class RawConnection;

/** A request that may not be repeated and was sent whole, as its caller saw it. */
struct Order
{
  /** Part of the request's path; the target's ledger shows it. */
  std::string key;
  std::string node;
  /** Zero if the head of the response wasn't received. */
  int status = 0;
  std::string outcome;
  /** Identifier of the call in the logs. */
  std::string callId;
  /** The response was received completely, as HTTP defines it. */
  bool complete = false;
  WallTime sentAt;
  WallTime endedAt;
};

/** What became of an order, as its response and the ledgers show it. */
enum class OrderResult
{
  Complete,
  /** Refused as not run, and in no ledger. */
  Refused,
  /** The response has an unknown outcome, and the order is in a ledger. */
  UnknownRan,
  /** No byte of a response on a closed connection, and in no ledger. */
  CrossedClose,
  /** The response has an unknown outcome, but the order is in no ledger. This and the following are
     violations. */
  UnknownNotRun,
  /** In a ledger, but without a response. */
  Unanswered,
  FalseNotRun,
  RanTwice,
  /** Complete for the caller, but in no ledger. */
  Lost,
};

/** Counts of orders by their result. */
struct OrderSummary
{
  std::map<OrderResult, int> counts;

  void Add(const OrderSummary& aOther);
  bool HasNoViolation() const;
};

/** Returns the counts as text. */
std::string
Describe(const OrderSummary& aSummary);

/**
 * Callers that send small requests that may not be repeated while the only faults are planned ones. Each uses
 * one connection for request after request until the node closes it, and then connects to a random node.
 */
class OrderCallers
{
public:
  struct Options
  {
    /** Start of all keys. */
    std::string prefix;
    uint64_t seed = 0;
    int callers = 0;
  };

  /** Starts the callers; the mesh must outlive this. */
  OrderCallers(Mesh& aMesh, Options aOptions);
  ~OrderCallers();

  OrderCallers(const OrderCallers&) = delete;
  OrderCallers& operator=(const OrderCallers&) = delete;

  /** Ends the callers, checks their orders and writes each violation to the output. */
  OrderSummary Finish();

private:
  void Run(int aCaller);
  void UseConnection(const std::string& aNode, const std::string& aPrefix, std::mt19937_64& aRandom);
  bool SendOrder(const RawConnection& aConnection, Order& aOrder) const;
  void Stop();

  Mesh& m_mesh;
  const Options m_options;
  std::atomic<bool> m_stop{ false };
  std::mutex m_mutex;
  std::vector<Order> m_orders;
  std::vector<std::thread> m_callers;
};

} // namespace mimosarun
