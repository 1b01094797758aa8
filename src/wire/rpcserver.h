#pragma once

#include "common/address.h"
#include "common/error.h"

#include <thrift/server/TServer.h>
#include <thrift/TProcessor.h>

#include <memory>
#include <thread>

namespace mimosarun {

/** Serves a Thrift processor on an address with one thread per connection, up to a limit. */
class RpcServer
{
public:
  struct Options
  {
    Address address;
    std::shared_ptr<apache::thrift::TProcessor> processor;
    int64_t maximumConnections = 256;
  };

  /** Starts a server; returns an error if it can't listen on the address. */
  static Result<std::unique_ptr<RpcServer>> Start(const Options& aOptions);

  ~RpcServer();

  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

private:
  RpcServer() = default;

  std::shared_ptr<apache::thrift::server::TServer> m_server;
  std::thread m_thread;
};

} // namespace mimosarun
