#pragma once

#include "load/generator.h"

#include <string>
#include <vector>

namespace mimosarun {

/** Runs the command 'load PLAN' and returns its exit status. */
int
RunLoadCommand(const std::vector<std::string>& aArguments);

/** Formats a report as a text table. */
std::string
ToTable(const LoadReport& aReport);

} // namespace mimosarun
