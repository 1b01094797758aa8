#pragma once

#include "common/address.h"
#include "common/error.h"

#include <thrift/server/TServer.h>
#include <thrift/TProcessor.h>

#include <memory>
#include <thread>

namespace mimosarun {

/** Serves one Thrift processor on an address, a thread for each connection up to a bound. */
class RpcServer
{
public:
  struct Options
  {
    Address address;
    std::shared_ptr<apache::thrift::TProcessor> processor;
    int64_t maximumConnections = 256;
  };

  /** Binds the address and starts to serve. */
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
