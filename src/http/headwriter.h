#pragma once

#include "http/message.h"

#include <string>

namespace mimosarun {

/** How the body of a response is delimited. */
enum class BodyFraming
{
  /** The status or method allows no body. */
  None,
  Length,
  Chunked,
  /** The end of the connection ends the body; for receivers that don't know chunks. */
  UntilClose,
};

/** Returns whether the response to a request may have a body. */
bool
MayHaveBody(const std::string& aMethod, int aStatus);

/** Returns the head of a response, without hop-by-hop headers of the connection that it came from. */
std::string
WriteResponseHead(const HttpResponseHead& aHead, BodyFraming aFraming, bool aKeepAlive);

/** Returns the head of a request whose body has a known length. */
std::string
WriteRequestHead(const HttpRequest& aRequest);

/** Returns the line that precedes a chunk. */
std::string
WriteChunkHead(size_t aLength);

} // namespace mimosarun
