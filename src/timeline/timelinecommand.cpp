#include "timeline/timelinecommand.h"

#include "timeline/timeline.h"

#include <fstream>
#include <iostream>

namespace mimosarun {

static constexpr int kExitInvalid = 2;

int
RunTimelineCommand(const std::vector<std::string>& aWords)
{
  if (aWords.size() != 3) {
    std::cerr << "use: mimosarun timeline FOLDER OUTPUT\n";
    return kExitInvalid;
  }
  const Result<std::vector<TimelineEvent>> events = ReadTimeline(aWords[1]);
  if (!events) {
    std::cerr << events.error().message << "\n";
    return kExitInvalid;
  }
  std::ofstream page(aWords[2] + ".html");
  std::ofstream trace(aWords[2] + ".json");
  page << ToHtml(events.value());
  trace << ToTraceJson(events.value());
  page.close();
  trace.close();
  if (!page || !trace) {
    std::cerr << aWords[2] << ": can't be written; check the folder\n";
    return kExitInvalid;
  }
  std::cout << events.value().size() << " events in " << aWords[2] << ".html and " << aWords[2] << ".json\n";
  return 0;
}

} // namespace mimosarun
