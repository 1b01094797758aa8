#pragma once

#include <string>
#include <vector>

namespace mimosarun {

/** Runs 'timeline FOLDER OUTPUT', which writes OUTPUT.html and OUTPUT.json, and returns the exit status. */
int
RunTimelineCommand(const std::vector<std::string>& aArguments);

} // namespace mimosarun
