#include "http/deliverystate.h"

// The kernel's header, as tcp_info of the C library lacks the newer fields; it excludes <netinet/tcp.h>.
#include <linux/tcp.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>

namespace mimosarun {

std::optional<DeliveryState>
ReadDeliveryState(int aSocket)
{
  static constexpr size_t kNeededBytes =
    offsetof(tcp_info, tcpi_bytes_acked) + sizeof(tcp_info::tcpi_bytes_acked);
  tcp_info info{};
  socklen_t length = sizeof info;
  if (::getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 || length < kNeededBytes) {
    return std::nullopt;
  }
  if (info.tcpi_state == 0 || info.tcpi_rto == 0) {
    return std::nullopt;
  }
  DeliveryState state{
    .acknowledgedBytes = info.tcpi_bytes_acked,
    .inFlight = info.tcpi_unacked > 0,
    .unansweredAttempts = static_cast<unsigned int>(info.tcpi_retransmits) + info.tcpi_probes,
  };
  // Some systems count what is acknowledged, but leave the times of answers and the attempts at zero.
  if (info.tcpi_last_ack_recv > 0) {
    state.lastAnswerAt = SteadyClock::now() - std::chrono::milliseconds(info.tcpi_last_ack_recv);
  }
  return state;
}

} // namespace mimosarun
