#include "operators/operatorserver.h"

namespace mimosarun {

static constexpr std::chrono::milliseconds kCommandTimeout{ 8000 };
static constexpr size_t kBodyLimitBytes = 5UL * 1024 * 1024;
static constexpr unsigned int kWorkers = 4;
static constexpr size_t kQueueLimit = 64;

OperatorServer::OperatorServer(Options aOptions)
  : m_options(std::move(aOptions))
  , m_workers({ .threads = kWorkers, .queueLimit = kQueueLimit })
{
}

Result<std::unique_ptr<OperatorServer>>
OperatorServer::Start(Options aOptions)
{
  std::unique_ptr<OperatorServer> server(new OperatorServer(std::move(aOptions)));
  MIMOSARUN_TRY(
    server->m_server,
    HttpServer::Start(
      { .address = server->m_options.address,
        .handler = [raw = server.get()](const ExchangePointer& aExchange) { raw->Handle(aExchange); },
        .maximumConnections = 128,
        .limits = { .bodyBytes = kBodyLimitBytes } }));
  return server;
}

OperatorServer::~OperatorServer()
{
  // Workers respond on loops of the server, which must exist until the last one has ended.
  m_workers.Stop();
}

static int
StatusOf(AnswerCode aCode)
{
  switch (aCode) {
    case AnswerCode::Done:
      return 200;
    case AnswerCode::Refused:
      return 409;
    case AnswerCode::Invalid:
      return 400;
    case AnswerCode::NotRun:
      return 503;
    case AnswerCode::Unknown:
      return 504;
  }
  return 500;
}

static void
Respond(const ExchangePointer& aExchange, const Answer& aAnswer)
{
  aExchange->Respond({ .status = StatusOf(aAnswer.code),
                       .headers = { { .name = "Content-Type", .value = "application/json" } },
                       .body = ToJson(aAnswer) });
}

void
OperatorServer::Handle(const ExchangePointer& aExchange)
{
  const std::string& path = aExchange->Request().path;
  if (path == "/metrics") {
    if (m_options.refreshMetrics) {
      m_options.refreshMetrics();
    }
    aExchange->Respond({ .status = 200,
                         .headers = { { .name = "Content-Type", .value = "text/plain; version=0.0.4" } },
                         .body = m_options.metrics->Text() });
    return;
  }
  if (path == "/health") {
    aExchange->Respond({ .status = 200, .headers = {}, .body = "ok\n" });
    return;
  }
  if (path != "/v1/command" || aExchange->Request().method != "POST") {
    aExchange->Respond(
      { .status = 404, .headers = {}, .body = "use POST /v1/command, GET /metrics or GET /health\n" });
    return;
  }
  const bool queued = m_workers.Post([this, aExchange] { RunCommand(aExchange); });
  if (!queued) {
    Respond(
      aExchange,
      { .code = AnswerCode::NotRun, .message = "not run: too many commands are queued; try again shortly" });
  }
}

void
OperatorServer::RunCommand(const ExchangePointer& aExchange)
{
  const Result<OperatorRequest> request = ParseOperatorRequest(aExchange->Request().body);
  if (!request) {
    Respond(aExchange, { .code = AnswerCode::Invalid, .message = request.error().message });
    return;
  }
  Respond(aExchange, m_options.runCommand(request.value(), SteadyClock::now() + kCommandTimeout));
}

} // namespace mimosarun
