#include "http/exchange.h"

#include <microhttpd.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace mimosarun {

static constexpr size_t kBufferLimitBytes = 256UL * 1024;
static constexpr size_t kReadBlockBytes = 32UL * 1024;

Exchange::Exchange(HttpRequest aRequest)
  : m_request(std::move(aRequest))
{
}

void
Exchange::Respond(HttpResponse aResponse)
{
  const uint64_t length = aResponse.body.size();
  if (Start({ .status = aResponse.status, .headers = std::move(aResponse.headers), .length = length })) {
    Write(aResponse.body);
    Finish(true);
  }
}

bool
Exchange::Start(HttpHead aHead)
{
  const std::lock_guard lock(m_mutex);
  if (m_stage != Stage::Waiting) {
    return false;
  }
  m_head = std::move(aHead);
  m_stage = Stage::Started;
  ResumeLocked();
  return true;
}

bool
Exchange::Write(std::string_view aBytes)
{
  const std::lock_guard lock(m_mutex);
  if (m_stage != Stage::Started || m_cancelled) {
    return true;
  }
  if (m_bufferStart > kBufferLimitBytes) {
    m_buffer.erase(0, m_bufferStart);
    m_bufferStart = 0;
  }
  m_buffer.append(aBytes);
  ResumeLocked();
  m_writerWaits = m_buffer.size() - m_bufferStart > kBufferLimitBytes;
  return !m_writerWaits;
}

void
Exchange::Finish(bool aComplete)
{
  std::function<void()> cancel;
  std::function<void()> drain;
  const std::lock_guard lock(m_mutex);
  if (m_stage == Stage::Started) {
    m_stage = aComplete ? Stage::Finished : Stage::Broken;
    ResumeLocked();
  }
  // The callbacks may hold the last reference to their owner; they go after the lock is released.
  cancel.swap(m_onCancel);
  drain.swap(m_onDrain);
}

void
Exchange::OnCancel(std::function<void()> aCallback)
{
  {
    const std::lock_guard lock(m_mutex);
    if (!m_cancelled) {
      m_onCancel = std::move(aCallback);
      return;
    }
  }
  aCallback();
}

void
Exchange::OnDrain(std::function<void()> aCallback)
{
  const std::lock_guard lock(m_mutex);
  m_onDrain = std::move(aCallback);
}

bool
Exchange::Started() const
{
  const std::lock_guard lock(m_mutex);
  return m_stage != Stage::Waiting;
}

void
Exchange::Suspend(MHD_Connection* aConnection, int aSocket)
{
  const std::lock_guard lock(m_mutex);
  m_connection = aConnection;
  m_socket = aSocket;
  m_suspended = true;
  MHD_suspend_connection(aConnection);
}

void
Exchange::ResumeLocked()
{
  if (m_suspended) {
    m_suspended = false;
    MHD_resume_connection(m_connection);
  }
}

bool
Exchange::ReadyToQueue() const
{
  const std::lock_guard lock(m_mutex);
  return m_stage != Stage::Waiting;
}

int
Exchange::Status() const
{
  const std::lock_guard lock(m_mutex);
  return m_head.status;
}

ssize_t
Exchange::ReadBody(void* aSelf, uint64_t /*aPosition*/, char* aBuffer, size_t aLimit)
{
  Exchange& self = **static_cast<ExchangePointer*>(aSelf);
  std::function<void()> drained;
  ssize_t count = 0;
  {
    const std::lock_guard lock(self.m_mutex);
    count = self.ReadBodyLocked(aBuffer, aLimit, drained);
  }
  if (drained) {
    drained();
  }
  return count;
}

ssize_t
Exchange::ReadBodyLocked(char* aBuffer, size_t aLimit, std::function<void()>& aDrained)
{
  const size_t available = m_buffer.size() - m_bufferStart;
  if (available > 0) {
    const size_t count = std::min(available, aLimit);
    std::memcpy(aBuffer, m_buffer.data() + m_bufferStart, count);
    m_bufferStart += count;
    if (m_bufferStart == m_buffer.size()) {
      m_buffer.clear();
      m_bufferStart = 0;
    }
    if (m_writerWaits && m_buffer.size() - m_bufferStart < kBufferLimitBytes / 2) {
      m_writerWaits = false;
      aDrained = m_onDrain;
    }
    return static_cast<ssize_t>(count);
  }
  if (m_stage == Stage::Finished) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (m_stage == Stage::Broken || m_cancelled) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  m_suspended = true;
  MHD_suspend_connection(m_connection);
  return 0;
}

static void
ReleaseExchange(void* aSelf)
{
  delete static_cast<ExchangePointer*>(aSelf);
}

MHD_Response*
Exchange::MakeResponse(const ExchangePointer& aSelf)
{
  const std::lock_guard lock(m_mutex);
  MHD_Response* response = nullptr;
  const bool whole = m_stage == Stage::Finished && m_head.length == m_buffer.size() - m_bufferStart;
  if (whole) {
    response = MHD_create_response_from_buffer(m_buffer.size(), m_buffer.data(), MHD_RESPMEM_MUST_COPY);
    m_buffer.clear();
  } else {
    auto* holder = new ExchangePointer(aSelf);
    response = MHD_create_response_from_callback(m_head.length.value_or(MHD_SIZE_UNKNOWN),
                                                 kReadBlockBytes,
                                                 &Exchange::ReadBody,
                                                 holder,
                                                 &ReleaseExchange);
  }
  for (const HttpHeader& header : m_head.headers) {
    if (!SameHeaderName(header.name, "Content-Length") && !IsHopHeader(header.name)) {
      MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
  }
  return response;
}

void
Exchange::Cancel()
{
  std::function<void()> callback;
  {
    const std::lock_guard lock(m_mutex);
    if (m_cancelled) {
      return;
    }
    m_cancelled = true;
    callback = std::exchange(m_onCancel, nullptr);
    m_onDrain = nullptr;
    if (m_stage == Stage::Waiting) {
      m_stage = Stage::Broken;
      m_head.status = MHD_HTTP_INTERNAL_SERVER_ERROR;
    }
    ResumeLocked();
  }
  if (callback) {
    callback();
  }
}

int
Exchange::WatchedSocket() const
{
  const std::lock_guard lock(m_mutex);
  return m_suspended && !m_cancelled ? m_socket : -1;
}

} // namespace mimosarun
