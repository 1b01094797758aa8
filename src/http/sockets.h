#pragma once

#include "http/deliverystate.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <optional>

namespace mimosarun {

/** Disables the delay of small writes, and limits how long sent bytes may stay unacknowledged. */
void
ConfigureSocket(boost::asio::ip::tcp::socket& aSocket, std::chrono::milliseconds aUnacknowledgedTimeout);

/**
 * Limits how long sent bytes may stay unacknowledged, since a peer can vanish without closing the connection.
 * The limit also ends a connection whose peer is there but doesn't read. Zero stands for the kernel's own
 * limit of many minutes.
 */
void
SetUnacknowledgedTimeout(boost::asio::ip::tcp::socket& aSocket, std::chrono::milliseconds aTimeout);

/** Returns how many bytes the peer hasn't acknowledged yet; nothing if the socket can't tell or is closed. */
std::optional<size_t>
UnacknowledgedBytes(boost::asio::ip::tcp::socket& aSocket);

/** Returns the state of delivery; nothing if the system can't tell or the socket is closed. */
std::optional<DeliveryState>
ReadDeliveryState(boost::asio::ip::tcp::socket& aSocket);

/** Sets whether closing the socket resets the connection, also if the process ends. */
void
SetResetOnClose(boost::asio::ip::tcp::socket& aSocket, bool aResets);

/** Closes a socket with a reset, which discards what the peer hasn't got. */
void
Abort(boost::asio::ip::tcp::socket& aSocket);

} // namespace mimosarun
