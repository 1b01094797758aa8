#pragma once

#include "common/error.h"
#include "wire/rpcserver.h"

#include <memory>

namespace mimosarun {

class Controller;

/** Starts the service for calls of other processes on the controller's peer address. */
Result<std::unique_ptr<RpcServer>>
StartControlService(Controller& aController);

} // namespace mimosarun
