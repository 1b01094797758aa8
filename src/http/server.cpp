#include "http/server.h"

#include "common/clock.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <unistd.h>

#include <cstring>
#include <vector>

namespace mimosarun {

static constexpr std::chrono::milliseconds kWatchInterval{ 10 };
static constexpr size_t kConnectionMemoryBytes = 24UL * 1024;

/** The functions that the HTTP library calls. */
struct ServerCallbacks
{
  using Incoming = HttpServer::Incoming;

  static MHD_Result Handle(void* aSelf,
                           MHD_Connection* aConnection,
                           const char* aUrl,
                           const char* aMethod,
                           const char* aVersion,
                           const char* aUpload,
                           size_t* aUploadSize,
                           void** aContext);
  static void Completed(void* aSelf,
                        MHD_Connection* aConnection,
                        void** aContext,
                        MHD_RequestTerminationCode aCode);
  static void* NoteTarget(void* aSelf, const char* aUri, MHD_Connection* aConnection);
  static MHD_Result TakeUpload(Incoming& aIncoming, const char* aUpload, size_t* aUploadSize);
  static MHD_Result Dispatch(MHD_Connection* aConnection, Incoming& aIncoming);
  static MHD_Result Queue(MHD_Connection* aConnection, const ExchangePointer& aExchange);
};

HttpServer::HttpServer(Options aOptions)
  : m_options(std::move(aOptions))
{
}

Result<std::unique_ptr<HttpServer>>
HttpServer::Start(Options aOptions)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aOptions.address.port);
  ::inet_pton(AF_INET, aOptions.address.host.c_str(), &address.sin_addr);
  std::unique_ptr<HttpServer> server(new HttpServer(std::move(aOptions)));
  const Options& options = server->m_options;
  server->m_daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
                                      options.address.port,
                                      nullptr,
                                      nullptr,
                                      &ServerCallbacks::Handle,
                                      server.get(),
                                      MHD_OPTION_SOCK_ADDR,
                                      reinterpret_cast<sockaddr*>(&address),
                                      MHD_OPTION_THREAD_POOL_SIZE,
                                      options.threads,
                                      MHD_OPTION_CONNECTION_LIMIT,
                                      options.maximumConnections,
                                      MHD_OPTION_CONNECTION_TIMEOUT,
                                      static_cast<unsigned int>(options.idleTimeout.count()),
                                      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                      kConnectionMemoryBytes,
                                      MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                      1U,
                                      MHD_OPTION_NOTIFY_COMPLETED,
                                      &ServerCallbacks::Completed,
                                      server.get(),
                                      MHD_OPTION_URI_LOG_CALLBACK,
                                      &ServerCallbacks::NoteTarget,
                                      server.get(),
                                      MHD_OPTION_END);
  if (server->m_daemon == nullptr) {
    return Fail(ErrorKind::Unreachable,
                options.address.Text() + ": can't listen; free the port or change the settings");
  }
  server->m_watcher = std::thread([raw = server.get()] { raw->WatchForHangUps(); });
  return server;
}

HttpServer::~HttpServer()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_wake.notify_all();
  if (m_watcher.joinable()) {
    m_watcher.join();
  }
  if (m_daemon == nullptr) {
    return;
  }
  // The library wants no suspended connections when it stops.
  for (const ExchangePointer& exchange : OpenExchanges()) {
    exchange->Cancel();
  }
  MHD_stop_daemon(m_daemon);
}

void
HttpServer::StopListening()
{
  const MHD_socket socket = MHD_quiesce_daemon(m_daemon);
  if (socket != MHD_INVALID_SOCKET) {
    ::close(socket);
  }
}

void*
ServerCallbacks::NoteTarget(void* aSelf, const char* aUri, MHD_Connection* /*aConnection*/)
{
  auto* incoming = new Incoming();
  incoming->server = static_cast<HttpServer*>(aSelf);
  incoming->request.target = aUri;
  return incoming;
}

static MHD_Result
CollectHeader(void* aHeaders, MHD_ValueKind /*aKind*/, const char* aName, const char* aValue)
{
  static_cast<HttpHeaders*>(aHeaders)->push_back({ .name = aName, .value = aValue == nullptr ? "" : aValue });
  return MHD_YES;
}

static bool
DeclaresMoreThan(const HttpHeaders& aHeaders, size_t aLimit)
{
  const std::string length = FindHeader(aHeaders, "Content-Length");
  return !length.empty() && std::strtoull(length.c_str(), nullptr, 10) > aLimit;
}

