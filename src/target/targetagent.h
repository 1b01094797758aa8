#pragma once

#include "common/address.h"
#include "common/clock.h"
#include "configuration/configuration.h"
#include "http/server.h"
#include "wire/gen-cpp/mesh_types.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace mimosarun {

/** What the target of this node announced last. */
struct TargetState
{
  std::string name;
  std::string service;
  Address address;
  int slots = 0;
  wire::TargetPhase::type phase = wire::TargetPhase::Absent;
};

/**
 * The side of a node that its target talks to: POST /v1/announce with JSON, repeated as a heartbeat. A target
 * that stays silent past its lease is absent. Thread-safe.
 */
class TargetAgent
{
public:
  using Listener = std::function<void(const TargetState& aState)>;

  struct Options
  {
    Address address;
    Listener listener;
  };

  static Result<std::unique_ptr<TargetAgent>> Start(Options aOptions);
  ~TargetAgent();

  TargetAgent(const TargetAgent&) = delete;
  TargetAgent& operator=(const TargetAgent&) = delete;

  TargetState State() const;

  /** Tells the target what operators want; it learns it with the answer to its next announcement. */
  void SetIntent(TargetIntent aIntent);

private:
  explicit TargetAgent(Options aOptions);

  void Handle(const ExchangePointer& aExchange);
  void Take(TargetState aState);
  void WatchLease();

  Options m_options;
  mutable std::mutex m_mutex;
  TargetState m_state;
  Deadline m_leaseUntil{};
  TargetIntent m_intent = TargetIntent::Serving;
  std::unique_ptr<HttpServer> m_server;
  std::atomic<bool> m_stop{ false };
  std::thread m_watcher;
};

/** Reads and checks the JSON of an announcement. */
Result<TargetState>
ParseAnnouncement(const std::string& aBody);

} // namespace mimosarun
