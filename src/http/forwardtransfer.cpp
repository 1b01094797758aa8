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
static constexpr size_t kLargestReadBytes = 128UL * 1024;
static constexpr uint32_t kHeadLimitBytes = 64U * 1024;
/** Kept of the time after which a peer says it closes an idle connection. */
static constexpr std::chrono::milliseconds kCloseMargin{ 500 };
static constexpr int kInformational = 200;

static std::string
KeyOf(const ForwardRequest& aRequest)
{
  return aRequest.to.Text() + "#" + std::to_string(aRequest.connectionGeneration);
}

ForwardTransfer::ForwardTransfer(EventLoop& aLoop,
                                 std::shared_ptr<ConnectionPool> aPool,
                                 ForwardRequest aRequest,
                                 std::shared_ptr<ForwardListener> aListener)
  : m_loop(aLoop)
  , m_pool(std::move(aPool))
  , m_request(std::move(aRequest))
  , m_listener(std::move(aListener))
  , m_key(KeyOf(m_request))
  , m_timer(aLoop.Context())
  , m_readBytes(kFirstReadBytes)
{
}

// --- sending ---------------------------------------------------------------------------------------------

void
ForwardTransfer::Begin()
{
  if (!HasHeader(m_request.request.headers, "Host")) {
    SetHeader(m_request.request.headers, "Host", m_request.to.Text());
  }
  m_output = WriteRequestHead(m_request.request) + m_request.request.body;
  m_connection = m_pool->Take(m_key, m_request.longestIdle);
  m_kept = m_connection != nullptr;
  if (m_kept) {
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
  const auto host = boost::asio::ip::make_address(m_request.to.host, error);
  if (error) {
    boost::asio::post(m_loop.Context(), [self = shared_from_this()] { self->End(ForwardEnd::NotSent); });
    return;
  }
  StartTimer(std::min(m_request.deadline, SteadyClock::now() + m_request.connectTimeout));
  m_connection->socket.async_connect(
    { host, m_request.to.port },
    [self = shared_from_this()](const auto& aError) { self->OnConnected(aError); });
}

void
ForwardTransfer::OnConnected(const boost::system::error_code& aError)
{
  if (m_ended) {
    return;
  }
  if (aError) {
    End(ForwardEnd::NotSent);
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
  TuneSocket(m_connection->socket, m_request.unacknowledgedLimit);
  StartTimer(m_request.deadline);
  NewParser();
  boost::asio::async_write(
    m_connection->socket,
    boost::asio::buffer(m_output),
    // An answer may come before the whole request is out, so reading tells how it ends.
    [self = shared_from_this()](const auto& aError, size_t) { self->m_written = !aError; });
  Read();
}

// --- answer ----------------------------------------------------------------------------------------------

void
ForwardTransfer::NewParser()
{
  m_parser.emplace();
  m_parser->eager(true);
  m_parser->header_limit(kHeadLimitBytes);
  m_parser->body_limit(std::numeric_limits<uint64_t>::max());
  m_parser->skip(m_request.request.method == "HEAD");
  m_headTaken = false;
  m_skipping = false;
}

void
ForwardTransfer::Read()
{
  m_connection->socket.async_read_some(
    m_buffer.prepare(m_readBytes),
    [self = shared_from_this()](const auto& aError, size_t aLength) { self->OnRead(aError, aLength); });
}

void
ForwardTransfer::OnRead(const boost::system::error_code& aError, size_t aLength)
{
  if (m_ended) {
    return;
  }
  if (aError == boost::asio::error::eof && m_headTaken) {
    boost::system::error_code error;
    m_parser->put_eof(error);
    if (!error && m_parser->is_done()) {
      DeliverBody();
      OnMessageEnd();
      return;
    }
  }
  if (aError) {
    End(BrokenEnd());
    return;
  }
  m_anyByte = true;
  if (aLength == m_readBytes) {
    m_readBytes = std::min(2 * m_readBytes, kLargestReadBytes);
  }
  m_buffer.commit(aLength);
  ParseBuffered();
}

ForwardEnd
ForwardTransfer::BrokenEnd() const
{
  return m_kept && !m_anyByte ? ForwardEnd::KeptConnectionClosed : ForwardEnd::Broken;
}

void
ForwardTransfer::ParseBuffered()
{
  while (!m_ended && m_buffer.size() > 0) {
    boost::system::error_code error;
    const size_t used = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(used);
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      End(ForwardEnd::Broken);
      return;
    }
    if (m_parser->is_header_done() && !m_headTaken && !TakeHead()) {
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
      NewParser();
    } else if (used == 0) {
      break;
    }
  }
  if (!m_ended && !m_paused) {
    Read();
  }
}

bool
ForwardTransfer::TakeHead()
{
  const auto& message = m_parser->get();
  if (message.result_int() < kInformational) {
    NewParser();
    return false;
  }
  m_headTaken = true;
  HttpHead head{ .status = static_cast<int>(message.result_int()), .headers = {}, .length = std::nullopt };
  for (const auto& field : message) {
    head.headers.push_back({ .name = std::string(field.name_string()), .value = std::string(field.value()) });
  }
  if (m_parser->content_length()) {
    head.length = *m_parser->content_length();
  }
  // The listener may cancel, so it is kept for the length of the call.
  const std::shared_ptr<ForwardListener> listener = m_listener;
  m_skipping = listener->OnHead(head) == HeadVerdict::Skip;
  // The end of an answer that the connection's end delimits leaves nothing to wait for.
  if (m_skipping && m_parser->need_eof()) {
    End(ForwardEnd::Broken);
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
    // No operation is under way that would keep it alive.
    m_self = shared_from_this();
  }
  body.clear();
}

void
ForwardTransfer::Resume()
{
  if (m_paused && !m_ended) {
    m_paused = false;
    const std::shared_ptr<ForwardTransfer> self = std::exchange(m_self, nullptr);
    ParseBuffered();
  }
}

void
ForwardTransfer::OnMessageEnd()
{
  KeepOrClose();
  End(ForwardEnd::Complete);
}

/** The time that a Keep-Alive header names, or nothing. */
static std::optional<std::chrono::seconds>
KeepAliveTime(const std::string& aValue)
{
  static const std::string kName = "timeout=";
  const size_t place = aValue.find(kName);
  if (place == std::string::npos) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::strtol(aValue.c_str() + place + kName.size(), nullptr, 10));
}