static MHD_Result
Refuse(MHD_Connection* aConnection, unsigned int aStatus)
{
  static const char* kText = "{\"error\":\"the request body is too large; send a smaller one\"}\n";
  MHD_Response* response =
    MHD_create_response_from_buffer(std::strlen(kText), const_cast<char*>(kText), MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header(response, "Mimosarun-Outcome", "not-run");
  MHD_add_response_header(response, "Content-Type", "application/json");
  MHD_add_response_header(response, "Connection", "close");
  const MHD_Result queued = MHD_queue_response(aConnection, aStatus, response);
  MHD_destroy_response(response);
  return queued;
}

MHD_Result
ServerCallbacks::Handle(void* /*aSelf*/,
                        MHD_Connection* aConnection,
                        const char* aUrl,
                        const char* aMethod,
                        const char* /*aVersion*/,
                        const char* aUpload,
                        size_t* aUploadSize,
                        void** aContext)
{
  Incoming& incoming = *static_cast<Incoming*>(*aContext);
  HttpServer& server = *incoming.server;
  if (incoming.request.method.empty()) {
    incoming.request.method = aMethod;
    incoming.request.path = aUrl;
    MHD_get_connection_values(aConnection, MHD_HEADER_KIND, &CollectHeader, &incoming.request.headers);
    if (DeclaresMoreThan(incoming.request.headers, server.m_options.bodyLimitBytes)) {
      return Refuse(aConnection, MHD_HTTP_CONTENT_TOO_LARGE);
    }
    return MHD_YES;
  }
  if (*aUploadSize > 0) {
    return TakeUpload(incoming, aUpload, aUploadSize);
  }
  if (incoming.exchange == nullptr) {
    return Dispatch(aConnection, incoming);
  }
  return incoming.exchange->ReadyToQueue() ? Queue(aConnection, incoming.exchange) : MHD_YES;
}

MHD_Result
ServerCallbacks::TakeUpload(Incoming& aIncoming, const char* aUpload, size_t* aUploadSize)
{
  if (aIncoming.request.body.size() + *aUploadSize > aIncoming.server->m_options.bodyLimitBytes) {
    return MHD_NO;
  }
  aIncoming.request.body.append(aUpload, *aUploadSize);
  *aUploadSize = 0;
  return MHD_YES;
}

MHD_Result
ServerCallbacks::Dispatch(MHD_Connection* aConnection, Incoming& aIncoming)
{
  const MHD_ConnectionInfo* info = MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD);
  aIncoming.exchange = std::make_shared<Exchange>(std::move(aIncoming.request));
  aIncoming.request.method = "taken";
  aIncoming.server->Track(aIncoming.exchange);
  aIncoming.exchange->Suspend(aConnection, info == nullptr ? -1 : info->connect_fd);
  aIncoming.server->m_options.handler(aIncoming.exchange);
  return MHD_YES;
}

MHD_Result
ServerCallbacks::Queue(MHD_Connection* aConnection, const ExchangePointer& aExchange)
{
  const int status = aExchange->Status();
  MHD_Response* response = aExchange->MakeResponse(aExchange);
  const MHD_Result queued = MHD_queue_response(aConnection, static_cast<unsigned int>(status), response);
  MHD_destroy_response(response);
  return queued;
}

void
ServerCallbacks::Completed(void* /*aSelf*/,
                           MHD_Connection* /*aConnection*/,
                           void** aContext,
                           MHD_RequestTerminationCode aCode)
{
  const std::unique_ptr<Incoming> incoming(static_cast<Incoming*>(*aContext));
  *aContext = nullptr;
  if (incoming != nullptr && incoming->exchange != nullptr && aCode != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
    incoming->exchange->Cancel();
  }
}

void
HttpServer::Track(const ExchangePointer& aExchange)
{
  const std::lock_guard lock(m_mutex);
  if (m_exchanges.empty()) {
    m_wake.notify_all();
  }
  m_exchanges.push_back(aExchange);
}

std::vector<ExchangePointer>
HttpServer::OpenExchanges()
{
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_exchanges, [](const auto& aExchange) { return aExchange.expired(); });
  std::vector<ExchangePointer> open;
  for (const std::weak_ptr<Exchange>& weak : m_exchanges) {
    if (ExchangePointer exchange = weak.lock()) {
      open.push_back(std::move(exchange));
    }
  }
  return open;
}

bool
HttpServer::WaitForExchanges()
{
  std::unique_lock lock(m_mutex);
  m_wake.wait(lock, [this] { return m_stop || !m_exchanges.empty(); });
  const Deadline until = SteadyClock::now() + kWatchInterval;
  m_wake.wait_until(lock, until, [this] { return m_stop; });
  return !m_stop;
}

void
HttpServer::WatchForHangUps()
{
  std::vector<pollfd> sockets;
  std::vector<ExchangePointer> watched;
  while (WaitForExchanges()) {
    sockets.clear();
    watched.clear();
    for (ExchangePointer& exchange : OpenExchanges()) {
      const int socket = exchange->WatchedSocket();
      if (socket >= 0) {
        sockets.push_back({ .fd = socket, .events = POLLRDHUP, .revents = 0 });
        watched.push_back(std::move(exchange));
      }
    }
    if (sockets.empty()) {
      continue;
    }
    ::poll(sockets.data(), sockets.size(), 0);
    for (size_t i = 0; i < sockets.size(); ++i) {
      if ((sockets[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        watched[i]->Cancel();
      }
    }
  }
}

} // namespace mimosarun
