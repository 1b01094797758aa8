#pragma once

#include "common/error.h"

#include <string>
#include <string_view>

namespace mimosarun {

/** Compresses bytes with zstd. */
std::string
Compress(std::string_view aBytes);

/** Reverses Compress(); returns an error if the result is larger than aLimit bytes. */
Result<std::string>
Decompress(std::string_view aBytes, size_t aLimit);

/** Compresses bytes against a reference that the receiver holds too, so that only differences take space. */
std::string
CompressDelta(std::string_view aBytes, std::string_view aReference);

/** Reverses CompressDelta() with the same reference; another one gives an error or wrong bytes. */
Result<std::string>
DecompressDelta(std::string_view aBytes, std::string_view aReference, size_t aLimit);

} // namespace mimosarun
