#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace mimosarun {

/**
 * Disables the delay of small writes, and limits how long sent bytes may stay unacknowledged, since a peer
 * can vanish without closing the connection.
 */
void
ConfigureSocket(boost::asio::ip::tcp::socket& aSocket, std::chrono::milliseconds aUnacknowledgedTimeout);

} // namespace mimosarun
