#pragma once

#include "common/error.h"

#include <string>
#include <string_view>

namespace mimosarun {

/** Compresses bytes with zstd. */
std::string
Compress(std::string_view aBytes);

/** Undoes Compress(); refuses results larger than aLimit bytes. */
Result<std::string>
Decompress(std::string_view aBytes, size_t aLimit);

} // namespace mimosarun
