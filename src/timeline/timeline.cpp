#include "timeline/timeline.h"

#include "common/file.h"

#include <algorithm>
#include <filesystem>
#include <set>
#include <sstream>
#include <tuple>

namespace mimosarun {

static constexpr size_t kLogLimitBytes = 512UL * 1024 * 1024;

static TimelineEvent
ParseEvent(const nlohmann::json& aRecord)
{
  static const std::set<std::string> kCommonFields{ "time",   "logical",  "process", "role",
                                                    "domain", "severity", "event",   "name" };
  TimelineEvent event{ .timeMicros = aRecord.at("time").get<int64_t>(),
                       .logical = aRecord.at("logical").get<int64_t>(),
                       .process = aRecord.at("process").get<std::string>(),
                       .role = aRecord.at("role").get<std::string>(),
                       .failureDomain = aRecord.at("domain").get<std::string>(),
                       .severity = aRecord.at("severity").get<std::string>(),
                       .name = aRecord.at("name").get<std::string>(),
                       .number = aRecord.at("event").get<int>() };
  for (const auto& [key, value] : aRecord.items()) {
    if (!kCommonFields.contains(key)) {
      event.details += (event.details.empty() ? "" : ", ") + key + "=" + value.get<std::string>();
    }
  }
  return event;
}

static void
ReadLog(const std::string& aText, std::vector<TimelineEvent>& aEvents)
{
  std::istringstream stream(aText);
  for (std::string line; std::getline(stream, line);) {
    try {
      aEvents.push_back(ParseEvent(nlohmann::json::parse(line)));
    } catch (const nlohmann::json::exception&) {
      // A process that was killed may leave an incomplete last line.
      continue;
    }
  }
}

Result<std::vector<TimelineEvent>>
ReadTimeline(const std::string& aFolder)
{
  std::error_code code;
  std::vector<TimelineEvent> events;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(aFolder, code)) {
    if (entry.path().extension() == ".log") {
      MIMOSARUN_TRY(const std::string text, ReadFile(entry.path().string(), kLogLimitBytes));
      ReadLog(text, events);
    }
  }
  if (code) {
    return Fail(ErrorKind::FileUnreadable,
                aFolder + ": " + code.message() + "; name a folder with .log files");
  }
  std::stable_sort(events.begin(), events.end(), [](const TimelineEvent& aLeft, const TimelineEvent& aRight) {
    return std::tie(aLeft.timeMicros, aLeft.logical) < std::tie(aRight.timeMicros, aRight.logical);
  });
  return events;
}

static std::string
EscapeHtml(const std::string& aText)
{
  std::string text;
  for (const char c : aText) {
    switch (c) {
      case '<':
        text += "&lt;";
        break;
      case '>':
        text += "&gt;";
        break;
      case '&':
        text += "&amp;";
        break;
      case '"':
        text += "&quot;";
        break;
      default:
        text += c;
    }
  }
  return text;
}

/** Returns the label of each process's lane, in their order from the top. */
static std::vector<std::string>
LaneNames(const std::vector<TimelineEvent>& aEvents)
{
  std::set<std::string> names;
  for (const TimelineEvent& event : aEvents) {
    names.insert(event.failureDomain + " / " + event.process);
  }
  return { names.begin(), names.end() };
}

static std::string
DrawLanes(const std::vector<TimelineEvent>& aEvents, const std::vector<std::string>& aLaneNames)
{
  constexpr int kWidth = 1400;
  constexpr int kLabelWidth = 220;
  constexpr int kLaneHeight = 18;
  const int64_t firstMicros = aEvents.empty() ? 0 : aEvents.front().timeMicros;
  const int64_t spanMicros =
    aEvents.empty() ? 1 : std::max<int64_t>(1, aEvents.back().timeMicros - firstMicros);
  std::ostringstream svg;
  svg << "<svg width=\"" << kWidth + 20 << "\" height=\"" << kLaneHeight * (aLaneNames.size() + 1) << "\">\n";
  for (size_t i = 0; i < aLaneNames.size(); ++i) {
    const size_t y = kLaneHeight * i + kLaneHeight / 2;
    svg << "<text x=\"4\" y=\"" << y + 4 << "\">" << EscapeHtml(aLaneNames[i]) << "</text><line x1=\""
        << kLabelWidth << "\" y1=\"" << y << "\" x2=\"" << kWidth << "\" y2=\"" << y << "\"/>\n";
  }
  for (const TimelineEvent& event : aEvents) {
    const auto lane =
      std::find(aLaneNames.begin(), aLaneNames.end(), event.failureDomain + " / " + event.process);
    const auto y = kLaneHeight * (lane - aLaneNames.begin()) + kLaneHeight / 2;
    const auto x = kLabelWidth + (event.timeMicros - firstMicros) * (kWidth - kLabelWidth) / spanMicros;
    svg << "<circle class=\"" << event.severity << "\" cx=\"" << x << "\" cy=\"" << y << "\" r=\"4\"><title>"
        << event.number << " " << EscapeHtml(event.name) << " " << EscapeHtml(event.details)
        << "</title></circle>\n";
  }
  svg << "</svg>\n";
  return svg.str();
}

std::string
ToHtml(const std::vector<TimelineEvent>& aEvents)
{
  const int64_t firstMicros = aEvents.empty() ? 0 : aEvents.front().timeMicros;
  std::ostringstream page;
  page << "<!doctype html><meta charset=\"utf-8\"><title>Timeline</title>\n<style>body{font:13px sans-serif}"
          "text{font-size:11px}line{stroke:#ddd}circle{fill:#4878a8}circle.warning{fill:#d8902f}"
          "circle.error{fill:#c03030}td{padding:1px 8px;white-space:nowrap}tr.warning{background:#fdf3e0}"
          "tr.error{background:#fbe3e3}</style>\n<h1>Timeline</h1>\n"
       << DrawLanes(aEvents, LaneNames(aEvents))
       << "<table><tr><th>seconds<th>domain<th>process<th>event<th>details</tr>\n";
  for (const TimelineEvent& event : aEvents) {
    page << "<tr class=\"" << event.severity << "\"><td>"
         << static_cast<double>(event.timeMicros - firstMicros) / 1e6 << "<td>"
         << EscapeHtml(event.failureDomain) << "<td>" << EscapeHtml(event.process) << "<td>" << event.number
         << " " << EscapeHtml(event.name) << "<td>" << EscapeHtml(event.details) << "</tr>\n";
  }
  page << "</table>\n";
  return page.str();
}

std::string
ToTraceJson(const std::vector<TimelineEvent>& aEvents)
{
  nlohmann::ordered_json trace = nlohmann::ordered_json::array();
  for (const TimelineEvent& event : aEvents) {
    trace.push_back({ { "name", event.name },
                      { "ph", "i" },
                      { "s", "p" },
                      { "ts", event.timeMicros },
                      { "pid", event.failureDomain },
                      { "tid", event.process },
                      { "args", { { "number", event.number }, { "details", event.details } } } });
  }
  return trace.dump();
}

} // namespace mimosarun
