#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Millis = std::chrono::milliseconds;

/** Address on the loopback network. */
struct Endpoint
{
  std::string host;
  uint16_t port = 0;

  std::string Text() const { return host + ":" + std::to_string(port); }
};

/** A message of HTTP/1.1; names of headers are in lower case. */
struct Message
{
  /** First line, without its end. */
  std::string start;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& aName) const;
  bool Has(const std::string& aName) const { return headers.contains(aName); }
  /** Status of a response, or 0. */
  int Status() const;
  /** Word of the first line, counted from 0. */
  std::string Word(size_t aIndex) const;
};

/** A connected socket that blocks up to a limit of time. */
class Stream
{
public:
  explicit Stream(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }
  ~Stream();

  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  /** Connects; IsOpen() is false if that fails. */
  static int Connect(const Endpoint& aTo, Millis aTimeout);

  bool IsOpen() const { return m_descriptor >= 0; }
  int Descriptor() const { return m_descriptor; }
  bool Send(const std::string& aBytes, Time aUntil);

  /** Reads one message; returns nothing if the peer closes, sends something else or the time is over. */
  std::optional<Message> Receive(Time aUntil);

  /** Whether the peer has closed or reset the connection. */
  bool IsPeerGone() const;
  void Close();

private:
  bool Fill(Time aUntil);
  bool ReadBody(Message& aMessage, Time aUntil);
  std::optional<std::string> ReadLine(Time aUntil);
  bool ReadBytes(std::string& aTo, size_t aLength, Time aUntil);

  int m_descriptor;
  std::string m_buffer;
};

/** Creates a listening socket, or returns -1. */
int
Listen(const Endpoint& aAt);

/** Whether an address can be listened on. */
bool
IsFree(const Endpoint& aAt);

/** Sends one request on a connection of its own. */
std::optional<Message>
Exchange(const Endpoint& aTo, const std::string& aRequest, Millis aTimeout);

/** Text of a request with a body of known length. */
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::vector<std::string>& aHeaders,
            const std::string& aBody = {});

} // namespace review
