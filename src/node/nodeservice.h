#pragma once

#include "common/address.h"
#include "node/gossiper.h"
#include "node/holder.h"
#include "wire/rpcserver.h"

#include <memory>

namespace mimosarun {

/** Serves the calls of other nodes on the peer address. */
Result<std::unique_ptr<RpcServer>>
StartNodeService(const Address& aAddress, Gossiper& aGossiper, ConfigurationHolder& aHolder);

} // namespace mimosarun
