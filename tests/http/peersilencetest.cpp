#define BOOST_TEST_MODULE peersilence
#include "http/peersilence.h"
#include "harness/rawserver.h"
#include "http/server.h"
#include "http/sockets.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <utility>

using namespace mimosarun;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr seconds kCheckInterval{ 1 };
static constexpr milliseconds kStallTimeout{ 30000 };
/** Within this time of its first unanswered attempt, a peer counts as gone. */
static constexpr milliseconds kLongestDetection{ 6000 };
static constexpr milliseconds kShortestDetection{ 3800 };
static constexpr milliseconds kFirstAttempt{ 200 };

// --- observations ----------------------------------------------------------------------------------------

/**
 * The attempts of a kernel to reach a peer that lacks bytes: retransmissions of sent bytes, or probes of a
 * closed window. Their distances double, whether they are answered or not, up to a limit.
 */
class SimulatedAttempts
{
public:
  SimulatedAttempts(Deadline aStart, milliseconds aRoundTrip, bool aInFlight = false)
    : m_roundTrip(aRoundTrip)
    , m_inFlight(aInFlight)
    , m_next(aStart + kFirstAttempt)
    , m_lastAnswerAt(aStart)
  {
  }

  /** From then on, no attempt reaches the peer. */
  void SetVanishedAt(Deadline aTime) { m_vanishedAt = aTime; }
  /** Attempts in this span get no answer. */
  void SetLossBetween(Deadline aBegin, Deadline aEnd)
  {
    m_lossBegin = aBegin;
    m_lossEnd = aEnd;
  }

  DeliveryState StateAt(Deadline aNow)
  {
    for (; m_next <= aNow; m_next += m_distance) {
      if (m_unanswered > 0 && m_answerAt <= m_next) {
        TakeAnswer();
      }
      m_distance = std::min<milliseconds>(2 * m_distance, seconds(120));
      ++m_unanswered;
      const bool isLost = m_next >= m_vanishedAt || (m_next >= m_lossBegin && m_next < m_lossEnd);
      if (!isLost) {
        m_answerAt = std::min(m_answerAt, m_next + m_roundTrip);
      }
    }
    if (m_unanswered > 0 && m_answerAt <= aNow) {
      TakeAnswer();
    }
    return { .acknowledgedBytes = 1000,
             .inFlight = m_inFlight,
             .unansweredAttempts = m_unanswered,
             .lastAnswerAt = m_lastAnswerAt };
  }

private:
  void TakeAnswer()
  {
    m_unanswered = 0;
    m_lastAnswerAt = m_answerAt;
    m_answerAt = Deadline::max();
  }

  const milliseconds m_roundTrip;
  const bool m_inFlight;
  Deadline m_next;
  milliseconds m_distance = kFirstAttempt;
  Deadline m_vanishedAt = Deadline::max();
  Deadline m_lossBegin = Deadline::max();
  Deadline m_lossEnd = Deadline::max();
  unsigned int m_unanswered = 0;
  Deadline m_answerAt = Deadline::max();
  Deadline m_lastAnswerAt;
};

/** Returns when an observer that checks a peer once a second sees it in another state than reachable. */
static Deadline
FirstChange(SimulatedAttempts& aAttempts, Deadline aStart, Deadline aEnd, PeerState& aState)
{
  PeerSilence silence;
  for (Deadline now = aStart; now < aEnd; now += kCheckInterval) {
    aState = silence.Observe(aAttempts.StateAt(now), kStallTimeout, now);
    if (aState != PeerState::Reachable) {
      return now;
    }
  }
  return aEnd;
}

static const Deadline kStart = Deadline(std::chrono::hours(1));

// Guards against: a peer whose VM is gone isn't noticed, or is much later than by the kernel's limit of 4 s.
BOOST_AUTO_TEST_CASE(a_peer_that_answers_nothing_is_gone_after_some_seconds)
{
  const bool holds = rc::check([] {
    const milliseconds firstCheck(*rc::gen::inRange(0, 1000));
    SimulatedAttempts attempts(kStart, milliseconds(0), *rc::gen::arbitrary<bool>());
    attempts.SetVanishedAt(kStart);
    PeerState state = PeerState::Reachable;
    const Deadline noticed = FirstChange(attempts, kStart + firstCheck, kStart + kStallTimeout, state);
    RC_ASSERT(state == PeerState::Gone);
    RC_ASSERT(noticed - kStart >= kShortestDetection);
    RC_ASSERT(noticed - kStart <= kLongestDetection);
  });
  BOOST_TEST(holds);
}

