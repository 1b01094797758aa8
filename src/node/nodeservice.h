#pragma once

#include "common/address.h"
#include "node/controllink.h"
#include "node/gossiper.h"
#include "node/holder.h"
#include "wire/rpcserver.h"

#include <memory>

namespace mimosarun {

/** Starts a server for the calls of other nodes on the peer address; fails if it can't listen there. */
Result<std::unique_ptr<RpcServer>>
StartNodeService(const Address& aAddress,
                 Gossiper& aGossiper,
                 ConfigurationHolder& aHolder,
                 const ControlLink& aControl);

} // namespace mimosarun
