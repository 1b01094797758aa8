#pragma once

#include <string>
#include <vector>

namespace mimosarun {

/** One measure with its values and the threshold that they are compared with. */
struct MeasureRow
{
  std::string user;
  std::string measure;
  std::string policy;
  std::string unit;
  /** One value for each repetition. */
  std::vector<double> values;
  /** The value to reach; negative means none. */
  double threshold = -1;
  bool lowerIsBetter = true;
};

/** Returns the median of the values, or 0 without values. */
double
MedianOf(const MeasureRow& aRow);

/** Returns "met", "missed", or an empty text without a threshold. */
std::string
VerdictOf(const MeasureRow& aRow);

std::string
ToText(const std::vector<MeasureRow>& aRows);

/** Returns a self-contained page with a table and a bar chart of the values. */
std::string
ToHtml(const std::vector<MeasureRow>& aRows, const std::string& aMachine);

std::string
ToJson(const std::vector<MeasureRow>& aRows);

} // namespace mimosarun
