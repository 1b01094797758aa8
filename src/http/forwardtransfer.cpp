#include "http/forwardtransfer.h"

#include "http/headwriter.h"
#include "http/sockets.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <utility>

namespace mimosarun {

namespace http = boost::beast::http;

static constexpr size_t kFirstReadBytes = 8UL * 1024;
static constexpr size_t kLargestReadBytes = 16UL * 1024;
/** Bytes without a complete element, such as a chunk header, that are kept before the response is invalid. */
static constexpr size_t kUnparsedLimitBytes = 128UL * 1024;
/** Interim and skipped responses before the awaited one; a late copy of a large response may be among them.
 */
static constexpr size_t kSkippedLimitBytes = 1024UL * 1024;
/** Subtracted from the time after which a peer closes an idle connection by its Keep-Alive header. */
static constexpr std::chrono::milliseconds kKeepAliveMargin{ 500 };
static constexpr int kSwitchingProtocols = 101;
/** A silent peer is noticed late by up to this part of the time after which it counts as silent. */
static constexpr int kSilenceChecks = 6;

static std::string
MakePoolKey(const ForwardRequest& aRequest)
{
  return aRequest.destination.Text() + "#" + std::to_string(aRequest.connectionGeneration);
}

ForwardTransfer::ForwardTransfer(EventLoop& aLoop,
                                 std::shared_ptr<ConnectionPool> aPool,
                                 ForwardRequest aRequest,
                                 std::shared_ptr<ForwardListener> aListener)
  : m_loop(aLoop)
  , m_pool(std::move(aPool))
  , m_request(std::move(aRequest))
  , m_listener(std::move(aListener))
  , m_poolKey(MakePoolKey(m_request))
  , m_timer(aLoop.Context())
  , m_readSizeBytes(kFirstReadBytes)
{
}

// --- sending ---------------------------------------------------------------------------------------------

void
ForwardTransfer::Begin()
{
  if (!HasHeader(m_request.request.headers, "Host")) {
    SetHeader(m_request.request.headers, "Host", m_request.destination.Text());
  }
  m_output = WriteRequestHead(m_request.request) + m_request.request.body;
  m_connection = m_pool->Acquire(m_poolKey, m_request.longestIdle);
  m_reusedConnection = m_connection != nullptr;
  if (m_reusedConnection) {
    boost::asio::post(m_loop.Context(), [self = shared_from_this()] { self->Send(); });
  } else {
    Connect();
  }
}

void
ForwardTransfer::Connect()
{
  m_connection = std::make_shared<ClientConnection>(m_loop.Context());
  boost::system::error_code error;
  m_connection->socket.open(boost::asio::ip::tcp::v4(), error);
  const auto host = boost::asio::ip::make_address(m_request.destination.host, error);
  if (error) {
    boost::asio::post(m_loop.Context(), [self = shared_from_this()] { self->End(ForwardResult::NotSent); });
    return;
  }
  StartTimer(std::min(m_request.deadline, SteadyClock::now() + m_request.connectTimeout));
  m_connection->socket.async_connect(
    { host, m_request.destination.port },
    [self = shared_from_this()](const auto& aError) { self->OnConnected(aError); });
}

void
ForwardTransfer::OnConnected(const boost::system::error_code& aError)
{
  if (m_ended) {
    return;
  }
  if (aError) {
    End(ForwardResult::NotSent);
    return;
  }
  Send();
}

void
ForwardTransfer::Send()
{
  if (m_ended) {
    return;
  }
  m_connected = true;
  ConfigureSocket(m_connection->socket, m_request.unacknowledgedTimeout);
  if (m_request.silenceTime) {
    m_acknowledgements.emplace(SteadyClock::now());
  }
  StartTimer(m_request.deadline);
  ResetParser();
  Write();
  Read();
}

void
ForwardTransfer::Write()
{
  m_connection->socket.async_write_some(
    boost::asio::buffer(m_output) + m_writtenBytes,
    [self = shared_from_this()](const auto& aError, size_t aLength) { self->OnWritten(aError, aLength); });
}

void
ForwardTransfer::OnWritten(const boost::system::error_code& aError, size_t aLength)
{
  m_writtenBytes += aLength;
  m_requestWritten = m_writtenBytes == m_output.size();
  // The response may arrive before the request is sent completely, so reading decides how the transfer ends.
  m_writeError = aError;
  if (m_abandoned) {
    ReleaseRequest();
  } else if (!aError && !m_requestWritten && !m_ended) {
    Write();
  }
}

bool
ForwardTransfer::HasConnectionFailed() const
{
  return m_writeError && m_writeError != boost::asio::error::broken_pipe;
}

// --- response --------------------------------------------------------------------------------------------

void
ForwardTransfer::ResetParser()
{
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(m_request.headLimitBytes);
  m_parser->body_limit(std::numeric_limits<uint64_t>::max());
  m_parser->skip(m_request.request.method == "HEAD");
  m_headHandled = false;
  m_skipping = false;
}

void
ForwardTransfer::Read()
{
  m_connection->socket.async_read_some(
    m_buffer.prepare(m_readSizeBytes),
    [self = shared_from_this()](const auto& aError, size_t aLength) { self->OnRead(aError, aLength); });
}

void
ForwardTransfer::OnRead(const boost::system::error_code& aError, size_t aLength)
{
  if (m_ended) {
    return;
  }
  if (m_abandoned && aError == boost::asio::error::operation_aborted) {
    Read();
    return;
  }
  if (aError == boost::asio::error::eof && m_headHandled && !HasConnectionFailed()) {
    boost::system::error_code error;
    m_parser->put_eof(error);
    if (!error && m_parser->is_done()) {
      DeliverBody();
      OnMessageEnd();
      return;
    }
  }
  if (aError) {
    End(ReadErrorResult());
    return;
  }
  m_receivedAnyByte = true;
  if (aLength == m_readSizeBytes) {
    m_readSizeBytes = std::min(2 * m_readSizeBytes, kLargestReadBytes);
  }
  m_buffer.commit(aLength);
  ParseBuffered();
}

ForwardResult
ForwardTransfer::ReadErrorResult() const
{
  return m_reusedConnection && !m_receivedAnyByte ? ForwardResult::ReusedConnectionClosed
                                                  : ForwardResult::Broken;
}

void
ForwardTransfer::ParseBuffered()
{
  while (!m_ended && m_buffer.size() > 0) {
    boost::system::error_code error;
    const size_t parsedBytes = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(parsedBytes);
    if (!m_headHandled || m_skipping) {
      m_skippedBytes += parsedBytes;
    }
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      End(ForwardResult::Broken);
      return;
    }
    if (m_parser->is_header_done() && !m_headHandled && !HandleHead()) {
      continue;
    }
    DeliverBody();
    if (m_ended) {
      return;
    }
    if (m_parser->is_done()) {
      if (!m_skipping) {
        OnMessageEnd();
        return;
      }
      ResetParser();
    } else if (parsedBytes == 0) {
      break;
    }
  }
  if (!m_ended && (m_buffer.size() > kUnparsedLimitBytes || m_skippedBytes > kSkippedLimitBytes)) {
    End(ForwardResult::Broken);
  }
  if (!m_ended && !m_paused) {
    Read();
  }
}

