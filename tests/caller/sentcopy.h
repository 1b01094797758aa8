#pragma once

#include "caller/testgate.h"
#include "hop/hopheaders.h"

#include <chrono>
#include <optional>
#include <string>

namespace mimosarun {

/** A connection on which a copy of a call is sent to a gate. */
class SentCopy
{
public:
  struct Options
  {
    std::string callId = "call";
    std::string path = "/orders/1";
    RepeatPolicy repeatPolicy = RepeatPolicy::AtMostOnce;
    std::chrono::milliseconds timeLeft{ 8000 };
    int64_t sentToIncarnation = 0;
  };

  SentCopy(const TestGate& aGate, const std::string& aCallId, int64_t aSentToIncarnation)
    : SentCopy(aGate, Options{ .callId = aCallId, .sentToIncarnation = aSentToIncarnation })
  {
  }

  SentCopy(const TestGate& aGate, const Options& aOptions)
    : m_connection(aGate.ListenAddress())
  {
    HttpHeaders headers;
    WriteHop(headers,
             HopRequest{ .callId = aOptions.callId,
                         .service = "books",
                         .route = "orders",
                         .repeatPolicy = aOptions.repeatPolicy,
                         .timeLeft = aOptions.timeLeft,
                         .longestWait = std::chrono::seconds(8),
                         .maxFailurePenalty = std::chrono::seconds(8),
                         .sentToIncarnation = aOptions.sentToIncarnation });
    m_connection.Send("POST " + aOptions.path + " HTTP/1.1\r\nHost: x\r\n" + headers.front().name + ": " +
                      headers.front().value + "\r\nContent-Length: 0\r\n\r\n");
  }

  /** Returns the gate's report with the response, or nothing if there is none within aTime. */
  std::optional<HopResponse> Response(std::chrono::milliseconds aTime) const
  {
    const std::string head = m_connection.ReceiveUntil("\r\n\r\n", aTime);
    const std::string name = std::string(kHopResponseHeader) + ": ";
    const size_t begin = head.find(name);
    if (begin == std::string::npos) {
      return std::nullopt;
    }
    const size_t valueBegin = begin + name.size();
    HttpHeaders headers{ { .name = kHopResponseHeader,
                           .value = head.substr(valueBegin, head.find("\r\n", begin) - valueBegin) } };
    return ExtractHopResponse(headers);
  }

private:
  const RawConnection m_connection;
};

} // namespace mimosarun
