#pragma once

#include "common/error.h"

#include <string>
#include <string_view>

namespace mimosarun {

/** Reads a whole file; returns an error if it is larger than aLimit bytes. */
Result<std::string>
ReadFile(const std::string& aPath, size_t aLimit);

/** Replaces a file atomically: writes and syncs a temporary file, renames it, and syncs the folder. */
Result<void>
ReplaceFile(const std::string& aPath, std::string_view aBytes);

/** Syncs a folder, so that created and renamed files in it survive a crash. */
Result<void>
SyncFolder(const std::string& aPath);

/** Writes all bytes to a file descriptor. */
Result<void>
WriteAll(int aDescriptor, std::string_view aBytes);

} // namespace mimosarun
