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

/** A request with its whole body. */
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

/** Status and headers of an answer. */
struct HttpResponseHead
{
  int status = 0;
  HttpHeaders headers;
  /** Length of the body where the sender named it. */
  std::optional<uint64_t> contentLength;
};

/** An answer with its whole body. */
struct HttpResponse
{
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/** The value of a header, names compared without case; empty if absent. */
std::string
FindHeader(const HttpHeaders& aHeaders, const std::string& aName);

/** Whether a header is absent or present. */
bool
HasHeader(const HttpHeaders& aHeaders, const std::string& aName);

/** Replaces a header or adds it. */
void
SetHeader(HttpHeaders& aHeaders, const std::string& aName, const std::string& aValue);

/** Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1). */
bool
IsHopByHopHeader(const std::string& aName);

/** Whether two header names are equal without regard to case. */
bool
SameHeaderName(const std::string& aLeft, const std::string& aRight);

} // namespace mimosarun
