#include "target/targetagent.h"

#include "common/log.h"
#include "settings/jsonreader.h"

namespace mimosarun {

static constexpr std::chrono::milliseconds kLease{ 3000 };
static constexpr std::chrono::milliseconds kWatchInterval{ 100 };
static constexpr int kMaximumSlots = 10000;

TargetAgent::TargetAgent(Options aOptions)
  : m_options(std::move(aOptions))
{
}

Result<std::unique_ptr<TargetAgent>>
TargetAgent::Start(Options aOptions)
{
  std::unique_ptr<TargetAgent> agent(new TargetAgent(std::move(aOptions)));
  MIMOSARUN_TRY(
    agent->m_server,
    HttpServer::Start(
      { .address = agent->m_options.address,
        .handler = [raw = agent.get()](const ExchangePointer& aExchange) { raw->Handle(aExchange); },
        .threads = 1,
        .maximumConnections = 64,
        .bodyLimitBytes = 64UL * 1024 }));
  agent->m_watcher = std::thread([raw = agent.get()] { raw->WatchLease(); });
  return agent;
}

TargetAgent::~TargetAgent()
{
  m_stop = true;
  if (m_watcher.joinable()) {
    m_watcher.join();
  }
  m_server.reset();
}

TargetState
TargetAgent::State() const
{
  const std::lock_guard lock(m_mutex);
  return m_state;
}

void
TargetAgent::SetIntent(TargetIntent aIntent)
{
  const std::lock_guard lock(m_mutex);
  m_intent = aIntent;
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
  reader.Finish();
  const Result<Address> parsed = ParseAddress(address);
  if (!parsed) {
    problems.Add("announcement.address", parsed.error().message);
  } else {
    state.address = parsed.value();
  }
  if (!problems.Empty()) {
    return Fail(ErrorKind::InvalidInput, problems.Text());
  }
  return state;
}

void
TargetAgent::Handle(const ExchangePointer& aExchange)
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
  Take(std::move(state.value()));
  const std::lock_guard lock(m_mutex);
  aExchange->Respond({ .status = 200,
                       .headers = { { .name = "Content-Type", .value = "application/json" } },
                       .body = std::string("{\"intent\":\"") + Name(m_intent) + "\"}\n" });
}

void
TargetAgent::Take(TargetState aState)
{
  TargetState before;
  {
    const std::lock_guard lock(m_mutex);
    before = m_state;
    m_state = aState;
    m_leaseUntil = SteadyClock::now() + kLease;
  }
  const bool same = before.name == aState.name && before.phase == aState.phase &&
                    before.slots == aState.slots && before.service == aState.service &&
                    before.address == aState.address;
  if (same) {
    return;
  }
  Log(before.name == aState.name ? Event::TargetPhaseChanged : Event::TargetAnnounced,
      { { "target", aState.name },
        { "service", aState.service },
        { "phase", static_cast<int>(aState.phase) } });
  m_options.listener(aState);
}

void
TargetAgent::WatchLease()
{
  while (!m_stop) {
    TargetState lost;
    {
      const std::lock_guard lock(m_mutex);
      if (m_state.phase != wire::TargetPhase::Absent && SteadyClock::now() > m_leaseUntil) {
        m_state.phase = wire::TargetPhase::Absent;
        lost = m_state;
      }
    }
    if (!lost.name.empty()) {
      Log(Event::TargetLost, { { "target", lost.name } });
      m_options.listener(lost);
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

} // namespace mimosarun
