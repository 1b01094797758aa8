#include "operators/answer.h"

#include "operators/command.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mimosarun {

std::string
ToJson(const Answer& aAnswer)
{
  nlohmann::ordered_json document;
  document["code"] = static_cast<int>(aAnswer.code);
  document["message"] = aAnswer.message;
  document["columns"] = aAnswer.columns;
  document["rows"] = aAnswer.rows;
  return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

static bool
IsAnswerCode(int aCode)
{
  return aCode >= static_cast<int>(AnswerCode::Done) && aCode <= static_cast<int>(AnswerCode::Unknown);
}

std::optional<Answer>
AnswerFromJson(const std::string& aText)
{
  try {
    const nlohmann::json document = nlohmann::json::parse(aText);
    const int code = document.at("code").get<int>();
    if (!IsAnswerCode(code)) {
      return std::nullopt;
    }
    return Answer{ .code = static_cast<AnswerCode>(code),
                   .message = document.at("message").get<std::string>(),
                   .columns = document.at("columns").get<std::vector<std::string>>(),
                   .rows = document.at("rows").get<std::vector<std::vector<std::string>>>() };
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string
ToTable(const Answer& aAnswer)
{
  std::vector<size_t> widths;
  for (const std::string& column : aAnswer.columns) {
    widths.push_back(column.size());
  }
  for (const std::vector<std::string>& row : aAnswer.rows) {
    for (size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  const auto addLine = [&](const std::vector<std::string>& aCells) {
    std::string line;
    for (size_t i = 0; i < aCells.size() && i < widths.size(); ++i) {
      line += aCells[i] + std::string(widths[i] - aCells[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  };
  if (!aAnswer.columns.empty()) {
    addLine(aAnswer.columns);
    for (const std::vector<std::string>& row : aAnswer.rows) {
      addLine(row);
    }
  }
  if (!aAnswer.message.empty()) {
    text += aAnswer.message + "\n";
  }
  return text;
}

Answer
Filter(Answer aAnswer, const std::vector<Condition>& aConditions)
{
  for (const Condition& condition : aConditions) {
    const auto column = std::find(aAnswer.columns.begin(), aAnswer.columns.end(), condition.field);
    if (column == aAnswer.columns.end()) {
      std::string known;
      for (const std::string& name : aAnswer.columns) {
        known += (known.empty() ? "" : ", ") + name;
      }
      return { .code = AnswerCode::Invalid,
               .message = "unknown field '" + condition.field + "'; use one of: " + known };
    }
    const auto position = static_cast<size_t>(column - aAnswer.columns.begin());
    std::erase_if(aAnswer.rows, [&](const auto& aRow) { return aRow[position] != condition.value; });
  }
  return aAnswer;
}

} // namespace mimosarun
