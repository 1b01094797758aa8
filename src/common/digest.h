#pragma once

#include <string>
#include <string_view>

namespace mimosarun {

/** Returns the SHA-256 hash of bytes as 64 lower-case hexadecimal digits. */
std::string
Sha256(std::string_view aBytes);

} // namespace mimosarun