// Guards against: a peer with a closed window counts as gone, as the kernel's probes become rare, or as a
// check falls between a probe and its answer; then a caller that pauses for some seconds is cut off.
BOOST_AUTO_TEST_CASE(a_peer_that_answers_is_stalled_and_never_gone)
{
  const bool holds = rc::check([] {
    const milliseconds firstCheck(*rc::gen::inRange(0, 1000));
    SimulatedAttempts attempts(kStart, milliseconds(*rc::gen::inRange(0, 3000)));
    PeerState state = PeerState::Reachable;
    const Deadline noticed = FirstChange(attempts, kStart + firstCheck, kStart + 2 * kStallTimeout, state);
    RC_ASSERT(state == PeerState::Stalled);
    RC_ASSERT(noticed - kStart >= kStallTimeout);
    RC_ASSERT(noticed - kStart <= kStallTimeout + 2 * kCheckInterval);
  });
  BOOST_TEST(holds);
}

// Guards against: one lost probe of a closed window ends the connection, as the next one comes after seconds,
// or its answer is still on its way when the peer is checked.
BOOST_AUTO_TEST_CASE(a_peer_is_not_gone_when_a_single_attempt_gets_lost)
{
  const bool holds = rc::check([] {
    const milliseconds firstCheck(*rc::gen::inRange(0, 1000));
    SimulatedAttempts attempts(kStart, milliseconds(20));
    // The attempts are 0.2, 0.4, 0.8, 1.6, 3.2, 6.4 s apart.
    const milliseconds lost = milliseconds(200) * ((1 << *rc::gen::inRange(1, 8)) - 1);
    attempts.SetLossBetween(kStart + lost, kStart + lost + milliseconds(1));
    PeerState state = PeerState::Reachable;
    const Deadline noticed = FirstChange(attempts, kStart + firstCheck, kStart + 2 * kStallTimeout, state);
    RC_ASSERT(state == PeerState::Stalled);
    RC_ASSERT(noticed - kStart >= kStallTimeout);
  });
  BOOST_TEST(holds);
}

/** Returns the state of a peer after observations that are all alike, a second apart, and their number. */
static std::pair<PeerState, int>
ObserveRepeatedly(const DeliveryState& aState, milliseconds aStallTimeout)
{
  PeerSilence silence;
  PeerState state = PeerState::Reachable;
  int observations = 0;
  while (state == PeerState::Reachable) {
    state = silence.Observe(aState, aStallTimeout, kStart + observations * kCheckInterval);
    ++observations;
  }
  return { state, observations };
}

// Guards against: where a system tells neither attempts nor answers, such as a simulated network, a peer that
// is gone is noticed at the idle limit only.
BOOST_AUTO_TEST_CASE(a_peer_that_acknowledges_nothing_is_gone_though_no_attempts_are_counted)
{
  const DeliveryState inFlight{ .acknowledgedBytes = 1, .inFlight = true };
  BOOST_TEST((ObserveRepeatedly(inFlight, kStallTimeout) == std::pair(PeerState::Gone, 5)));
  const DeliveryState windowClosed{ .acknowledgedBytes = 1 };
  BOOST_TEST((ObserveRepeatedly(windowClosed, kStallTimeout) == std::pair(PeerState::Stalled, 31)));
}

// Guards against: a peer that answers counts as gone, as it drops what arrives while its buffer is full.
BOOST_AUTO_TEST_CASE(a_peer_that_answers_without_taking_bytes_is_not_gone)
{
  PeerSilence silence;
  for (Deadline now = kStart; now < kStart + kStallTimeout; now += kCheckInterval) {
    const DeliveryState state{ .acknowledgedBytes = 1,
                               .inFlight = true,
                               .lastAnswerAt = now - milliseconds(900) };
    BOOST_TEST((silence.Observe(state, kStallTimeout, now) == PeerState::Reachable));
  }
}

