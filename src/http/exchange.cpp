#include "http/exchange.h"

#include "http/serverconnection.h"

#include <utility>

namespace mimosarun {

static constexpr size_t kBufferLimitBytes = 32UL * 1024;

Exchange::Exchange(HttpRequest aRequest, EventLoop& aLoop)
  : m_request(std::move(aRequest))
  , m_loop(aLoop)
  , m_receivedAt(SteadyClock::now())
{
}

void
Exchange::Respond(HttpResponse aResponse)
{
  if (!m_loop.IsCurrent()) {
    m_loop.Dispatch([self = shared_from_this(), response = std::move(aResponse)]() mutable {
      self->Respond(std::move(response));
    });
    return;
  }
  const uint64_t bodyLength = aResponse.body.size();
  if (!Start({ .status = aResponse.status,
               .headers = std::move(aResponse.headers),
               .contentLength = bodyLength })) {
    return;
  }
  m_body = std::move(aResponse.body);
  m_stage = Stage::Finished;
  NotifyConnection();
}

bool
Exchange::Start(HttpResponseHead aHead)
{
  if (m_stage != Stage::Waiting) {
    return false;
  }
  m_stage = Stage::Started;
  m_head = std::move(aHead);
  return true;
}

bool
Exchange::Write(std::string_view aBytes)
{
  if (m_stage != Stage::Started || m_cancelled) {
    return true;
  }
  m_body.append(aBytes);
  NotifyConnection();
  m_writerWaits = m_body.size() >= kBufferLimitBytes;
  return !m_writerWaits;
}

void
Exchange::Finish(bool aComplete)
{
  if (m_stage != Stage::Started) {
    return;
  }
  m_stage = aComplete ? Stage::Finished : Stage::Broken;
  NotifyConnection();
}

void
Exchange::OnCancel(std::function<void()> aCallback)
{
  if (m_cancelled && aCallback) {
    aCallback();
    return;
  }
  m_onCancel = std::move(aCallback);
}

void
Exchange::OnDrain(std::function<void()> aCallback)
{
  m_onDrain = std::move(aCallback);
}

void
Exchange::OnFirstInPipeline(std::function<void()> aCallback)
{
  if (m_firstInPipeline) {
    aCallback();
    return;
  }
  m_onFirstInPipeline = std::move(aCallback);
}

void
Exchange::Cancel()
{
  m_cancelled = true;
  m_onFirstInPipeline = nullptr;
  m_onDrain = nullptr;
  if (const auto callback = std::exchange(m_onCancel, {})) {
    callback();
  }
}

void
Exchange::NotifyDrained()
{
  if (std::exchange(m_writerWaits, false) && m_onDrain) {
    m_onDrain();
  }
}

void
Exchange::BecomeFirstInPipeline()
{
  m_firstInPipeline = true;
  if (const auto callback = std::exchange(m_onFirstInPipeline, {})) {
    callback();
  }
}

void
Exchange::NotifyConnection()
{
  if (const auto connection = m_connection.lock()) {
    connection->SendPending();
  }
}

} // namespace mimosarun
