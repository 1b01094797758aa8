#pragma once

#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** One header of an HTTP message. */
struct HttpHeader
{
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/** A request with its complete body. */
struct HttpRequest
{
  std::string method;
  /** Path without the query. */
  std::string path;
  /** Path with the query, as received. */
  std::string requestTarget;
  HttpHeaders headers;
  std::string body;
};

/** Status and headers of a response. */
struct HttpResponseHead
{
  int status = 0;
  HttpHeaders headers;
  /** Length of the body, if the sender specified it. */
  std::optional<uint64_t> contentLength;
};

/** A response with its complete body. */
struct HttpResponse
{
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/** Returns whether a status is one of a final response, 200 to 599 (RFC 9110, section 15). */
bool
IsFinalStatus(int aStatus);

/** Returns whether a status is one of a response that precedes the final one, 100 to 199. */
bool
IsInterimStatus(int aStatus);

/** Returns the value of a header, or an empty string if it is absent. Names are case-insensitive. */
std::string
FindHeader(const HttpHeaders& aHeaders, const std::string& aName);

/** Returns whether a header is present. */
bool
HasHeader(const HttpHeaders& aHeaders, const std::string& aName);

/** Replaces a header or adds it. */
void
SetHeader(HttpHeaders& aHeaders, const std::string& aName, const std::string& aValue);

/** Returns whether a header applies to one connection and isn't forwarded (RFC 9110, section 7.6.1). */
bool
IsHopByHopHeader(const std::string& aName);

/** Returns whether two header names are equal, ignoring case. */
bool
SameHeaderName(const std::string& aLeft, const std::string& aRight);

} // namespace mimosarun