BOOST_AUTO_TEST_CASE(a_peer_that_takes_a_byte_in_time_is_not_stalled)
{
  PeerSilence silence;
  const milliseconds stallTimeout(5000);
  for (uint64_t bytes = 0; bytes < 10; ++bytes) {
    const Deadline now = kStart + bytes * milliseconds(4900);
    const DeliveryState state{ .acknowledgedBytes = bytes, .lastAnswerAt = now };
    BOOST_TEST((silence.Observe(state, stallTimeout, now) == PeerState::Reachable));
  }
  const Deadline last = kStart + 9 * milliseconds(4900);
  const DeliveryState state{ .acknowledgedBytes = 9, .lastAnswerAt = last };
  BOOST_TEST((silence.Observe(state, stallTimeout, last + milliseconds(4999)) == PeerState::Reachable));
  BOOST_TEST((silence.Observe(state, stallTimeout, last + milliseconds(5000)) == PeerState::Stalled));
}

// Guards against: the time in which a connection had nothing to deliver counts as silence of its peer.
BOOST_AUTO_TEST_CASE(observations_before_the_peer_had_all_bytes_do_not_count)
{
  PeerSilence silence;
  const DeliveryState unanswered{ .acknowledgedBytes = 5, .unansweredAttempts = 2, .lastAnswerAt = kStart };
  const auto observe = [&](seconds aTime) {
    return silence.Observe(unanswered, kStallTimeout, kStart + aTime);
  };
  BOOST_TEST((observe(seconds(1)) == PeerState::Reachable));
  silence.Reset();
  BOOST_TEST((observe(seconds(60)) == PeerState::Reachable));
  BOOST_TEST((observe(seconds(64)) == PeerState::Gone));
}

BOOST_AUTO_TEST_CASE(a_closed_socket_has_no_delivery_state)
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  BOOST_TEST(!ReadDeliveryState(socket).has_value());
}

// --- connections -----------------------------------------------------------------------------------------

/** A caller whose VM can vanish: its kernel then drops all that arrives on the connection, and sends nothing.
 */
class VanishingCaller
{
public:
  explicit VanishingCaller(const Address& aTo)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aTo.port);
    ::inet_pton(AF_INET, aTo.host.c_str(), &address.sin_addr);
    BOOST_REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    BOOST_REQUIRE(::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL) > 0);
  }

  ~VanishingCaller() { ::close(m_socket); }

  VanishingCaller(const VanishingCaller&) = delete;
  VanishingCaller& operator=(const VanishingCaller&) = delete;

  void Vanish() const
  {
    sock_filter dropAll{ .code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0 };
    const sock_fprog program{ .len = 1, .filter = &dropAll };
    BOOST_REQUIRE(::setsockopt(m_socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0);
  }

  void Return() const
  {
    const int unused = 0;
    BOOST_REQUIRE(::setsockopt(m_socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused) == 0);
  }

  /** Reads until it has a number of bytes, or nothing arrives for some seconds; returns how many it got. */
  size_t Read(size_t aBytes) const
  {
    const timeval timeout{ .tv_sec = 5, .tv_usec = 0 };
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    std::string buffer(64UL * 1024, '\0');
    size_t received = 0;
    while (received < aBytes) {
      const ssize_t length = ::recv(m_socket, buffer.data(), std::min(buffer.size(), aBytes - received), 0);
      if (length <= 0) {
        break;
      }
      received += static_cast<size_t>(length);
    }
    return received;
  }

private:
  const int m_socket;
};

/** A server with one request, whose response the test streams. */
class StreamingServer
{
public:
  explicit StreamingServer(milliseconds aIdleTimeout)
    : m_address(RawServer::FreeAddress())
  {
    m_server =
      HttpServer::Start({ .address = m_address,
                          .handler =
                            [this](const ExchangePointer& aExchange) {
                              aExchange->OnCancel([this] { m_cancelled.set_value(SteadyClock::now()); });
                              aExchange->Start({ .status = 200, .headers = {} });
                              m_exchange.set_value(aExchange);
                            },
                          .limits = { .idleTimeout = aIdleTimeout } })
        .value();
  }

