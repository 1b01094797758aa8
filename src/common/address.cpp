#include "common/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace mimosarun {

static constexpr int kHighestPort = 65535;

std::string
Address::Text() const
{
  return host + ":" + std::to_string(port);
}

Result<Address>
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  const std::string host = aText.substr(0, colon);
  in_addr parsedHost{};
  int port = 0;
  bool valid = colon != std::string::npos && ::inet_pton(AF_INET, host.c_str(), &parsedHost) == 1;
  if (valid) {
    const char* begin = aText.data() + colon + 1;
    const char* end = aText.data() + aText.size();
    const auto parsed = std::from_chars(begin, end, port);
    valid = parsed.ec == std::errc() && parsed.ptr == end && port > 0 && port <= kHighestPort;
  }
  if (!valid) {
    return Fail(ErrorKind::InvalidInput,
                "'" + aText + "' is no address; write an IPv4 address and a port, such as 10.0.0.1:7000");
  }
  return Address{ .host = host, .port = static_cast<uint16_t>(port) };
}

} // namespace mimosarun
