#include "harness/measurereport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace mimosarun {

double
MedianOf(const MeasureRow& aRow)
{
  std::vector<double> values = aRow.values;
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

static double
Lowest(const MeasureRow& aRow)
{
  return aRow.values.empty() ? 0 : *std::min_element(aRow.values.begin(), aRow.values.end());
}

static double
Highest(const MeasureRow& aRow)
{
  return aRow.values.empty() ? 0 : *std::max_element(aRow.values.begin(), aRow.values.end());
}

std::string
VerdictOf(const MeasureRow& aRow)
{
  if (aRow.threshold < 0) {
    return "";
  }
  const bool met = aRow.lowerIsBetter ? MedianOf(aRow) <= aRow.threshold : MedianOf(aRow) >= aRow.threshold;
  return met ? "met" : "missed";
}

std::string
ToText(const std::vector<MeasureRow>& aRows)
{
  std::string text;
  for (const MeasureRow& row : aRows) {
    char line[256];
    std::snprintf(line,
                  sizeof line,
                  "%-10s %-46s %-16s %10.2f [%.2f..%.2f] %-8s %s\n",
                  row.user.c_str(),
                  row.measure.c_str(),
                  row.policy.c_str(),
                  MedianOf(row),
                  Lowest(row),
                  Highest(row),
                  row.unit.c_str(),
                  VerdictOf(row).c_str());
    text += line;
  }
  return text;
}

std::string
ToHtml(const std::vector<MeasureRow>& aRows, const std::string& aMachine)
{
  std::ostringstream page;
  page << "<!doctype html><meta charset=\"utf-8\"><title>Measures</title><style>body{font:14px sans-serif}"
          "td{padding:2px 10px}.met{color:#207020}.missed{color:#b02020}svg rect{fill:#4878a8}"
          "svg rect.range{fill:#b8cce0}</style><h1>Measures</h1><p>"
       << aMachine
       << "</p><table><tr><th>user<th>measure<th>policy<th>median<th>range<th>unit<th>bar<th><th></tr>\n";
  for (const MeasureRow& row : aRows) {
    double widest = 0;
    for (const MeasureRow& other : aRows) {
      widest =
        other.user == row.user && other.measure == row.measure ? std::max(widest, Highest(other)) : widest;
    }
    const double scale = widest > 0 ? 240 / widest : 0;
    page << "<tr><td>" << row.user << "<td>" << row.measure << "<td>" << row.policy << "<td>" << MedianOf(row)
         << "<td>" << Lowest(row) << " to " << Highest(row) << "<td>" << row.unit << "<td>"
         << (row.threshold < 0 ? "" : std::to_string(row.threshold)) << "<td class=\"" << VerdictOf(row)
         << "\">" << VerdictOf(row)
         << "<td><svg width=\"250\" height=\"14\"><rect class=\"range\" y=\"1\" height=\"12\" width=\""
         << Highest(row) * scale << "\"/><rect y=\"3\" height=\"8\" width=\"" << MedianOf(row) * scale
         << "\"/></svg></tr>\n";
  }
  page << "</table>\n";
  return page.str();
}

std::string
ToJson(const std::vector<MeasureRow>& aRows)
{
  nlohmann::ordered_json document = nlohmann::ordered_json::array();
  for (const MeasureRow& row : aRows) {
    document.push_back({ { "user", row.user },
                         { "measure", row.measure },
                         { "policy", row.policy },
                         { "unit", row.unit },
                         { "median", MedianOf(row) },
                         { "values", row.values },
                         { "bar", row.threshold },
                         { "verdict", VerdictOf(row) } });
  }
  return document.dump(2) + "\n";
}

} // namespace mimosarun
