#pragma once

#include "common/clock.h"
#include "common/workers.h"
#include "http/server.h"
#include "operators/answer.h"
#include "operators/request.h"
#include "process/metrics.h"

#include <functional>
#include <memory>

namespace mimosarun {

/** Serves operators (POST /v1/command) and monitoring (GET /metrics, GET /health) on one address. */
class OperatorServer
{
public:
  using CommandRunner = std::function<Answer(const OperatorRequest& aRequest, Deadline aDeadline)>;

  struct Options
  {
    Address address;
    CommandRunner runCommand;
    Metrics* metrics = nullptr;
    /** Called before the metrics are written, to update values that aren't updated otherwise. */
    std::function<void()> refreshMetrics;
  };

  static Result<std::unique_ptr<OperatorServer>> Start(Options aOptions);

  /** Drops commands that still wait for a worker; waits for those that run. */
  ~OperatorServer();

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /** Stops listening, and returns whether all commands that were read had their responses at the deadline. */
  bool Drain(Deadline aDeadline) { return m_server->Drain(aDeadline); }

private:
  explicit OperatorServer(Options aOptions);

  void Handle(const ExchangePointer& aExchange);
  void RunCommand(const ExchangePointer& aExchange);

  Options m_options;
  WorkerPool m_workers;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
