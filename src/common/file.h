#pragma once

#include "common/error.h"

#include <string>
#include <string_view>

namespace mimosarun {

/** Reads a whole file; refuses files larger than aLimit bytes. */
Result<std::string>
ReadFile(const std::string& aPath, size_t aLimit);

/** Replaces a file as one step: temporary file, sync, rename, sync of the folder. */
Result<void>
ReplaceFile(const std::string& aPath, std::string_view aBytes);

/** Syncs a folder, so that files created or renamed in it last. */
Result<void>
SyncFolder(const std::string& aPath);

/** Writes all bytes to a descriptor. */
Result<void>
WriteAll(int aDescriptor, std::string_view aBytes);

} // namespace mimosarun
