#include "http/sockets.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace mimosarun {

void
ConfigureSocket(boost::asio::ip::tcp::socket& aSocket, std::chrono::milliseconds aUnacknowledgedTimeout)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const auto timeoutMs = static_cast<unsigned int>(aUnacknowledgedTimeout.count());
  ::setsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof timeoutMs);
}

std::optional<size_t>
UnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket)
{
  int bytes = 0;
  if (!aSocket.is_open() || ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) != 0) {
    return std::nullopt;
  }
  return static_cast<size_t>(bytes);
}

} // namespace mimosarun
