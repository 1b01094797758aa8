#pragma once

#include <optional>
#include <string>
#include <vector>

namespace mimosarun {

/** Outcome of a command; each value is an exit status of the command line. */
enum class AnswerCode
{
  Done = 0,
  /** Rejected because of a conflict, such as a stale base or an unknown proposal. Nothing was changed. */
  Refused = 1,
  /** The command or its document is invalid. Nothing was changed. */
  Invalid = 2,
  /** The command wasn't run, for example because no quorum or peer is reachable. Nothing was changed. */
  NotRun = 3,
  /** The command may have taken effect; send it again with the same request identifier. */
  Unknown = 4,
};

/** Answer to an operator's command: a message, a table, or both. */
struct Answer
{
  AnswerCode code = AnswerCode::Done;
  std::string message;
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

/** Returns the answer as a line of JSON. */
std::string
ToJson(const Answer& aAnswer);

/** Parses the result of ToJson(); returns nothing if the text is something else. */
std::optional<Answer>
AnswerFromJson(const std::string& aText);

/** Returns the answer as an aligned table for a terminal. */
std::string
ToTable(const Answer& aAnswer);

struct Condition;
/** Returns the answer with only the rows that meet all conditions, or Invalid if a column is unknown. */
Answer
Filter(Answer aAnswer, const std::vector<Condition>& aConditions);

} // namespace mimosarun
