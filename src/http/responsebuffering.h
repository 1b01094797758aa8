#pragma once

#include "http/message.h"

#include <cstddef>

namespace mimosarun {

/** Responses up to this size are buffered whole before any byte is passed on. */
inline constexpr size_t kBufferedResponseLimitBytes = 64UL * 1024;

/**
 * Returns whether a response must be streamed, because it is larger than the buffer or has already filled it.
 * A buffered response can still be replaced by that of another attempt; a streamed one can't, and if it
 * breaks off, its connection is closed so that the receiver sees the truncation.
 */
inline bool
MustStream(const HttpResponseHead& aHead, size_t aBufferedBytes)
{
  return aHead.contentLength.value_or(0) > kBufferedResponseLimitBytes ||
         aBufferedBytes > kBufferedResponseLimitBytes;
}

} // namespace mimosarun
