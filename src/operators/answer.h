#pragma once

#include <string>
#include <vector>

namespace mimosarun {

/** How a command ended; each value is an exit status of the command line. */
enum class AnswerCode
{
  Done = 0,
  /** Refused because of a conflict: stale base, no such proposal. Nothing was changed. */
  Refused = 1,
  /** Wrong words or a bad document. Nothing was changed. */
  Invalid = 2,
  /** No quorum or no such peer at the moment. Nothing was changed. */
  NotRun = 3,
  /** Whether the command took effect isn't known; send it again with the same request identifier. */
  Unknown = 4,
};

/** Answer to an operator: a message, a table, or both. */
struct Answer
{
  AnswerCode code = AnswerCode::Done;
  std::string message;
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/** The answer as JSON. */
std::string
ToJson(const Answer& aAnswer);

/** Undoes ToJson(); a text that is no answer gives NotRun with the text as message. */
Answer
AnswerFromJson(const std::string& aText);

/** The answer as an aligned table for a terminal. */
std::string
ToTable(const Answer& aAnswer);

/** Keeps the rows whose named columns have the wanted values; an unknown column is an error. */
struct Condition;
Answer
Filter(Answer aAnswer, const std::vector<Condition>& aConditions);

} // namespace mimosarun
