#include "http/serverconnection.h"

#include "http/sockets.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <utility>

namespace mimosarun {

namespace http = boost::beast::http;

static constexpr size_t kReadBytes = 8UL * 1024;
/** Number by which the library names HTTP/1.1, the first version with chunks. */
static constexpr unsigned int kFirstVersionWithChunks = 11;
/** Limit of open requests on a connection; it reads on when a response has been sent. */
static constexpr size_t kPipelineLimit = 32;
/** The kernel's limit where CheckPeer() can't be used, and for the last bytes of a connection that is closed.
 */
static constexpr std::chrono::milliseconds kUnacknowledgedTimeout{ 4000 };
static constexpr std::chrono::seconds kPeerCheckInterval{ 1 };
static constexpr std::chrono::milliseconds kLingerTimeout{ 1000 };

void
ServerConnection::Begin(boost::asio::ip::tcp::socket aSocket, SharedPointer aShared, EventLoop& aLoop)
{
  const auto self = std::make_shared<ServerConnection>(std::move(aSocket), std::move(aShared), aLoop);
  aLoop.Dispatch([self] {
    self->m_canWatchPeer = UnacknowledgedBytes(self->m_socket) && ReadDeliveryState(self->m_socket);
    ConfigureSocket(self->m_socket,
                    self->m_canWatchPeer ? std::chrono::milliseconds::zero() : kUnacknowledgedTimeout);
    self->ResetParser();
    self->ResetTimer();
    self->Read();
    const std::lock_guard lock(self->m_shared->mutex);
    self->m_shared->openConnections.insert(self.get());
  });
}

ServerConnection::ServerConnection(boost::asio::ip::tcp::socket aSocket,
                                   SharedPointer aShared,
                                   EventLoop& aLoop)
  : m_socket(std::move(aSocket))
  , m_shared(std::move(aShared))
  , m_loop(aLoop)
  , m_timer(aLoop.Context())
  , m_peerTimer(aLoop.Context())
{
  ++m_shared->connections;
}

ServerConnection::~ServerConnection()
{
  --m_shared->connections;
  m_shared->openExchanges -= m_exchanges.size();
  const std::lock_guard lock(m_shared->mutex);
  m_shared->openConnections.erase(this);
}

// --- requests --------------------------------------------------------------------------------------------

void
ServerConnection::ResetParser()
{
  {
    const std::lock_guard lock(m_shared->mutex);
    m_limits = m_shared->limits;
  }
  m_continueSent = false;
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(static_cast<uint32_t>(m_limits.headerBytes));
  m_parser->body_limit(m_limits.bodyBytes);
}

void
ServerConnection::Read()
{
  if (m_reading || m_closed) {
    return;
  }
  m_reading = true;
  m_socket.async_read_some(
    m_buffer.prepare(kReadBytes),
    [self = shared_from_this()](const auto& aError, size_t aLength) { self->OnRead(aError, aLength); });
  m_selfWhileFull.reset();
}

void
ServerConnection::OnRead(const boost::system::error_code& aError, size_t aLength)
{
  m_reading = false;
  if (m_closed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  if (m_rejected || m_lastRequestRead || m_lingering) {
    // Bytes after the connection's last request are discarded, but reading still detects a disconnect.
    m_discardedBytes += aLength;
    if (m_discardedBytes > m_limits.discardedBytes) {
      Close();
    } else {
      Read();
    }
    return;
  }
  m_shared->lastArrivalAt = SteadyClock::now();
  m_buffer.commit(aLength);
  if (ParseBuffered()) {
    Read();
  }
  ResetTimer();
}

bool
ServerConnection::IsPipelineFull() const
{
  return m_exchanges.size() >= kPipelineLimit;
}

bool
ServerConnection::HasRequestBegun() const
{
  return m_buffer.size() > 0 || m_parser->is_header_done();
}

bool
ServerConnection::ParseBuffered()
{
  while (m_buffer.size() > 0 && !m_closed && !m_rejected && !m_lastRequestRead) {
    if (IsPipelineFull()) {
      m_selfWhileFull = shared_from_this();
      return false;
    }
    boost::system::error_code error;
    const size_t parsedBytes = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(parsedBytes);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      RejectUnreadable(error);
      return true;
    }
    if (m_parser->is_done()) {
      HandleRequest();
    } else if (parsedBytes == 0) {
      break;
    }
  }
  if (!m_closed && !m_rejected && m_parser->is_header_done() && !m_parser->is_done()) {
    SendContinueIfExpected();
  }
  return !m_closed;
}

void
ServerConnection::SendContinueIfExpected()
{
  const auto expect = m_parser->get()[http::field::expect];
  if (expect.empty() || m_continueSent || !m_exchanges.empty() || m_writing) {
    return;
  }
  m_continueSent = true;
  m_output = "HTTP/1.1 100 Continue\r\n\r\n";
  WriteOutput();
}

static HttpRequest
ToRequest(http::request<GrowingBody>&& aMessage)
{
  HttpRequest request;
  request.method = std::string(aMessage.method_string());
  request.requestTarget = std::string(aMessage.target());
  request.path = request.requestTarget.substr(0, request.requestTarget.find('?'));
  const std::string connectionHeader = std::string(aMessage[http::field::connection]);
  http::token_list connectionTokens{ aMessage[http::field::connection] };
  for (const auto& field : aMessage) {
    const bool isLength = field.name() == http::field::content_length;
    const std::string name(field.name_string());
    const bool isListed = !connectionHeader.empty() && connectionTokens.exists(field.name_string());
    if (!isLength && !isListed && !IsHopByHopHeader(name)) {
      request.headers.push_back({ .name = name, .value = std::string(field.value()) });
    }
  }
  request.body = std::move(aMessage.body());
  return request;
}

void
ServerConnection::HandleRequest()
{
  http::request<GrowingBody> message = m_parser->release();
  const bool keepAlive = message.keep_alive();
  const bool acceptsChunks = message.version() >= kFirstVersionWithChunks;
  const bool isValid = !message.target().empty() && message.count(http::field::host) == 1;
  ResetParser();
  if (!isValid) {
    RespondWithError({ .status = 400, .reason = "the request needs a target and exactly one Host header" });
    return;
  }
  m_lastRequestRead = !keepAlive;
  const auto exchange = std::make_shared<Exchange>(ToRequest(std::move(message)), m_loop);
  exchange->m_keepAlive = keepAlive;
  exchange->m_acceptsChunks = acceptsChunks;
  AddExchange(exchange);
  m_shared->options.handler(exchange);
}

void
ServerConnection::AddExchange(const ExchangePointer& aExchange)
{
  aExchange->m_connection = weak_from_this();
  m_exchanges.push_back(aExchange);
  ++m_shared->openExchanges;
  if (m_exchanges.size() == 1) {
    aExchange->BecomeFirstInPipeline();
  }
}

void
ServerConnection::RejectUnreadable(const boost::system::error_code& aError)
{
  if (aError == http::error::header_limit) {
    RespondWithError({ .status = 431, .reason = "the request's head is too large; shorten it" });
  } else if (aError == http::error::body_limit) {
    RespondWithError({ .status = 413, .reason = "the request's body is too large; shorten it" });
  } else {
    RespondWithError(
      { .status = 400, .reason = "the request isn't valid HTTP/1.1; correct it: " + aError.message() });
  }
}

void
ServerConnection::RespondWithError(const UnreadableRequest& aRequest)
{
  m_rejected = true;
  m_buffer.consume(m_buffer.size());
  const auto exchange = std::make_shared<Exchange>(HttpRequest{}, m_loop);
  exchange->m_keepAlive = false;
  AddExchange(exchange);
  const auto& makeErrorResponse = m_shared->options.makeErrorResponse;
  exchange->Respond(
    makeErrorResponse
      ? makeErrorResponse(aRequest)
      : HttpResponse{ .status = aRequest.status, .headers = {}, .body = aRequest.reason + "\n" });
}

// --- responses -------------------------------------------------------------------------------------------

BodyFraming
ServerConnection::FramingOf(const Exchange& aExchange)
{
  if (!MayHaveBody(aExchange.m_request.method, aExchange.m_head.status)) {
    return BodyFraming::None;
  }
  if (aExchange.m_head.contentLength) {
    return BodyFraming::Length;
  }
  return aExchange.m_acceptsChunks ? BodyFraming::Chunked : BodyFraming::UntilClose;
}

void
ServerConnection::CloseAfterFirst()
{
  m_lastRequestRead = true;
  m_exchanges.front()->m_keepAlive = false;
}

bool
ServerConnection::IsWithinResponseUntilClose() const
{
  return !m_exchanges.empty() && m_exchanges.front()->m_headSent &&
         FramingOf(*m_exchanges.front()) == BodyFraming::UntilClose;
}

std::string
ServerConnection::NextOutput(Exchange& aFirst)
{
  const BodyFraming framing = FramingOf(aFirst);
  std::string output;
  if (!aFirst.m_headSent) {
    aFirst.m_headSent = true;
    const bool isLast = m_exchanges.size() == 1 && !HasRequestBegun();
    if (m_shared->closing && isLast) {
      CloseAfterFirst();
    }
    if (framing == BodyFraming::UntilClose) {
      CloseAfterFirst();
      // If the process ends before the response, the peer sees a reset.
      SetResetOnClose(m_socket, true);
    }
    output = WriteResponseHead(aFirst.m_head, framing, aFirst.m_keepAlive);
  }
  std::string body = std::exchange(aFirst.m_body, {});
  if (framing == BodyFraming::Length || framing == BodyFraming::UntilClose) {
    output += body;
  } else if (framing == BodyFraming::Chunked) {
    if (!body.empty()) {
      output += WriteChunkHead(body.size()) + body + "\r\n";
    }
    if (aFirst.m_stage == Exchange::Stage::Finished) {
      output += "0\r\n\r\n";
    }
  }
  aFirst.m_endSent = aFirst.m_stage == Exchange::Stage::Finished;
  return output;
}

void
ServerConnection::SendPending()
{
  if (m_writing || m_closed || m_exchanges.empty()) {
    return;
  }
  Exchange& first = *m_exchanges.front();
  if (first.m_stage == Exchange::Stage::Waiting) {
    return;
  }
  const bool isEnded = first.m_stage == Exchange::Stage::Finished || first.m_stage == Exchange::Stage::Broken;
  if (!isEnded && first.m_headSent && first.m_body.empty()) {
    return;
  }
  if (first.m_stage == Exchange::Stage::Broken && first.m_body.empty()) {
    Close();
    return;
  }
  m_output = NextOutput(first);
  if (m_output.empty()) {
    FinishFirst();
    return;
  }
  m_allAcknowledged = false;
  WriteOutput();
}

void
ServerConnection::WriteOutput()
{
  m_writing = true;
  boost::asio::async_write(
    m_socket, boost::asio::buffer(m_output), [self = shared_from_this()](const auto& aError, size_t) {
      self->OnWritten(aError);
    });
  WatchPeer();
}

void
ServerConnection::OnWritten(const boost::system::error_code& aError)
{
  m_writing = false;
  // Many connections are idle after a large response, so its memory is returned.
  std::string().swap(m_output);
  if (m_closed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  if (m_exchanges.empty()) {
    return;
  }
  const ExchangePointer first = m_exchanges.front();
  if (first->m_endSent) {
    FinishFirst();
    return;
  }
  if (first->m_headSent && first->m_body.empty()) {
    first->NotifyDrained();
  }
  SendPending();
}

void
ServerConnection::FinishFirst()
{
  const ExchangePointer finished = m_exchanges.front();
  if (IsWithinResponseUntilClose()) {
    SetResetOnClose(m_socket, false);
  }
  m_exchanges.pop_front();
  --m_shared->openExchanges;
  m_lastCallId = finished->m_callId;
  finished->m_onCancel = nullptr;
  if (!finished->m_keepAlive) {
    Linger();
    return;
  }
  if (!m_exchanges.empty()) {
    m_exchanges.front()->BecomeFirstInPipeline();
  }
  if (ParseBuffered()) {
    Read();
  }
  ResetTimer();
  SendPending();
}

void
ServerConnection::AppendUndelivered(std::vector<UndeliveredResponse>& aResponses)
{
  const bool isReadingRequest = !m_rejected && !m_lastRequestRead && !m_lingering && HasRequestBegun();
  if (m_closed || (m_exchanges.empty() && m_allAcknowledged && !isReadingRequest)) {
    return;
  }
  if (isReadingRequest) {
    aResponses.push_back({ .callId = {}, .isWaiting = true });
  }
  const std::optional<size_t> unacknowledged = UnacknowledgedBytes(m_socket);
  m_allAcknowledged = !m_writing && unacknowledged.value_or(0) == 0;
  if (m_exchanges.empty() && !m_allAcknowledged) {
    aResponses.push_back({ .callId = m_lastCallId, .unacknowledgedBytes = unacknowledged });
  }
  for (const ExchangePointer& exchange : m_exchanges) {
    const bool isFirst = exchange == m_exchanges.front();
    aResponses.push_back({ .callId = exchange->m_callId,
                           .isWaiting = exchange->m_stage == Exchange::Stage::Waiting ||
                                        exchange->m_stage == Exchange::Stage::Started,
                           .unsentBytes = exchange->m_body.size() + (isFirst ? m_output.size() : 0),
                           .unacknowledgedBytes = isFirst ? unacknowledged : std::nullopt });
  }
}

// --- peer ------------------------------------------------------------------------------------------------

void
ServerConnection::WatchPeer()
{
  if (m_watchingPeer || !m_canWatchPeer || m_closed) {
    return;
  }
  m_watchingPeer = true;
  // All connections are checked at the same moments, so that one wake-up of a loop serves many.
  const auto currentSecond = std::chrono::floor<std::chrono::seconds>(SteadyClock::now());
  m_peerTimer.expires_at(currentSecond + kPeerCheckInterval);
  m_peerTimer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError) {
      self->CheckPeer();
    }
  });
}

