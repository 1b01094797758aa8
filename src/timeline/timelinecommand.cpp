#include "timeline/timelinecommand.h"

#include "timeline/timeline.h"

#include <fstream>
#include <iostream>

namespace mimosarun {

static constexpr int kExitInvalidInput = 2;

int
RunTimelineCommand(const std::vector<std::string>& aArguments)
{
  if (aArguments.size() != 3) {
    std::cerr << "use: mimosarun timeline FOLDER OUTPUT\n";
    return kExitInvalidInput;
  }
  const Result<std::vector<TimelineEvent>> events = ReadTimeline(aArguments[1]);
  if (!events) {
    std::cerr << events.error().message << "\n";
    return kExitInvalidInput;
  }
  std::ofstream page(aArguments[2] + ".html");
  std::ofstream trace(aArguments[2] + ".json");
  page << ToHtml(events.value());
  trace << ToTraceJson(events.value());
  page.close();
  trace.close();
  if (!page || !trace) {
    std::cerr << aArguments[2] << ": can't be written; check the folder\n";
    return kExitInvalidInput;
  }
  std::cout << events.value().size() << " events in " << aArguments[2] << ".html and " << aArguments[2]
            << ".json\n";
  return 0;
}

} // namespace mimosarun
