#pragma once

#include "common/error.h"

#include <cstdint>
#include <string>

namespace mimosarun {

/** An IP number and a port. */
struct Address
{
  std::string host;
  uint16_t port = 0;

  /** The text "host:port". */
  std::string Text() const;

  bool operator==(const Address&) const = default;
};

/** Reads "1.2.3.4:port"; names are refused, as the system does no name lookups. */
Result<Address>
ParseAddress(const std::string& aText);

} // namespace mimosarun
