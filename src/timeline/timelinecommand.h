#pragma once

#include <string>
#include <vector>

namespace mimosarun {

/** Carries out 'timeline FOLDER OUTPUT': writes OUTPUT.html and OUTPUT.json; gives the exit status. */
int
RunTimelineCommand(const std::vector<std::string>& aWords);

} // namespace mimosarun
