#include "target/announcementserver.h"

#include "settings/jsonreader.h"

namespace mimosarun {

static constexpr int kMaximumSlots = 10000;
static constexpr size_t kBodyLimitBytes = 64UL * 1024;
static constexpr size_t kMaximumConnections = 64;

AnnouncementServer::AnnouncementServer(Options aOptions)
  : m_options(std::move(aOptions))
{
}

Result<std::unique_ptr<AnnouncementServer>>
AnnouncementServer::Start(Options aOptions)
{
  std::unique_ptr<AnnouncementServer> agent(new AnnouncementServer(std::move(aOptions)));
  MIMOSARUN_TRY(
    agent->m_server,
    HttpServer::Start(
      { .address = agent->m_options.address,
        .handler = [raw = agent.get()](const ExchangePointer& aExchange) { raw->Handle(aExchange); },
        .loops = agent->m_options.loops,
        .maximumConnections = kMaximumConnections,
        .limits = { .bodyBytes = kBodyLimitBytes } }));
  return agent;
}

Result<TargetState>
ParseAnnouncement(const std::string& aBody)
{
  MIMOSARUN_TRY(const nlohmann::json document, ParseJson(aBody, "announcement"));
  Problems problems;
  JsonReader reader(document, "announcement", problems);
  TargetState state;
  state.name = reader.Text("name");
  state.service = reader.Text("service");
  const std::string address = reader.Text("address");
  state.slots = static_cast<int>(reader.Integer("slots", 1, kMaximumSlots, 1));
  const std::string phase = reader.OneOf("state", { "starting", "ready", "draining" }, "");
  state.phase = phase == "ready"      ? wire::TargetPhase::Ready
                : phase == "draining" ? wire::TargetPhase::Draining
                                      : wire::TargetPhase::Starting;
  state.version = reader.Text("version", "");
  if (state.version.size() > kMaximumVersionLength) {
    problems.Add("announcement.version", "must have 200 characters at most");
  }
  reader.ReportUnknownKeys();
  const Result<Address> parsedAddress = ParseAddress(address);
  if (!parsedAddress) {
    problems.Add("announcement.address", parsedAddress.error().message);
  } else {
    state.address = parsedAddress.value();
  }
  if (!problems.Empty()) {
    return Fail(ErrorKind::InvalidInput, problems.Text());
  }
  return state;
}

void
AnnouncementServer::Handle(const ExchangePointer& aExchange)
{
  if (aExchange->Request().path != "/v1/announce" || aExchange->Request().method != "POST") {
    aExchange->Respond({ .status = 404, .headers = {}, .body = "use POST /v1/announce\n" });
    return;
  }
  Result<TargetState> state = ParseAnnouncement(aExchange->Request().body);
  if (!state) {
    aExchange->Respond({ .status = 400, .headers = {}, .body = state.error().message + "\n" });
    return;
  }
  m_options.watch->ApplyReport({ .state = std::move(state.value()) }, SteadyClock::now());
  aExchange->Respond({ .status = 200,
                       .headers = { { .name = "Content-Type", .value = "application/json" } },
                       .body = std::string("{\"intent\":\"") + Name(m_options.watch->Intent()) + "\"}\n" });
}

} // namespace mimosarun
