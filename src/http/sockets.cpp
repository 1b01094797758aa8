#include "http/sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
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

} // namespace mimosarun
