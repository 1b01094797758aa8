#include "common/digest.h"

#include <openssl/evp.h>

#include <array>

namespace mimosarun {

std::string
Sha256(std::string_view aBytes)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(aBytes.data(), aBytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
  std::string text;
  text.reserve(2 * length);
  for (unsigned int i = 0; i < length; ++i) {
    text.push_back(kDigits[digest[i] >> 4U]);
    text.push_back(kDigits[digest[i] & 0xFU]);
  }
  return text;
}

} // namespace mimosarun
