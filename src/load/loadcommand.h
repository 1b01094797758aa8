#pragma once

#include "load/generator.h"

#include <string>
#include <vector>

namespace mimosarun {

/** Carries out 'load PLAN'; gives the exit status. */
int
RunLoadCommand(const std::vector<std::string>& aWords);

/** The report as a table. */
std::string
ToTable(const LoadReport& aReport);

} // namespace mimosarun
