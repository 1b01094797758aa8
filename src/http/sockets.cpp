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
  SetUnacknowledgedTimeout(aSocket, aUnacknowledgedTimeout);
}

void
SetUnacknowledgedTimeout(boost::asio::ip::tcp::socket& aSocket, std::chrono::milliseconds aTimeout)
{
  const auto timeoutMs = static_cast<unsigned int>(aTimeout.count());
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

std::optional<DeliveryState>
ReadDeliveryState(boost::asio::ip::tcp::socket& aSocket)
{
  return aSocket.is_open() ? ReadDeliveryState(aSocket.native_handle()) : std::nullopt;
}

void
SetResetOnClose(boost::asio::ip::tcp::socket& aSocket, bool aResets)
{
  // Asio undoes the option in a socket's destructor if it was set by Asio's own function.
  const linger option{ .l_onoff = aResets ? 1 : 0, .l_linger = 0 };
  ::setsockopt(aSocket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void
Abort(boost::asio::ip::tcp::socket& aSocket)
{
  SetResetOnClose(aSocket, true);
  boost::system::error_code ignored;
  aSocket.close(ignored);
}

} // namespace mimosarun
