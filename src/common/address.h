#pragma once

#include "common/error.h"

#include <cstdint>
#include <string>

namespace mimosarun {

/** An IPv4 address and a port. */
struct Address
{
  std::string host;
  uint16_t port = 0;

  /** Returns "host:port". */
  std::string Text() const;

  bool operator==(const Address&) const = default;
};

/** Parses "1.2.3.4:port". Host names are an error, as the system does no name lookups. */
Result<Address>
ParseAddress(const std::string& aText);

} // namespace mimosarun
