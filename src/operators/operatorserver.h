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

private:
  explicit OperatorServer(Options aOptions);

  void Handle(const ExchangePointer& aExchange);
  void RunCommand(const ExchangePointer& aExchange);

  Options m_options;
  WorkerPool m_workers;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
