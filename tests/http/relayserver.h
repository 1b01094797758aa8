#pragma once

#include "harness/rawserver.h"
#include "http/forwarder.h"
#include "http/server.h"

#include <memory>

namespace mimosarun {

/** Passes a response on to an exchange piece by piece. */
class StreamRelay : public ForwardListener
{
public:
  explicit StreamRelay(ExchangePointer aExchange)
    : m_exchange(std::move(aExchange))
  {
  }

  void UseHandle(const ForwardHandle& aHandle)
  {
    m_exchange->OnDrain([aHandle] { aHandle.Resume(); });
    m_exchange->OnCancel([aHandle] { aHandle.Cancel(); });
  }

  HeadAction OnHead(const HttpResponseHead& aHead) override
  {
    m_exchange->Start(aHead);
    return HeadAction::Accept;
  }
  bool OnBody(std::string_view aBytes) override { return m_exchange->Write(aBytes); }
  void OnEnd(ForwardResult aResult) override { m_exchange->Finish(aResult == ForwardResult::Complete); }

private:
  const ExchangePointer m_exchange;
};

/** A server that streams the responses of another one. */
class RelayServer
{
public:
  explicit RelayServer(const Address& aSource)
    : m_address(RawServer::FreeAddress())
    , m_loops(1)
  {
    const auto handle = [this, aSource](const ExchangePointer& aExchange) {
      const auto relay = std::make_shared<StreamRelay>(aExchange);
      relay->UseHandle(m_forwarder.Start(
        aExchange->Loop(),
        { .destination = aSource,
          .request = { .method = "GET", .path = "/", .requestTarget = "/", .headers = {}, .body = {} },
          .deadline = SteadyClock::now() + std::chrono::seconds(30) },
        relay));
    };
    m_server = HttpServer::Start({ .address = m_address, .handler = handle, .loops = &m_loops }).value();
  }

  ~RelayServer()
  {
    m_server.reset();
    m_loops.Stop();
  }

  const Address& ListenAddress() const { return m_address; }

private:
  const Address m_address;
  EventLoops m_loops;
  Forwarder m_forwarder;
  std::unique_ptr<HttpServer> m_server;
};

} // namespace mimosarun
