#include "standin/target.h"

#include "http/meshheaders.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace mimosarun {

static constexpr std::chrono::milliseconds kAnnounceInterval{ 300 };
static constexpr const char* kTokenHeader = "X-Token";

static std::string
QueryValue(const HttpRequest& aRequest, const std::string& aName)
{
  const size_t queryMark = aRequest.requestTarget.find('?');
  if (queryMark == std::string::npos) {
    return {};
  }
  const std::string query = "&" + aRequest.requestTarget.substr(queryMark + 1) + "&";
  const size_t start = query.find("&" + aName + "=");
  if (start == std::string::npos) {
    return {};
  }
  const size_t from = start + aName.size() + 2;
  return query.substr(from, query.find('&', from) - from);
}

static int64_t
QueryNumber(const HttpRequest& aRequest, const std::string& aName, int64_t aDefault)
{
  const std::string text = QueryValue(aRequest, aName);
  return text.empty() ? aDefault : std::atoll(text.c_str());
}

StandinTarget::StandinTarget(Options aOptions)
  : m_options(std::move(aOptions))
  , m_readyAt(SteadyClock::now() + m_options.startupTime)
  , m_timers(std::make_unique<TimerQueue>())
{
}

StandinTarget::~StandinTarget()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_changed.notify_all();
  if (m_announcer.joinable()) {
    m_announcer.join();
  }
  m_server.reset();
  m_timers.reset();
  if (m_ledgerFile >= 0) {
    ::close(m_ledgerFile);
  }
}

bool
StandinTarget::Start()
{
  if (!m_options.ledgerPath.empty()) {
    m_ledgerFile = ::open(m_options.ledgerPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  }
  auto server =
    HttpServer::Start({ .address = m_options.address,
                        .handler = [this](const ExchangePointer& aExchange) { Handle(aExchange); } });
  if (!server) {
    return false;
  }
  m_server = std::move(server.value());
  m_announcer = std::thread([this] { RunAnnouncer(); });
  return true;
}

void
StandinTarget::Configure(const ExchangePointer& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  m_costFactor = static_cast<int>(QueryNumber(request, "factor", m_costFactor));
  m_announcementsStopped = QueryNumber(request, "mute", m_announcementsStopped ? 1 : 0) != 0;
  aExchange->Respond({ .status = 200, .headers = {}, .body = "ok\n" });
}

void
StandinTarget::Handle(const ExchangePointer& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.path == "/standin") {
    Configure(aExchange);
    return;
  }
  const auto call = std::make_shared<Call>();
  call->exchange = aExchange;
  call->cost = std::chrono::milliseconds(QueryNumber(request, "ms", m_options.cost.count()) * m_costFactor);
  const std::weak_ptr<Call> weak = call;
  aExchange->OnCancel([weak] {
    if (const auto held = weak.lock()) {
      held->cancelled = true;
    }
  });
  if (const int64_t shed = QueryNumber(request, "shed", 0); shed != 0) {
    HttpHeaders headers{ { .name = kOutcomeHeader, .value = kOutcomeNotRun } };
    const bool isNamed = shed == 1;
    if (isNamed) {
      headers.push_back({ .name = kCallHeader, .value = FindHeader(request.headers, kCallHeader) });
    }
    aExchange->Respond({ .status = 503, .headers = headers, .body = "{\"reason\":\"shed\"}\n" });
    return;
  }
  {
    const std::lock_guard lock(m_mutex);
    if (m_runningCalls >= m_options.slots) {
      m_queuedCalls.push_back(call);
      return;
    }
    ++m_runningCalls;
  }
  Run(call);
}

void
StandinTarget::Run(const CallPointer& aCall)
{
  WriteLedger(aCall->exchange->Request());
  if (QueryNumber(aCall->exchange->Request(), "crash", 0) != 0) {
    ::_exit(EXIT_FAILURE);
  }
  m_timers->RunAt(SteadyClock::now() + aCall->cost, [this, aCall] { Finish(aCall); });
}

void
StandinTarget::Finish(const CallPointer& aCall)
{
  Respond(aCall);
  CallPointer next;
  {
    const std::lock_guard lock(m_mutex);
    while (!m_queuedCalls.empty() && next == nullptr) {
      next = std::move(m_queuedCalls.front());
      m_queuedCalls.pop_front();
      if (next->cancelled) {
        next = nullptr;
      }
    }
    if (next == nullptr) {
      --m_runningCalls;
    }
  }
  m_changed.notify_all();
  if (next != nullptr) {
    Run(next);
  }
}

