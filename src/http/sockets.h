#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace mimosarun {

/**
 * Sends small writes at once, and breaks a connection whose bytes stay unacknowledged for a time, since the
 * other end may have vanished without a word.
 */
void
ConfigureSocket(boost::asio::ip::tcp::socket& aSocket, std::chrono::milliseconds aUnacknowledgedLimit);

} // namespace mimosarun
