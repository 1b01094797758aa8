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

/** Compresses bytes against a text that the reader holds too, so that only the differences take room. */
std::string
CompressDelta(std::string_view aBytes, std::string_view aHeld);

/** Undoes CompressAgainst() with the same held text; another text gives an error or other bytes. */
Result<std::string>
DecompressDelta(std::string_view aBytes, std::string_view aHeld, size_t aLimit);

} // namespace mimosarun
