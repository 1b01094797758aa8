#include "target/manualtarget.h"

#include "harness/testsockets.h"
#include "http/meshheaders.h"

#include <sys/socket.h>
#include <unistd.h>

namespace mimosarun {

static constexpr std::chrono::milliseconds kRequestTime{ 3000 };

ManualTarget::ManualTarget()
  : m_address(RawServer::FreeAddress())
  , m_listener(Listen(m_address))
{
}

ManualTarget::~ManualTarget()
{
  Crash();
}

/** Returns the value of a header in the head of a request, or an empty text. */
static std::string
HeaderIn(const std::string& aHead, const std::string& aName)
{
  const std::string prefix = aName + ": ";
  const size_t header = aHead.find(prefix);
  if (header == std::string::npos) {
    return {};
  }
  const size_t start = header + prefix.size();
  return aHead.substr(start, aHead.find('\r', start) - start);
}

int
ManualTarget::TakeRequest()
{
  while (WaitReadable(m_listener, kRequestTime)) {
    const int connection = ::accept(m_listener, nullptr, nullptr);
    std::string head;
    char byte = 0;
    while (!head.ends_with("\r\n\r\n") && ::recv(connection, &byte, 1, 0) == 1) {
      head.push_back(byte);
    }
    if (head.ends_with("\r\n\r\n")) {
      m_requests.push_back({ .connection = connection, .callId = HeaderIn(head, kCallHeader) });
      return static_cast<int>(m_requests.size()) - 1;
    }
    // The gate only asked whether the target listens.
    ::close(connection);
  }
  return -1;
}

bool
ManualTarget::HasPeerLeft(int aRequest, std::chrono::milliseconds aTime) const
{
  const int connection = m_requests.at(aRequest).connection;
  char byte = 0;
  return WaitReadable(connection, aTime) && ::recv(connection, &byte, 1, MSG_PEEK) <= 0;
}

void
ManualTarget::Answer(int aRequest)
{
  const std::string answer = std::string("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n") +
                             kCallHeader + ": " + m_requests.at(aRequest).callId + "\r\n\r\n";
  static_cast<void>(::send(m_requests.at(aRequest).connection, answer.data(), answer.size(), MSG_NOSIGNAL));
  Drop(aRequest);
}

void
ManualTarget::Drop(int aRequest)
{
  ::close(m_requests.at(aRequest).connection);
  m_requests.at(aRequest).connection = -1;
}

void
ManualTarget::Crash()
{
  if (m_listener < 0) {
    return;
  }
  ::close(m_listener);
  m_listener = -1;
  for (size_t request = 0; request < m_requests.size(); ++request) {
    if (m_requests[request].connection >= 0) {
      Drop(static_cast<int>(request));
    }
  }
}

} // namespace mimosarun