void
ServerConnection::CheckPeer()
{
  m_watchingPeer = false;
  if (m_closed) {
    return;
  }
  if (UnacknowledgedBytes(m_socket).value_or(0) == 0) {
    m_peerSilence.Reset();
    if (m_writing) {
      WatchPeer();
    }
    return;
  }
  const std::optional<DeliveryState> delivery = ReadDeliveryState(m_socket);
  const PeerState peer = delivery ? m_peerSilence.Observe(*delivery, m_limits.idleTimeout, SteadyClock::now())
                                  : PeerState::Reachable;
  if (peer == PeerState::Reachable) {
    WatchPeer();
  } else {
    Abort(m_socket);
    Close();
  }
}

// --- end -------------------------------------------------------------------------------------------------

void
ServerConnection::Linger()
{
  // Closing with unread bytes would reset the connection before the peer has read the response.
  m_lingering = true;
  m_buffer.consume(m_buffer.size());
  boost::system::error_code ignored;
  m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  WatchPeer();
  Read();
  ResetTimer();
}

void
ServerConnection::ResetTimer()
{
  if (m_closed) {
    return;
  }
  if (m_lingering) {
    m_timer.expires_after(kLingerTimeout);
    WaitForTimer();
    return;
  }
  const bool inHead = !m_parser->is_header_done() && m_buffer.size() > 0;
  const bool inBody = m_parser->is_header_done() && !m_parser->is_done();
  // The peer isn't late with what isn't read.
  if (IsPipelineFull() || (!m_exchanges.empty() && !inHead && !inBody)) {
    m_headDeadline.reset();
    m_timer.cancel();
    return;
  }
  if (!inHead) {
    m_headDeadline.reset();
    m_timer.expires_after(m_limits.idleTimeout);
  } else {
    if (!m_headDeadline) {
      m_headDeadline = SteadyClock::now() + m_limits.headerTimeout;
    }
    m_timer.expires_at(*m_headDeadline);
  }
  WaitForTimer();
}