void
ForwardTransfer::KeepOrClose()
{
  const auto& message = m_parser->get();
  const bool reusable = m_written && m_parser->keep_alive() && !m_parser->need_eof() && m_buffer.size() == 0;
  if (!reusable) {
    return;
  }
  if (const auto time = KeepAliveTime(std::string(message[http::field::keep_alive]))) {
    m_connection->usableUntil = SteadyClock::now() + *time - kCloseMargin;
  }
  m_pool->Give(m_key, std::exchange(m_connection, nullptr));
}

// --- end -------------------------------------------------------------------------------------------------

void
ForwardTransfer::StartTimer(Deadline aDeadline)
{
  m_timer.expires_at(aDeadline);
  m_timer.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError && !self->m_ended) {
      self->End(self->m_connected ? ForwardEnd::TimedOut : ForwardEnd::NotSent);
    }
  });
}

void
ForwardTransfer::Cancel()
{
  if (!m_ended) {
    m_listener.reset();
    End(ForwardEnd::Cancelled);
  }
}

void
ForwardTransfer::End(ForwardEnd aEnd)
{
  if (std::exchange(m_ended, true)) {
    return;
  }
  const std::shared_ptr<ForwardTransfer> self = std::exchange(m_self, nullptr);
  m_timer.cancel();
  if (m_connection) {
    boost::system::error_code ignored;
    m_connection->socket.close(ignored);
  }
  if (const auto listener = std::exchange(m_listener, nullptr)) {
    listener->OnEnd(aEnd);
  }
}

} // namespace mimosarun
