#include "control/record.h"

#include <boost/crc.hpp>

#include <array>
#include <cstdint>
#include <cstring>

namespace mimosarun {

/** Header of a record on disk, in native byte order. */
struct RecordHeader
{
  uint32_t magic = 0;
  uint32_t payloadLength = 0;
  uint32_t payloadChecksum = 0;
  uint32_t headerChecksum = 0;
};

static constexpr uint32_t kMagic = 0x4d52554e;

static uint32_t
Checksum(std::string_view aBytes)
{
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(aBytes.data(), aBytes.size());
  return crc.checksum();
}

static uint32_t
HeaderChecksum(const RecordHeader& aHeader)
{
  return Checksum({ reinterpret_cast<const char*>(&aHeader), offsetof(RecordHeader, headerChecksum) });
}

std::string
MakeRecord(std::string_view aPayload)
{
  RecordHeader header{ .magic = kMagic,
                       .payloadLength = static_cast<uint32_t>(aPayload.size()),
                       .payloadChecksum = Checksum(aPayload) };
  header.headerChecksum = HeaderChecksum(header);
  std::string bytes(reinterpret_cast<const char*>(&header), sizeof header);
  bytes.append(aPayload);
  return bytes;
}

RecordView
ParseRecord(std::string_view aBytes)
{
  RecordHeader header;
  if (aBytes.size() < sizeof header) {
    return {};
  }
  std::memcpy(&header, aBytes.data(), sizeof header);
  if (header.magic != kMagic || header.headerChecksum != HeaderChecksum(header)) {
    return {};
  }
  if (aBytes.size() - sizeof header < header.payloadLength) {
    return {};
  }
  const std::string_view payload = aBytes.substr(sizeof header, header.payloadLength);
  if (Checksum(payload) != header.payloadChecksum) {
    return {};
  }
  return { .valid = true, .payload = payload, .lengthBytes = sizeof header + payload.size() };
}

bool
HasValidRecord(std::string_view aBytes)
{
  const std::string_view magic(reinterpret_cast<const char*>(&kMagic), sizeof kMagic);
  for (size_t offset = aBytes.find(magic); offset != std::string_view::npos;
       offset = aBytes.find(magic, offset + 1)) {
    if (ParseRecord(aBytes.substr(offset)).valid) {
      return true;
    }
  }
  return false;
}

} // namespace mimosarun