void
ServerConnection::WaitForTimer()
{
  m_timer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError) {
      self->OnTimer();
    }
  });
}

void
ServerConnection::OnTimer()
{
  const bool requestBegun = HasRequestBegun();
  const bool isIdle = m_exchanges.empty() && !requestBegun;
  if ((m_lingering || isIdle) && UnacknowledgedBytes(m_socket).value_or(0) > 0) {
    // Closed now, the connection would be reset by further bytes of the peer. CheckPeer(), or the kernel's
    // limit for unacknowledged bytes, ends it if the peer is gone.
    ResetTimer();
  } else if (m_lingering) {
    Close();
  } else if (requestBegun && !m_rejected) {
    RespondWithError({ .status = 408, .reason = "the request took too long to arrive; send it again" });
  } else if (m_exchanges.empty()) {
    Close();
  }
}

void
ServerConnection::Close()
{
  if (m_closed) {
    return;
  }
  m_closed = true;
  const std::shared_ptr<ServerConnection> self = std::exchange(m_selfWhileFull, nullptr);
  m_timer.cancel();
  m_peerTimer.cancel();
  if (m_canWatchPeer && m_socket.is_open()) {
    // The kernel would hold for many minutes what the peer doesn't take.
    SetUnacknowledgedTimeout(m_socket, kUnacknowledgedTimeout);
  }
  boost::system::error_code ignored;
  if (!IsWithinResponseUntilClose()) {
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }
  m_socket.close(ignored);
  m_shared->openExchanges -= m_exchanges.size();
  for (const ExchangePointer& exchange : std::exchange(m_exchanges, {})) {
    exchange->Cancel();
  }
}

} // namespace mimosarun