bool
ForwardTransfer::HandleHead()
{
  const auto& message = m_parser->get();
  const auto status = static_cast<int>(message.result_int());
  // No request asks for another protocol, so what follows such a response is none.
  if (IsInterimStatus(status) && status != kSwitchingProtocols) {
    ResetParser();
    return false;
  }
  if (!IsFinalStatus(status)) {
    End(ForwardResult::Broken);
    return false;
  }
  m_headHandled = true;
  m_acknowledgements.reset();
  HttpResponseHead head{ .status = status, .headers = {}, .contentLength = std::nullopt };
  for (const auto& field : message) {
    head.headers.push_back({ .name = std::string(field.name_string()), .value = std::string(field.value()) });
  }
  if (m_parser->content_length()) {
    head.contentLength = *m_parser->content_length();
  }
  // Keeps the listener alive during the call, in which it may cancel the transfer.
  const std::shared_ptr<ForwardListener> listener = m_listener;
  m_skipping = listener->OnHead(head) == HeadAction::Skip;
  // If the skipped response ends with the connection, no other response can follow.
  if (m_skipping && m_parser->need_eof()) {
    End(ForwardResult::Broken);
  }
  if (m_abandoned && !m_skipping) {
    End(ForwardResult::Complete);
  }
  return !m_ended;
}

void
ForwardTransfer::DeliverBody()
{
  std::string& body = m_parser->get().body();
  if (body.empty()) {
    return;
  }
  const std::shared_ptr<ForwardListener> listener = m_listener;
  if (!m_skipping && !listener->OnBody(body)) {
    m_paused = true;
    // No pending operation keeps the transfer alive.
    m_selfWhilePaused = shared_from_this();
  }
  body.clear();
}

void
ForwardTransfer::Resume()
{
  if (m_paused && !m_ended) {
    m_paused = false;
    const std::shared_ptr<ForwardTransfer> self = std::exchange(m_selfWhilePaused, nullptr);
    ParseBuffered();
  }
}

