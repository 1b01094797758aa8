#include "wire.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <sstream>

namespace review {

static constexpr size_t kReadBytes = 64UL * 1024;

static sockaddr_in
ToSocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  ::inet_pton(AF_INET, aEndpoint.host.c_str(), &address.sin_addr);
  return address;
}

static int
MillisUntil(Time aUntil)
{
  const auto left = std::chrono::ceil<Millis>(aUntil - Clock::now()).count();
  return static_cast<int>(std::max<int64_t>(0, left));
}

static bool
WaitFor(int aDescriptor, short aEvents, Time aUntil)
{
  pollfd descriptor{ .fd = aDescriptor, .events = aEvents, .revents = 0 };
  return ::poll(&descriptor, 1, MillisUntil(aUntil)) > 0;
}

std::string
Message::Header(const std::string& aName) const
{
  const auto found = headers.find(aName);
  return found == headers.end() ? std::string() : found->second;
}

std::string
Message::Word(size_t aIndex) const
{
  std::istringstream text(start);
  std::string word;
  for (size_t i = 0; i <= aIndex; ++i) {
    word.clear();
    text >> word;
  }
  return word;
}

int
Message::Status() const
{
  return start.starts_with("HTTP/1.") ? std::atoi(Word(1).c_str()) : 0;
}

Stream::~Stream()
{
  Close();
}

void
Stream::Close()
{
  if (m_descriptor >= 0) {
    ::close(m_descriptor);
    m_descriptor = -1;
  }
}

int
Stream::Connect(const Endpoint& aTo, Millis aTimeout)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocketAddress(aTo);
  const int connected = ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  int error = connected == 0 ? 0 : errno;
  if (error == EINPROGRESS) {
    socklen_t length = sizeof error;
    if (!WaitFor(descriptor, POLLOUT, Clock::now() + aTimeout) ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0) {
      error = ETIMEDOUT;
    }
  }
  if (error != 0) {
    ::close(descriptor);
    return -1;
  }
  const int yes = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return descriptor;
}

bool
Stream::Send(const std::string& aBytes, Time aUntil)
{
  size_t sent = 0;
  while (m_descriptor >= 0 && sent < aBytes.size()) {
    const ssize_t written =
      ::send(m_descriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written > 0) {
      sent += static_cast<size_t>(written);
      continue;
    }
    if (errno != EAGAIN || !WaitFor(m_descriptor, POLLOUT, aUntil)) {
      return false;
    }
  }
  return sent == aBytes.size();
}

bool
Stream::Fill(Time aUntil)
{
  if (m_descriptor < 0 || !WaitFor(m_descriptor, POLLIN, aUntil)) {
    return false;
  }
  const size_t before = m_buffer.size();
  m_buffer.resize(before + kReadBytes);
  const ssize_t length = ::recv(m_descriptor, m_buffer.data() + before, kReadBytes, MSG_DONTWAIT);
  m_buffer.resize(before + static_cast<size_t>(std::max<ssize_t>(0, length)));
  return length > 0;
}

std::optional<std::string>
Stream::ReadLine(Time aUntil)
{
  size_t end = m_buffer.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(aUntil)) {
      return std::nullopt;
    }
    end = m_buffer.find("\r\n");
  }
  std::string line = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 2);
  return line;
}

bool
Stream::ReadBytes(std::string& aTo, size_t aLength, Time aUntil)
{
  while (aLength > 0) {
    if (m_buffer.empty() && !Fill(aUntil)) {
      return false;
    }
    const size_t part = std::min(aLength, m_buffer.size());
    aTo.append(m_buffer, 0, part);
    m_buffer.erase(0, part);
    aLength -= part;
  }
  return true;
}

bool
Stream::ReadBody(Message& aMessage, Time aUntil)
{
  if (aMessage.Header("transfer-encoding") != "chunked") {
    const std::string length = aMessage.Header("content-length");
    return length.empty() || ReadBytes(aMessage.body, std::strtoull(length.c_str(), nullptr, 10), aUntil);
  }
  while (true) {
    const std::optional<std::string> head = ReadLine(aUntil);
    if (!head) {
      return false;
    }
    const size_t length = std::strtoull(head->c_str(), nullptr, 16);
    if (!ReadBytes(aMessage.body, length, aUntil) || !ReadLine(aUntil)) {
      return false;
    }
    if (length == 0) {
      return true;
    }
  }
}

std::optional<Message>
Stream::Receive(Time aUntil)
{
  Message message;
  std::optional<std::string> line = ReadLine(aUntil);
  if (!line) {
    return std::nullopt;
  }
  message.start = *line;
  while ((line = ReadLine(aUntil)) && !line->empty()) {
    const size_t colon = line->find(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    std::string name = line->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
    const size_t value = line->find_first_not_of(' ', colon + 1);
    message.headers[name] = value == std::string::npos ? std::string() : line->substr(value);
  }
  if (!line || !ReadBody(message, aUntil)) {
    return std::nullopt;
  }
  return message;
}

bool
Stream::IsPeerGone() const
{
  char byte = 0;
  const ssize_t length = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return length == 0 || (length < 0 && errno != EAGAIN);
}

int
Listen(const Endpoint& aAt)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  const sockaddr_in address = ToSocketAddress(aAt);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(descriptor, 512) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

bool
IsFree(const Endpoint& aAt)
{
  const int descriptor = Listen(aAt);
  if (descriptor >= 0) {
    ::close(descriptor);
  }
  return descriptor >= 0;
}

std::optional<Message>
Exchange(const Endpoint& aTo, const std::string& aRequest, Millis aTimeout)
{
  const Time until = Clock::now() + aTimeout;
  Stream stream(Stream::Connect(aTo, aTimeout));
  if (!stream.IsOpen() || !stream.Send(aRequest, until)) {
    return std::nullopt;
  }
  return stream.Receive(until);
}

std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::vector<std::string>& aHeaders,
            const std::string& aBody)
{
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\n";
  for (const std::string& header : aHeaders) {
    text += header + "\r\n";
  }
  if (aMethod != "GET" || !aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

} // namespace review
