#pragma once

#include <thrift/TConfiguration.h>

#include <memory>

namespace mimosarun {

/** Bounds of a Thrift message, shared by clients and servers. */
std::shared_ptr<apache::thrift::TConfiguration>
MessageLimits();

} // namespace mimosarun
