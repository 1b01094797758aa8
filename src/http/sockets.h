#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <optional>

namespace mimosarun {

/**
 * Disables the delay of small writes, and limits how long sent bytes may stay unacknowledged, since a peer
 * can vanish without closing the connection.
 */
void
ConfigureSocket(boost::asio::ip::tcp::socket& aSocket, std::chrono::milliseconds aUnacknowledgedTimeout);

/** Returns how many bytes the peer hasn't acknowledged yet; nothing if the socket can't tell or is closed. */
std::optional<size_t>
UnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket);

} // namespace mimosarun