void
StandinTarget::Respond(const CallPointer& aCall)
{
  const HttpRequest& request = aCall->exchange->Request();
  if (QueryNumber(request, "late", 0) != 0) {
    return;
  }
  const std::string token = FindHeader(request.headers, kTokenHeader);
  const bool foreign = QueryNumber(request, "foreign", 0) != 0;
  HttpHeaders headers{ { .name = "Content-Type", .value = "text/plain" },
                       { .name = kTokenHeader, .value = token },
                       { .name = kCallHeader,
                         .value = foreign ? "another" : FindHeader(request.headers, kCallHeader) },
                       { .name = "X-Target", .value = m_options.name } };
  std::string body = token + "\n" + m_options.name + "\n";
  if (QueryNumber(request, "headers", 0) != 0) {
    for (const HttpHeader& header : request.headers) {
      body += header.name + ": " + header.value + "\n";
    }
  }
  body.resize(std::max(body.size(), static_cast<size_t>(QueryNumber(request, "bytes", 0))), '.');
  if (const int64_t missingBytes = QueryNumber(request, "cut", 0); missingBytes != 0) {
    const uint64_t announcedBytes = body.size() + static_cast<uint64_t>(missingBytes);
    aCall->exchange->Loop().Dispatch([exchange = aCall->exchange, headers, body, announcedBytes] {
      exchange->Start({ .status = 200, .headers = headers, .contentLength = announcedBytes });
      exchange->Write(body);
      exchange->Finish(false);
    });
    return;
  }
  aCall->exchange->Respond({ .status = 200, .headers = std::move(headers), .body = std::move(body) });
}

void
StandinTarget::WriteLedger(const HttpRequest& aRequest)
{
  if (m_ledgerFile < 0) {
    return;
  }
  const std::string key = FindHeader(aRequest.headers, kIdempotencyHeader);
  const std::string line = aRequest.method + " " + aRequest.path + " " + (key.empty() ? "-" : key) + " " +
                           FindHeader(aRequest.headers, kCallHeader) + "\n";
  const ssize_t written = ::write(m_ledgerFile, line.data(), line.size());
  static_cast<void>(written);
}

const char*
StandinTarget::Phase()
{
  if (m_draining) {
    return "draining";
  }
  return SteadyClock::now() < m_readyAt ? "starting" : "ready";
}

static size_t
AppendResponseBody(char* aBytes, size_t aSize, size_t aCount, void* aText)
{
  static_cast<std::string*>(aText)->append(aBytes, aSize * aCount);
  return aSize * aCount;
}

std::string
StandinTarget::SendAnnouncement()
{
  const int slots = m_options.announcedSlots > 0 ? m_options.announcedSlots : m_options.slots;
  const std::string body = "{\"name\":\"" + m_options.name + "\",\"service\":\"" + m_options.service +
                           "\",\"address\":\"" + m_options.address.Text() +
                           "\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + Phase() + "\"}";
  std::string response;
  CURL* handle = curl_easy_init();
  curl_easy_setopt(
    handle, CURLOPT_URL, ("http://" + m_options.announceAddress.Text() + "/v1/announce").c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, 1000L);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendResponseBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response);
  curl_easy_perform(handle);
  curl_easy_cleanup(handle);
  return response;
}

void
StandinTarget::RunAnnouncer()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    lock.unlock();
    const std::string response = m_announcementsStopped ? std::string() : SendAnnouncement();
    lock.lock();
    if (response.find("\"stopped\"") != std::string::npos) {
      m_draining = true;
    }
    if (m_draining && m_runningCalls == 0 && m_queuedCalls.empty()) {
      m_stopped = true;
      m_changed.notify_all();
      return;
    }
    const auto until = SteadyClock::now() + kAnnounceInterval;
    m_changed.wait_until(lock, until, [this] { return m_stopped; });
  }
}

void
StandinTarget::Drain()
{
  m_draining = true;
}

void
StandinTarget::WaitUntilStopped()
{
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [this] { return m_stopped; });
}

} // namespace mimosarun