void
ForwardTransfer::OnMessageEnd()
{
  KeepConnectionIfReusable();
  End(ForwardResult::Complete);
}

/** Returns the timeout of a Keep-Alive header, or nothing if it has none. */
static std::optional<std::chrono::seconds>
KeepAliveTime(const std::string& aValue)
{
  static const std::string kTimeoutPrefix = "timeout=";
  const size_t position = aValue.find(kTimeoutPrefix);
  if (position == std::string::npos) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::strtol(aValue.c_str() + position + kTimeoutPrefix.size(), nullptr, 10));
}

void
ForwardTransfer::KeepConnectionIfReusable()
{
  const auto& message = m_parser->get();
  const bool reusable =
    m_requestWritten && m_parser->keep_alive() && !m_parser->need_eof() && m_buffer.size() == 0;
  if (!reusable) {
    return;
  }
  if (const auto timeout = KeepAliveTime(std::string(message[http::field::keep_alive]))) {
    m_connection->usableUntil = SteadyClock::now() + *timeout - kKeepAliveMargin;
  }
  m_pool->Release(m_poolKey, std::exchange(m_connection, nullptr));
}

// --- end -------------------------------------------------------------------------------------------------

void
ForwardTransfer::StartTimer(Deadline aEndsAt)
{
  m_endsAt = aEndsAt;
  const bool watches = m_acknowledgements.has_value();
  m_timer.expires_at(
    watches ? std::min(m_endsAt, SteadyClock::now() + *m_request.silenceTime / kSilenceChecks) : m_endsAt);
  m_timer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError && !self->m_ended) {
      self->OnTimer();
    }
  });
}

void
ForwardTransfer::OnTimer()
{
  if (SteadyClock::now() >= m_endsAt) {
    if (Abandon()) {
      const std::shared_ptr<ForwardListener> listener = m_listener;
      listener->OnEnd(ForwardResult::TimedOut);
    } else {
      End(m_connected ? ForwardResult::TimedOut : ForwardResult::NotSent);
    }
    return;
  }
  CheckForSilence();
  if (!m_ended) {
    StartTimer(m_endsAt);
  }
}

void
ForwardTransfer::CheckForSilence()
{
  if (!m_acknowledgements) {
    return;
  }
  const std::optional<size_t> unacknowledgedBytes = UnacknowledgedBytes(m_connection->socket);
  if (!unacknowledgedBytes || (m_requestWritten && *unacknowledgedBytes == 0)) {
    m_acknowledgements.reset();
    return;
  }
  const Deadline now = SteadyClock::now();
  m_acknowledgements->Record(m_writtenBytes, *unacknowledgedBytes, now);
  if (now >= m_acknowledgements->LastProgressAt() + *m_request.silenceTime) {
    m_acknowledgements.reset();
    // Keeps the listener alive during the call, in which it may cancel the transfer.
    const std::shared_ptr<ForwardListener> listener = m_listener;
    listener->OnSilence();
  }
}

void
ForwardTransfer::Cancel()
{
  if (!m_ended && !Abandon()) {
    m_listener.reset();
    End(ForwardResult::Cancelled);
  }
}

bool
ForwardTransfer::Abandon()
{
  const bool hasResponseBegun = m_headHandled && !m_skipping;
  if (m_abandoned || !m_connected || hasResponseBegun) {
    return false;
  }
  const std::chrono::milliseconds time = m_listener->AbandonedTime();
  if (time.count() == 0) {
    return false;
  }
  m_abandoned = true;
  m_acknowledgements.reset();
  boost::system::error_code ignored;
  m_connection->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  StartTimer(SteadyClock::now() + time);
  const std::shared_ptr<ForwardListener> listener = m_listener;
  listener->OnAbandoned();
  if (m_requestWritten) {
    ReleaseRequest();
  } else {
    // Ends the pending write, which would keep the request in memory; the read is started again.
    m_connection->socket.cancel(ignored);
  }
  return true;
}

void
ForwardTransfer::ReleaseRequest()
{
  std::string().swap(m_output);
  std::string().swap(m_request.request.body);
}

void
ForwardTransfer::End(ForwardResult aResult)
{
  if (std::exchange(m_ended, true)) {
    return;
  }
  const std::shared_ptr<ForwardTransfer> self = std::exchange(m_selfWhilePaused, nullptr);
  m_timer.cancel();
  if (m_connection) {
    boost::system::error_code ignored;
    m_connection->socket.close(ignored);
  }
  const auto listener = std::exchange(m_listener, nullptr);
  if (listener == nullptr) {
    return;
  }
  if (m_abandoned) {
    listener->OnAbandonedEnd(aResult);
  } else {
    listener->OnEnd(aResult);
  }
}

} // namespace mimosarun