  const Address& ListenAddress() const { return m_address; }

  /** Sends a piece of the response; returns when it was sent. */
  Deadline Write(size_t aBytes)
  {
    if (!m_first) {
      m_first = m_exchange.get_future().get();
    }
    const Deadline sent = SteadyClock::now();
    m_first->Loop().Dispatch([exchange = m_first, aBytes] { exchange->Write(std::string(aBytes, 'x')); });
    return sent;
  }

  /** Returns when the connection was closed, or nothing if it is open for some more time. */
  std::optional<Deadline> ClosedWithin(milliseconds aTime)
  {
    return m_closed.wait_for(aTime) == std::future_status::ready ? std::optional(m_closed.get())
                                                                 : std::nullopt;
  }

private:
  const Address m_address;
  std::promise<ExchangePointer> m_exchange;
  ExchangePointer m_first;
  std::promise<Deadline> m_cancelled;
  std::future<Deadline> m_closed = m_cancelled.get_future();
  std::unique_ptr<HttpServer> m_server;
};

/** More than the sockets of a connection hold. */
static constexpr size_t kLongBodyBytes = 32UL * 1024 * 1024;

// Guards against: a caller whose VM is gone keeps its connection, and the work that is done for it, for
// minutes.
BOOST_AUTO_TEST_CASE(a_connection_whose_peer_vanishes_is_closed_within_seconds)
{
  StreamingServer server(kStallTimeout);
  const VanishingCaller caller(server.ListenAddress());
  server.Write(1000);
  BOOST_REQUIRE(caller.Read(1000) == 1000u);
  caller.Vanish();
  const Deadline sent = server.Write(1000);
  const std::optional<Deadline> closed = server.ClosedWithin(seconds(10));
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST_MESSAGE("closed after " << std::chrono::duration<double>(*closed - sent).count() << " s");
  BOOST_TEST((*closed - sent >= kShortestDetection));
  BOOST_TEST((*closed - sent <= kLongestDetection));
}

// Guards against: the same while the caller's window is closed; the kernel then probes it at growing
// distances.
BOOST_AUTO_TEST_CASE(a_connection_whose_peer_vanishes_with_a_closed_window_is_closed)
{
  StreamingServer server(kStallTimeout);
  const VanishingCaller caller(server.ListenAddress());
  server.Write(kLongBodyBytes);
  std::this_thread::sleep_for(milliseconds(500));
  caller.Vanish();
  const Deadline vanished = SteadyClock::now();
  const std::optional<Deadline> closed = server.ClosedWithin(seconds(10));
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST_MESSAGE("closed after " << std::chrono::duration<double>(*closed - vanished).count() << " s");
  BOOST_TEST((*closed - vanished >= kShortestDetection));
  BOOST_TEST((*closed - vanished <= kLongestDetection + kCheckInterval));
}

BOOST_AUTO_TEST_CASE(a_peer_that_returns_soon_gets_the_rest)
{
  StreamingServer server(kStallTimeout);
  const VanishingCaller caller(server.ListenAddress());
  server.Write(1000);
  BOOST_REQUIRE(caller.Read(1000) == 1000u);
  caller.Vanish();
  server.Write(1000);
  std::this_thread::sleep_for(milliseconds(2000));
  caller.Return();
  BOOST_TEST(caller.Read(1000) == 1000u);
  BOOST_TEST(!server.ClosedWithin(milliseconds(2500)).has_value());
}

// Guards against: a caller that never reads holds a connection, and a response in memory, for as long as it
// likes.
BOOST_AUTO_TEST_CASE(a_connection_whose_peer_takes_nothing_is_closed_after_the_idle_limit)
{
  const milliseconds idleTimeout(6000);
  StreamingServer server(idleTimeout);
  const VanishingCaller caller(server.ListenAddress());
  const Deadline sent = server.Write(kLongBodyBytes);
  const std::optional<Deadline> closed = server.ClosedWithin(seconds(15));
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST_MESSAGE("closed after " << std::chrono::duration<double>(*closed - sent).count() << " s");
  BOOST_TEST((*closed - sent >= idleTimeout));
  BOOST_TEST((*closed - sent <= idleTimeout + 3 * kCheckInterval));
}
