#include "common/compression.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace mimosarun {

static constexpr int kCompressionLevel = 3;
static constexpr int kSmallestWindowLog = 12;
static constexpr int kLargestWindowLog = 27;

static auto
DamagedDataError()
{
  return Fail(ErrorKind::CorruptData, "compressed data is damaged; fetch it again");
}

std::string
Compress(std::string_view aBytes)
{
  std::string output(ZSTD_compressBound(aBytes.size()), '\0');
  const size_t length =
    ZSTD_compress(output.data(), output.size(), aBytes.data(), aBytes.size(), kCompressionLevel);
  output.resize(ZSTD_isError(length) != 0U ? 0 : length);
  return output;
}

Result<std::string>
Decompress(std::string_view aBytes, size_t aLimit)
{
  const auto size = ZSTD_getFrameContentSize(aBytes.data(), aBytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > aLimit) {
    return Fail(ErrorKind::CorruptData, "compressed data has no valid size; fetch it again");
  }
  std::string output(size, '\0');
  const size_t length = ZSTD_decompress(output.data(), output.size(), aBytes.data(), aBytes.size());
  if (ZSTD_isError(length) != 0U || length != size) {
    return DamagedDataError();
  }
  return output;
}

std::string
CompressDelta(std::string_view aBytes, std::string_view aReference)
{
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  // The window must cover the bytes and the reference, otherwise matches in the reference are missed.
  const auto bits = static_cast<int>(std::bit_width(aBytes.size() + aReference.size()));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(
    context.get(), ZSTD_c_windowLog, std::clamp(bits, kSmallestWindowLog, kLargestWindowLog));
  ZSTD_CCtx_refPrefix(context.get(), aReference.data(), aReference.size());
  std::string output(ZSTD_compressBound(aBytes.size()), '\0');
  const size_t length =
    ZSTD_compress2(context.get(), output.data(), output.size(), aBytes.data(), aBytes.size());
  output.resize(ZSTD_isError(length) != 0U ? 0 : length);
  return output;
}

Result<std::string>
DecompressDelta(std::string_view aBytes, std::string_view aReference, size_t aLimit)
{
  const auto size = ZSTD_getFrameContentSize(aBytes.data(), aBytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > aLimit) {
    return Fail(ErrorKind::CorruptData, "compressed data has no valid size; fetch it again");
  }
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(context.get(), aReference.data(), aReference.size());
  std::string output(size, '\0');
  const size_t length =
    ZSTD_decompressDCtx(context.get(), output.data(), output.size(), aBytes.data(), aBytes.size());
  if (ZSTD_isError(length) != 0U || length != size) {
    return DamagedDataError();
  }
  return output;
}

} // namespace mimosarun
