#pragma once

#include <string>
#include <string_view>

namespace mimosarun {

/** A record with verified checksums, as a view into the bytes it was parsed from. */
struct RecordView
{
  bool valid = false;
  std::string_view payload;
  /** Length of the record including its header. */
  size_t lengthBytes = 0;
};

/** Returns a record: magic number, payload length, checksums of payload and header, payload. */
std::string
MakeRecord(std::string_view aPayload);

/** Parses the record at the start of aBytes and verifies its checksums. */
RecordView
ParseRecord(std::string_view aBytes);

/** Returns whether a valid record starts anywhere in aBytes, which distinguishes damage from a torn end. */
bool
HasValidRecord(std::string_view aBytes);

} // namespace mimosarun
