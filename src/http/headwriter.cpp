#include "http/headwriter.h"

#include <ostream>
// Must precede Boost's header, which needs the complete type.
#include <boost/beast/http/status.hpp>

#include <cstdio>

namespace mimosarun {

static constexpr const char* kLengthHeader = "Content-Length";

bool
MayHaveBody(const std::string& aMethod, int aStatus)
{
  return aMethod != "HEAD" && aStatus >= 200 && aStatus != 204 && aStatus != 304;
}

static void
WriteHeaders(std::string& aText, const HttpHeaders& aHeaders)
{
  for (const HttpHeader& header : aHeaders) {
    if (IsHopByHopHeader(header.name) || SameHeaderName(header.name, kLengthHeader)) {
      continue;
    }
    aText += header.name;
    aText += ": ";
    aText += header.value;
    aText += "\r\n";
  }
}

/** Returns the usual reason of a status; empty if it has none. */
static boost::beast::string_view
ReasonOf(int aStatus)
{
  namespace http = boost::beast::http;
  const http::status status = http::int_to_status(static_cast<unsigned int>(aStatus));
  return status == http::status::unknown ? boost::beast::string_view() : http::obsolete_reason(status);
}

std::string
WriteResponseHead(const HttpResponseHead& aHead, BodyFraming aFraming, bool aKeepAlive)
{
  const auto reason = ReasonOf(aHead.status);
  std::string text = "HTTP/1.1 " + std::to_string(aHead.status) + " ";
  text.append(reason.data(), reason.size());
  text += "\r\n";
  WriteHeaders(text, aHead.headers);
  if (aFraming == BodyFraming::Length) {
    text += std::string(kLengthHeader) + ": " + std::to_string(aHead.contentLength.value_or(0)) + "\r\n";
  } else if (aFraming == BodyFraming::Chunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  text += aKeepAlive ? "\r\n" : "Connection: close\r\n\r\n";
  return text;
}

std::string
WriteRequestHead(const HttpRequest& aRequest)
{
  std::string text = aRequest.method + " " + aRequest.requestTarget + " HTTP/1.1\r\n";
  WriteHeaders(text, aRequest.headers);
  const bool alwaysHasLength =
    aRequest.method == "POST" || aRequest.method == "PUT" || aRequest.method == "PATCH";
  if (alwaysHasLength || !aRequest.body.empty()) {
    text += std::string(kLengthHeader) + ": " + std::to_string(aRequest.body.size()) + "\r\n";
  }
  text += "\r\n";
  return text;
}

std::string
WriteChunkHead(size_t aLength)
{
  char line[24];
  const int length = std::snprintf(line, sizeof line, "%zx\r\n", aLength);
  return std::string(line, static_cast<size_t>(length));
}

} // namespace mimosarun
