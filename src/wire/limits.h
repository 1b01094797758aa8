#pragma once

#include <thrift/TConfiguration.h>

#include <memory>

namespace mimosarun {

/** Returns the size limits of Thrift messages, the same for clients and servers. */
std::shared_ptr<apache::thrift::TConfiguration>
MessageLimits();

} // namespace mimosarun
