#pragma once

#include "common/address.h"
#include "common/error.h"
#include "http/exchange.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

struct MHD_Daemon;

namespace mimosarun {

/** An HTTP/1.1 server on one address that hands each whole request to a handler. */
class HttpServer
{
public:
  using Handler = std::function<void(const ExchangePointer&)>;

  struct Options
  {
    Address address;
    Handler handler;
    unsigned int threads = 2;
    unsigned int maximumConnections = 2000;
    size_t bodyLimitBytes = 1024UL * 1024;
    /** An idle or half-sent connection is closed after this. */
    std::chrono::seconds idleTimeout{ 30 };
  };

  /** Binds the address and starts to serve. */
  static Result<std::unique_ptr<HttpServer>> Start(Options aOptions);

  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Takes no further connections; those that are open go on. */
  void StopListening();

private:
  /** State of one request while its parts arrive. */
  struct Incoming
  {
    HttpServer* server = nullptr;
    HttpRequest request;
    ExchangePointer exchange;
    bool tooLarge = false;
  };

  explicit HttpServer(Options aOptions);

  friend struct ServerCallbacks;

  void WatchForHangUps();
  bool WaitForExchanges();
  std::vector<ExchangePointer> OpenExchanges();
  void Track(const ExchangePointer& aExchange);

  Options m_options;
  MHD_Daemon* m_daemon = nullptr;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::list<std::weak_ptr<Exchange>> m_exchanges;
  bool m_stop = false;
  std::thread m_watcher;
};

} // namespace mimosarun
