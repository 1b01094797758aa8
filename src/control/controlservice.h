#pragma once

#include "common/error.h"
#include "wire/rpcserver.h"

#include <memory>

namespace mimosarun {

class Controller;

/** Serves the calls of other processes to a control replica on its peer address. */
Result<std::unique_ptr<RpcServer>>
StartControlService(Controller& aController);

} // namespace mimosarun
