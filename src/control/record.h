#pragma once

#include <string>
#include <string_view>

namespace mimosarun {

/** A checksummed record at the start of some bytes. */
struct RecordView
{
  bool valid = false;
  std::string_view payload;
  /** Bytes of the record with its header. */
  size_t lengthBytes = 0;
};

/** Frames a payload: magic, length, checksum of the header, checksum of the payload, payload. */
std::string
MakeRecord(std::string_view aPayload);

/** Checks the record at the start of some bytes. */
RecordView
ParseRecord(std::string_view aBytes);

/** Whether a valid record starts anywhere in some bytes; tells damage in the middle from a torn end. */
bool
HasValidRecord(std::string_view aBytes);

} // namespace mimosarun
