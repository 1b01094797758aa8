#pragma once

#include "http/message.h"

#include <string>

namespace mimosarun {

/** How the body of an answer is delimited. */
enum class BodyFraming
{
  /** The status or method allows no body. */
  None,
  Length,
  Chunked,
};

/** Whether an answer to a request may carry a body. */
bool
MayHaveBody(const std::string& aMethod, int aStatus);

/** The head of an answer without the headers of any former connection. */
std::string
WriteResponseHead(const HttpResponseHead& aHead, BodyFraming aFraming, bool aKeepAlive);

/** The head of a request whose body has a known length. */
std::string
WriteRequestHead(const HttpRequest& aRequest);

/** The line before a chunk. */
std::string
WriteChunkHead(size_t aLength);

} // namespace mimosarun
