#include "wire/limits.h"

namespace mimosarun {

static constexpr int kMessageLimitBytes = 64 * 1024 * 1024;
static constexpr int kFrameLimitBytes = 32 * 1024 * 1024;

std::shared_ptr<apache::thrift::TConfiguration>
MessageLimits()
{
  return std::make_shared<apache::thrift::TConfiguration>(kMessageLimitBytes, kFrameLimitBytes);
}

} // namespace mimosarun
