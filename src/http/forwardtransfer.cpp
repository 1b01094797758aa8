#include "http/forwardtransfer.h"

#include <algorithm>

namespace mimosarun {

static constexpr long kConnectTimeoutMilliseconds = 1000;
static constexpr long kIdleConnectionSeconds = 20;

ForwardTransfer::ForwardTransfer(ForwardTicket aTicket,
                                 ForwardRequest aRequest,
                                 std::shared_ptr<ForwardListener> aListener)
  : m_ticket(aTicket)
  , m_request(std::move(aRequest))
  , m_listener(std::move(aListener))
{
}

ForwardTransfer::~ForwardTransfer()
{
  curl_slist_free_all(m_headers);
  curl_slist_free_all(m_connectTo);
}

void
ForwardTransfer::AddHeaders()
{
  for (const HttpHeader& header : m_request.request.headers) {
    if (IsHopHeader(header.name) || SameHeaderName(header.name, "Content-Length")) {
      continue;
    }
    const std::string line = header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
    m_headers = curl_slist_append(m_headers, line.c_str());
  }
  m_headers = curl_slist_append(m_headers, "Expect:");
  if (!HasHeader(m_request.request.headers, "Accept")) {
    m_headers = curl_slist_append(m_headers, "Accept:");
  }
  if (!HasHeader(m_request.request.headers, "Content-Type")) {
    m_headers = curl_slist_append(m_headers, "Content-Type:");
  }
}

void
ForwardTransfer::Prepare(CURL* aHandle)
{
  m_handle = aHandle;
  curl_easy_reset(aHandle);
  // The host name only separates generations of kept connections; the connection goes to the address.
  const std::string name = "g" + std::to_string(m_request.connectionGeneration) + ".mesh";
  const std::string place = m_request.to.host + ":" + std::to_string(m_request.to.port);
  const std::string url =
    "http://" + name + ":" + std::to_string(m_request.to.port) + m_request.request.target;
  m_connectTo = curl_slist_append(nullptr, ("::" + place).c_str());
  AddHeaders();
  curl_easy_setopt(aHandle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(aHandle, CURLOPT_CONNECT_TO, m_connectTo);
  curl_easy_setopt(aHandle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(aHandle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(aHandle, CURLOPT_HTTPHEADER, m_headers);
  curl_easy_setopt(aHandle, CURLOPT_PROXY, "");
  curl_easy_setopt(aHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aHandle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(aHandle, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMilliseconds);
  curl_easy_setopt(aHandle, CURLOPT_MAXAGE_CONN, kIdleConnectionSeconds);
  curl_easy_setopt(aHandle, CURLOPT_FRESH_CONNECT, m_request.freshConnection ? 1L : 0L);
  curl_easy_setopt(aHandle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(aHandle, CURLOPT_HEADERFUNCTION, &ForwardTransfer::OnHeaderLine);
  curl_easy_setopt(aHandle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(aHandle, CURLOPT_WRITEFUNCTION, &ForwardTransfer::OnBodyBytes);
  curl_easy_setopt(aHandle, CURLOPT_WRITEDATA, this);
  const auto left = std::max(TimeLeft(m_request.deadline), std::chrono::milliseconds(1));
  curl_easy_setopt(aHandle, CURLOPT_TIMEOUT_MS, static_cast<long>(left.count()));
  const std::string& method = m_request.request.method;
  if (method == "HEAD") {
    curl_easy_setopt(aHandle, CURLOPT_NOBODY, 1L);
  } else if (method != "GET" || !m_request.request.body.empty()) {
    curl_easy_setopt(aHandle, CURLOPT_POST, 1L);
    curl_easy_setopt(aHandle, CURLOPT_POSTFIELDS, m_request.request.body.data());
    curl_easy_setopt(
      aHandle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.request.body.size()));
  }
  curl_easy_setopt(aHandle, CURLOPT_CUSTOMREQUEST, method.c_str());
}

size_t
ForwardTransfer::OnHeaderLine(char* aBytes, size_t aSize, size_t aCount, void* aSelf)
{
  auto& self = *static_cast<ForwardTransfer*>(aSelf);
  const size_t length = aSize * aCount;
  std::string line(aBytes, length);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
    line.pop_back();
  }
  if (line.starts_with("HTTP/")) {
    self.m_head = {};
    const size_t space = line.find(' ');
    self.m_head.status = space == std::string::npos ? 0 : std::atoi(line.c_str() + space);
    return length;
  }
  const size_t colon = line.find(':');
  if (colon != std::string::npos) {
    const size_t start = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
    self.m_head.headers.push_back({ .name = line.substr(0, colon), .value = line.substr(start) });
    if (SameHeaderName(self.m_head.headers.back().name, "Content-Length")) {
      self.m_head.length = std::strtoull(self.m_head.headers.back().value.c_str(), nullptr, 10);
    }
  }
  return length;
}

void
ForwardTransfer::DeliverHead()
{
  if (!m_headDelivered && m_head.status > 0) {
    m_headDelivered = true;
    m_listener->OnHead(m_head);
  }
}

size_t
ForwardTransfer::OnBodyBytes(char* aBytes, size_t aSize, size_t aCount, void* aSelf)
{
  auto& self = *static_cast<ForwardTransfer*>(aSelf);
  self.DeliverHead();
  if (!self.m_listener->OnBody({ aBytes, aSize * aCount })) {
    // The bytes were taken; the pause begins with the next piece.
    curl_easy_pause(self.m_handle, CURLPAUSE_RECV);
  }
  return aSize * aCount;
}

ForwardEnd
ForwardTransfer::Judge(CURLcode aCode) const
{
  long connects = 0;
  curl_easy_getinfo(m_handle, CURLINFO_NUM_CONNECTS, &connects);
  double connectTime = 0;
  curl_easy_getinfo(m_handle, CURLINFO_CONNECT_TIME, &connectTime);
  switch (aCode) {
    case CURLE_OK:
      return ForwardEnd::Complete;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return ForwardEnd::NotSent;
    case CURLE_OPERATION_TIMEDOUT:
      // A timeout while the only connection was still being made.
      return m_request.freshConnection && connectTime == 0 ? ForwardEnd::NotSent : ForwardEnd::TimedOut;
    default:
      return ForwardEnd::Broken;
  }
}

} // namespace mimosarun
