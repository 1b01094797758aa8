#pragma once

#include <chrono>
#include <string>

namespace mimosarun {

struct MeasureOptions
{
  std::chrono::milliseconds length{ 6000 };
  int repetitions = 1;
  std::string users = "both";
  std::string output = "report";
};

/** Runs all measures, prints a table and writes report.html and report.json; returns the exit status. */
int
RunMeasure(const MeasureOptions& aOptions);

} // namespace mimosarun
