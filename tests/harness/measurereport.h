#pragma once

#include <string>
#include <vector>

namespace mimosarun {

/** One measured value with its bar. */
struct MeasureRow
{
  std::string user;
  std::string measure;
  std::string policy;
  std::string unit;
  /** One value for each repetition. */
  std::vector<double> values;
  /** The stated target; negative means none. */
  double threshold = -1;
  bool lowerIsBetter = true;
};

/** Median of the values. */
double
MedianOf(const MeasureRow& aRow);

/** "met", "missed" or nothing. */
std::string
VerdictOf(const MeasureRow& aRow);

std::string
ToText(const std::vector<MeasureRow>& aRows);

/** A self-contained page with a table and a bar for each value. */
std::string
ToHtml(const std::vector<MeasureRow>& aRows, const std::string& aMachine);

std::string
ToJson(const std::vector<MeasureRow>& aRows);

} // namespace mimosarun
