#pragma once

#include "common/error.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace mimosarun {

/** An event from one line of a process's log. */
struct TimelineEvent
{
  int64_t timeMicros = 0;
  int64_t logical = 0;
  std::string process;
  std::string role;
  std::string failureDomain;
  std::string severity;
  std::string name;
  int number = 0;
  /** The event's other fields as text. */
  std::string details;
};

/**
 * Reads all .log files of a folder and its subfolders and sorts their events by the hybrid clock. Lines that
 * aren't events are skipped.
 */
Result<std::vector<TimelineEvent>>
ReadTimeline(const std::string& aFolder);

/** Returns a self-contained HTML page with a lane for each process. */
std::string
ToHtml(const std::vector<TimelineEvent>& aEvents);

/** Returns the events in the trace-event JSON format of trace viewers. */
std::string
ToTraceJson(const std::vector<TimelineEvent>& aEvents);

} // namespace mimosarun
